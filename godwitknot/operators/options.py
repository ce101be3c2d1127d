"""Option and argument types of the command line."""

import pathlib
from typing import Annotated

import typer

APPLY_SECONDS = 60.0
STOP_SECONDS = 3600.0
HELP = """Operate a fleet of proxies for backend servers.

Declare classes of work with a target each; the fleet does the rest.

\b
A first change:
  export GODWITKNOT_OPERATOR=10.0.0.1:8102
  export GODWITKNOT_TOKEN=...
  godwitknot configuration > fleet.ini
  godwitknot check fleet.ini
  godwitknot plan fleet.ini
  godwitknot apply fleet.ini --wait

\b
Exit codes: 0 done, 1 failed, 2 usage, 3 bad file, 4 conflict,
5 refused, 6 timed out.
"""

Operator = Annotated[
    str,
    typer.Option(
        envvar='GODWITKNOT_OPERATOR',
        help='Operator address of a node, or several with commas.',
    ),
]
Token = Annotated[
    str,
    typer.Option(
        envvar='GODWITKNOT_TOKEN',
        help='Operator token; the variable keeps it out of "ps".',
    ),
]
Name = Annotated[
    str,
    typer.Option(
        envvar='GODWITKNOT_NAME',
        help='Who makes changes; your login name by default.',
    ),
]
Access = Annotated[
    pathlib.Path | None,
    typer.Option(
        envvar='GODWITKNOT_ACCESS',
        help='INI file with an [operator] section: address, token, name.',
    ),
]
Json = Annotated[bool, typer.Option('--json', help='Print JSON.')]
Wait = Annotated[bool, typer.Option('--wait', help='Wait until done.')]
Timeout = Annotated[
    float,
    typer.Option(help='Seconds that --wait waits at most.'),
]
Expect = Annotated[
    int | None,
    typer.Option(
        help='Version that the file is based on; by default the one in its '
        '"# version" line, else the one in force.',
    ),
]
File = Annotated[pathlib.Path, typer.Argument(metavar='FILE')]
Settings = Annotated[pathlib.Path, typer.Argument(metavar='SETTINGS')]
Target = Annotated[str, typer.Argument(metavar='SERVER')]
Logs = Annotated[
    list[str] | None,
    typer.Option(
        '--log',
        metavar='FILE',
        help='Log of a node on the platform, "-" for standard input; may be '
        'given several times. No node is asked then.',
    ),
]
Subject = Annotated[str, typer.Argument(metavar='[SERVER|REQUEST-ID]')]
