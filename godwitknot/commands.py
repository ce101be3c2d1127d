"""The command line."""

import importlib
import json
import pathlib
import sys
from collections.abc import Iterator
from typing import Any

import attrs
import cattrs
import typer

from godwitknot.declarations.declaration import load_declaration
from godwitknot.declarations.settings import load_settings
from godwitknot.declarations.versionline import (
    add_version,
    find_version,
    strip_version,
    update_version,
)
from godwitknot.errors import (
    ConfigurationConflictError,
    DeclarationError,
    InvalidFileError,
    OperationRefusedError,
    UnreadableLogError,
    UserError,
)
from godwitknot.operators import options, renderings
from godwitknot.operators.access import resolve_access
from godwitknot.operators.budgetreport import format_report
from godwitknot.operators.completion import (
    await_confirmation,
    await_stop,
    require_confirmed,
)
from godwitknot.operators.operatorclient import OperatorClient
from godwitknot.operators.requesttrace import trace_request

_CONFLICT_HINT = (
    'Nothing was applied. Take the change above into your file and apply it '
    'with --expect and the version in force.'
)
_STANDARD_INPUT = '-'
_CONVERTER = cattrs.Converter()

app = typer.Typer(
    name='godwitknot',
    help=options.HELP,
    add_completion=False,
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@attrs.define
class _Options:
    """Options that are given before the command."""

    address: str = ''
    token: str = ''
    name: str = ''
    path: pathlib.Path | None = None

    def connect(self) -> OperatorClient:
        return OperatorClient(
            resolve_access(self.address, self.token, self.name, self.path)
        )


@app.callback()
def read_options(
    context: typer.Context,
    operator: options.Operator = '',
    token: options.Token = '',
    name: options.Name = '',
    access: options.Access = None,
) -> None:
    """Keep what all commands need."""
    context.obj = _Options(operator, token, name, access)


@app.command()
def node(
    settings: options.Settings,
) -> None:
    """Run a node.

    SIGTERM stops it after its requests have finished.

    \b
    Example: godwitknot node /etc/godwitknot/node.ini
    """
    loaded = load_settings(settings)
    # Imported here, because it loads the HTTP servers, which other commands
    # do not need.
    importlib.import_module('godwitknot.assembly.node').run_node(loaded)


@app.command()
def check(file: options.File, *, as_json: options.Json = False) -> None:
    """Check a declaration without a node.

    Every fault in the file is named at once.

    \b
    Example: godwitknot check fleet.ini
    """
    try:
        declaration = load_declaration(file)
    except DeclarationError as error:
        if as_json:
            _print_json({'problems': error.problems})
        raise
    counts = {
        'services': len(declaration.services),
        'classes': len(declaration.classes),
        'migrations': len(declaration.migrations),
    }
    if as_json:
        _print_json({'problems': [], **counts})
        return
    parts = [f'{name}: {counts[name]}' for name in counts]
    print(f'{file}: no faults ({", ".join(parts)})')


@app.command()
def configuration(
    context: typer.Context,
    *,
    as_json: options.Json = False,
) -> None:
    """Print the configuration in force.

    Its first line holds the version that the next apply is based on.

    \b
    Example: godwitknot configuration > fleet.ini
    """
    view = context.obj.connect().configuration()
    if as_json:
        _print_json(view)
        return
    version = view.change.version if view.change else 0
    print(add_version(view.text, version), end='')


@app.command()
def plan(
    context: typer.Context,
    file: options.File,
    *,
    as_json: options.Json = False,
) -> None:
    """Show what an apply would change.

    It also says whether the fleet would accept it.

    \b
    Example: godwitknot plan fleet.ini
    """
    declaration = load_declaration(file)
    planned = context.obj.connect().plan(strip_version(declaration.text))
    _print_result(planned, as_json, renderings.format_plan)
    if planned.misfits:
        raise OperationRefusedError('the declaration does not fit the fleet')


@app.command()
def apply(
    context: typer.Context,
    file: options.File,
    *,
    wait: options.Wait = False,
    timeout: options.Timeout = options.APPLY_SECONDS,
    expect: options.Expect = None,
    as_json: options.Json = False,
) -> None:
    """Bring a declaration into force.

    If somebody else changed the configuration first, nothing is applied
    and the other change is shown.

    \b
    Examples:
      godwitknot apply fleet.ini
      godwitknot apply fleet.ini --wait --timeout 30
    """
    declaration = load_declaration(file)
    client = context.obj.connect()
    text = strip_version(declaration.text)
    planned = client.plan(text)
    version = planned.version
    if not as_json:
        print(renderings.format_plan(planned))
    if not planned.unchanged:
        base = find_version(declaration.text) if expect is None else expect
        change = client.apply(text, version if base is None else base)
        version = change.version
        if not as_json:
            print(f'version {version} accepted from {change.author}')
    update_version(file, declaration.text, version)
    if wait:
        confirmation = await_confirmation(client, version, timeout)
        _print_result(confirmation, as_json, renderings.format_confirmation)
        require_confirmed(confirmation)
    elif as_json:
        _print_json({'version': version})


@app.command()
def status(context: typer.Context, *, as_json: options.Json = False) -> None:
    """Show the state of the fleet.

    Lists the services, the servers that are not ready, and warnings.

    \b
    Example: godwitknot status --json | jq .services
    """
    result = context.obj.connect().status()
    _print_result(result, as_json, renderings.format_status)


@app.command()
def stop(
    context: typer.Context,
    target: options.Target,
    *,
    wait: options.Wait = False,
    timeout: options.Timeout = options.STOP_SECONDS,
    as_json: options.Json = False,
) -> None:
    """Stop a server or a node gracefully.

    New requests go elsewhere, and running ones finish however long they
    take.

    SERVER is NODE/SERVER, a server name that is unique, or a node id. The
    stop goes on if this command is interrupted.

    \b
    Example: godwitknot stop reykjanes-a-1/booking-1 --wait
    """
    client = context.obj.connect()
    progress = client.stop(target)
    if wait:
        stream = sys.stderr if as_json else sys.stdout
        progress = await_stop(
            client,
            progress,
            timeout,
            lambda line: print(line, file=stream, flush=True),
        )
    _print_result(progress, as_json, renderings.format_progress)


@app.command()
def report(context: typer.Context, *, as_json: options.Json = False) -> None:
    """Show targets and error budgets.

    For each target: what is left of its budget and what consumed it.

    A burn rate of 1 uses up the budget exactly; 10 does it ten times too
    fast.

    \b
    Example: godwitknot report
    """
    result = context.obj.connect().report()
    _print_result(result, as_json, format_report)


@app.command()
def explain(
    context: typer.Context,
    subject: options.Subject = '',
    *,
    log: options.Logs = None,
    as_json: options.Json = False,
) -> None:
    """Explain the treatment of a server or request.

    \b
    Examples:
      godwitknot explain
      godwitknot explain reykjanes-a-1/booking-1
      godwitknot explain 3f1c9a52d0b84e6f
      godwitknot explain 3f1c9a52d0b84e6f --log a-1.log --log b-2.log
    """
    if log:
        result = trace_request(_read_logs(log), subject)
    else:
        result = context.obj.connect().explain(subject)
    _print_result(result, as_json, renderings.format_explanation)


def _read_logs(names: list[str]) -> Iterator[str]:
    for name in names:
        if name == _STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            with pathlib.Path(name).open(
                encoding='utf-8', errors='replace'
            ) as lines:
                yield from lines
        except OSError as error:
            raise UnreadableLogError(f'{name}: {error.strerror}') from error


def main(arguments: list[str] | None = None) -> None:
    """Run the command line; user errors are shown without a traceback."""
    try:
        app(arguments, prog_name='godwitknot')
    except ConfigurationConflictError as error:
        print(f'error: {error}\n{_CONFLICT_HINT}', file=sys.stderr)
        sys.exit(error.exit_code)
    except InvalidFileError as error:
        print(f'error: faults: {len(error.problems)}', file=sys.stderr)
        for problem in error.problems:
            print(f'  {problem}', file=sys.stderr)
        sys.exit(error.exit_code)
    except UserError as error:
        print(f'error: {error}', file=sys.stderr)
        sys.exit(error.exit_code)


def _print_result(result: Any, as_json: bool, format_result: Any) -> None:
    if as_json:
        _print_json(result)
    else:
        print(format_result(result))


def _print_json(content: Any) -> None:
    print(json.dumps(_CONVERTER.unstructure(content), indent=2))
