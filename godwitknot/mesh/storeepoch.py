"""The epoch of the metadata store, which rises with each restore."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from godwitknot.errors import StoreRestoredError
from godwitknot.mesh.runtime import Runtime

_Outcome = TypeVar('_Outcome')


class EpochTracker:
    """The newest epoch of the store that a response has shown.

    :ivar listeners: called after each restore.
    """

    def __init__(self, runtime: Runtime) -> None:
        """Create a tracker that has not seen a response."""
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._running: set[asyncio.Timeout] = set()
        self.current = 0
        self.listeners: list[Callable[[], None]] = []

    def observe(self, epoch: int) -> None:
        """Process the epoch of a response, 0 if it has none."""
        if epoch <= self.current:
            return
        before = self.current
        self.current = epoch
        if not before:
            return
        self._telemetry.count('store_restores')
        self._log.write('store restored', epoch=epoch, before=before)
        for timeout in self._running:
            timeout.reschedule(asyncio.get_running_loop().time())
        for listener in self.listeners:
            listener()

    async def interrupt_on_restore(self, work: Awaitable[_Outcome]) -> _Outcome:
        """Wait for a result, but no longer than until the next restore.

        :raises StoreRestoredError: if a restore was noticed first.
        """
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._running.add(timeout)
                return await work
        except TimeoutError as error:
            if timeout.expired():
                raise StoreRestoredError('store was restored') from error
            raise
        finally:
            self._running.discard(timeout)
