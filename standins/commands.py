"""Command line of the stand-ins."""

from typing import Annotated

import typer

from godwitknot.units import parse_address
from standins.platform import serve_platform

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


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
