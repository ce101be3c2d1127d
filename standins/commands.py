"""Command line of the stand-ins."""

from typing import Annotated

import typer

from godwitknot.units import parse_address
from standins.backend import FakeServer, FakeServerHost
from standins.faultylink import FaultyLink, serve_control
from standins.platform import serve_platform
from standins.signals import wait_for_signal

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def describe_program() -> None:
    """Run stand-ins for the systems around the fleet."""


@app.command('platform')
def run_platform(
    address: Annotated[
        str, typer.Option(help='IP number and port to listen on.')
    ] = '127.0.0.1:9000',
) -> None:
    """Serve the table service and the object store."""
    serve_platform(parse_address(address))


@app.command('backend')
def run_backends(
    server: Annotated[
        list[str],
        typer.Option(help='A fake server as NAME=IP:PORT; may be repeated.'),
    ],
    service_ms: Annotated[
        float, typer.Option(help='Mean service time in milliseconds.')
    ] = 10,
    seed: Annotated[int, typer.Option(help='Seed of random numbers.')] = 0,
) -> None:
    """Serve fake backend servers."""
    host = FakeServerHost()
    for text in server:
        name, _, address = text.partition('=')
        fake = FakeServer(name, 4, service_ms / 1000, seed)
        host.add(fake, parse_address(address))
    wait_for_signal()
    host.stop()


@app.command('cutter')
def run_cutter(
    address: Annotated[str, typer.Option(help='Where to listen.')],
    target: Annotated[str, typer.Option(help='Where to relay to.')],
    control: Annotated[str, typer.Option(help='Where to take orders.')],
) -> None:
    """Relay TCP and UDP, and lose one direction when told to."""
    link = FaultyLink(parse_address(address), parse_address(target))
    link.start()
    serve_control(link, parse_address(control))
    wait_for_signal()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
