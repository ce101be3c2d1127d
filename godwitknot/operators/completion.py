"""Waiting for the fleet to confirm what an operator asked for."""

import time
from collections.abc import Callable

from godwitknot.errors import OperationTimeoutError
from godwitknot.operators.operations import Confirmation, StopProgress
from godwitknot.operators.operatorclient import (
    NodeUnreachableError,
    OperatorClient,
)
from godwitknot.operators.renderings import format_progress

_POLL_SECONDS = 0.5
# A node that is being stopped may end before it told that it is gone.
_MOST_SILENT_POLLS = 10


def await_confirmation(
    client: OperatorClient,
    version: int,
    timeout: float,
) -> Confirmation:
    """Wait until all nodes have a version in force, or the time is up.

    :param timeout: seconds.
    :returns: the last answer, which may have missing nodes.
    """
    deadline = time.monotonic() + timeout
    confirmation = _try_confirm(client, version)
    while confirmation.missing and time.monotonic() < deadline:
        time.sleep(_POLL_SECONDS)
        confirmation = _try_confirm(client, version)
    return confirmation


def require_confirmed(confirmation: Confirmation) -> None:
    """Check that no node is missing.

    :raises OperationTimeoutError: with the names of the missing nodes.
    """
    if not confirmation.missing:
        return
    names = ', '.join(sorted(confirmation.missing))
    raise OperationTimeoutError(
        f'version {confirmation.version} is accepted, but not confirmed '
        f'by {names}'
    )


def await_stop(
    client: OperatorClient,
    progress: StopProgress,
    timeout: float,
    show: Callable[[str], None],
) -> StopProgress:
    """Wait until a planned stop is done.

    :param progress: first answer of the node.
    :param timeout: seconds.
    :param show: gets a line for each change of the progress.
    :raises OperationTimeoutError: if the time is up.
    :raises NodeUnreachableError: if no node answers any more.
    """
    deadline = time.monotonic() + timeout
    shown = ''
    silent = 0
    while not progress.done:
        line = format_progress(progress)
        if time.monotonic() > deadline:
            raise OperationTimeoutError(f'still stopping: {line}')
        if line != shown:
            show(line)
            shown = line
        time.sleep(_POLL_SECONDS)
        try:
            progress = client.get_stop_progress(progress.target)
        except NodeUnreachableError as error:
            silent += 1
            if silent > _MOST_SILENT_POLLS:
                message = f'{error}; last known: {line}'
                raise NodeUnreachableError(message) from error
        else:
            silent = 0
    return progress


def _try_confirm(client: OperatorClient, version: int) -> Confirmation:
    try:
        return client.confirm(version)
    except NodeUnreachableError:
        # The change is accepted; the node that is asked may be restarting.
        return Confirmation(version, (), {'the node asked': 'no answer'})
