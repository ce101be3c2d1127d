"""Waits for the completion of an operator's changes."""

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
# A node that stops may exit before the client has read its final state.
_MAX_FAILED_POLLS = 10


def await_confirmation(
    client: OperatorClient,
    version: int,
    timeout: float,
) -> Confirmation:
    """Wait until all nodes have a version in force, or the timeout.

    :param timeout: seconds.
    :returns: the last confirmation, which may have missing nodes.
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

    :param progress: progress that the node reported first.
    :param timeout: seconds.
    :param show: called with a line for each change of the progress.
    :raises OperationTimeoutError: if the stop takes longer.
    :raises NodeUnreachableError: if no node responds to repeated polls.
    """
    deadline = time.monotonic() + timeout
    shown = ''
    failed_polls = 0
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
            failed_polls += 1
            if failed_polls > _MAX_FAILED_POLLS:
                message = f'{error}; last known: {line}'
                raise NodeUnreachableError(message) from error
        else:
            failed_polls = 0
    return progress


def _try_confirm(client: OperatorClient, version: int) -> Confirmation:
    try:
        return client.confirm(version)
    except NodeUnreachableError:
        # The change is already accepted; the polled node may be restarting.
        return Confirmation(version, (), {'the node asked': 'no answer'})
