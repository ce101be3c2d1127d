"""Background tasks of a node and their errors."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from godwitknot.mesh.runtime import Runtime

_RESTART_DELAY_SECONDS = 1.0


async def keep_running(
    work: Callable[[], Awaitable[None]],
    runtime: Runtime,
) -> None:
    """Run endless work, and start it again if it fails.

    An error that repeats is logged once; each one is counted.
    """
    last_error = ''
    while True:
        try:
            await work()
        except Exception:
            error = traceback.format_exc()
            runtime.telemetry.count('unexpected_errors')
            if error != last_error:
                runtime.log.write('task failed', detail=error)
            last_error = error
        await asyncio.sleep(_RESTART_DELAY_SECONDS)


class BackgroundTasks:
    """Tasks that run beside the requests; errors are logged and counted."""

    def __init__(self, runtime: Runtime) -> None:
        """Create an empty set of tasks."""
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Awaitable[None]) -> None:
        """Start a task."""
        self.track(asyncio.ensure_future(work))

    def track(self, task: asyncio.Task) -> None:
        """Keep a task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)

    def _handle_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self._telemetry.count('unexpected_errors')
        self._log.write(
            'task failed', detail=''.join(traceback.format_exception(error))
        )
