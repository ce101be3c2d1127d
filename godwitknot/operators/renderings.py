"""Plain-text output of a node's responses for the command line."""

from collections.abc import Sequence

from godwitknot.operators.operations import (
    Confirmation,
    Explanation,
    FleetStatus,
    Plan,
    StopProgress,
)
from godwitknot.operators.texttable import format_table

_READY = 'ready'
_INDENT = '  '


def format_status(status: FleetStatus) -> str:
    """Format the state of the fleet with its services and problems."""
    store = 'up' if status.store else 'down'
    version = 'none'
    if status.version:
        version = f'version {status.version} by {status.author}'
    lines = [
        f'node {status.node_id} is {status.state}, nodes known: {status.nodes}',
        f'configuration: {version}',
        f'store: {store}',
    ]
    if status.services:
        lines.extend(['', _format_services(status)])
    not_ready = [server for server in status.servers if server.state != _READY]
    if not_ready:
        rows = [('SERVER', 'SERVICE', 'FAILURE DOMAIN', 'STATE')]
        rows.extend(
            (
                f'{server.node_id}/{server.name}',
                server.service,
                server.failure_domain,
                server.state,
            )
            for server in not_ready
        )
        lines.extend(['', format_table(rows)])
    if status.unreachable:
        lines.extend(['', f'unreachable: {", ".join(status.unreachable)}'])
    lines.extend(f'warning: {warning}' for warning in status.warnings)
    return '\n'.join(lines)


def _format_services(status: FleetStatus) -> str:
    rows = [('SERVICE', 'SERVING', 'KNOWN', 'FLOOR')]
    rows.extend(
        (
            counts.name,
            str(counts.serving),
            str(counts.known),
            str(counts.floor),
        )
        for counts in status.services
    )
    return format_table(rows)


def format_plan(plan: Plan) -> str:
    """Format what an apply would change and why it would be refused."""
    if plan.unchanged:
        return f'nothing to change: version {plan.version} has this text'
    lines = [f'changes to version {plan.version}:']
    lines.extend(f'{_INDENT}{change}' for change in plan.differences)
    if plan.misfits:
        lines.append('the fleet would refuse it:')
        lines.extend(f'{_INDENT}{problem}' for problem in plan.misfits)
    return '\n'.join(lines)


def format_confirmation(confirmation: Confirmation) -> str:
    """Format how many nodes have a version in force, and the others."""
    count = len(confirmation.confirmed)
    line = f'version {confirmation.version}: in force on nodes: {count}'
    return '\n'.join([line, *list_missing(confirmation)])


def list_missing(confirmation: Confirmation) -> Sequence[str]:
    """Return one line for each node that has not confirmed."""
    return [
        f'not confirmed: {node_id} ({confirmation.missing[node_id]})'
        for node_id in sorted(confirmation.missing)
    ]


def format_explanation(explanation: Explanation) -> str:
    """Format the sentences of an explanation, then its facts."""
    lines = list(explanation.lines)
    if explanation.facts:
        lines.append('')
        facts = sorted(explanation.facts.items())
        lines.append(format_table(facts))
    return '\n'.join(lines)


def format_progress(progress: StopProgress) -> str:
    """Format the progress of a planned stop as one line."""
    line = f'{progress.target}: {progress.state}, {progress.running} running'
    return f'{line}, {progress.detail}' if progress.detail else line
