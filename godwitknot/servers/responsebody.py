"""The body of a response that is streamed from a server to the caller."""

import abc
import contextlib
from collections.abc import Iterator

from godwitknot.errors import ProtocolError
from godwitknot.servers.runresults import RunEnd

# A reader that blocks the relay for longer than this is the bottleneck, so
# the server can use the slot for other work.
_SLOW_READER_SECONDS = 0.25


class BodyOwner(abc.ABC):
    """The run that a response body belongs to."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the time on the node's clock, seconds."""

    @abc.abstractmethod
    def add_time(self, seconds: float) -> None:
        """Add time that the server itself took for the body."""

    @abc.abstractmethod
    def end(self, end: RunEnd) -> None:
        """Report the end of the run once."""


class ResponseBody:
    """The body of a response, with the time that the server took for it."""

    def __init__(
        self,
        run: BodyOwner,
        chunks: Iterator[bytes],
        slot_context: contextlib.ExitStack,
        end: RunEnd,
    ) -> None:
        """Create a body that holds the slot of its run.

        :param run: the run that the body belongs to.
        :param slot_context: releases the slot when closed.
        :param end: how the run ends if the body is complete.
        """
        self._run = run
        self._end = end
        self._chunks = chunks
        self._slot_context = slot_context
        self._closed = False
        self._yielded_at: float | None = None

    def free_slot(self, now: float) -> None:
        """Release the slot if the reader blocks the relay."""
        yielded_at = self._yielded_at
        if yielded_at is not None and now - yielded_at > _SLOW_READER_SECONDS:
            self._slot_context.close()

    def read(self) -> Iterator[bytes]:
        """Yield the chunks.

        :raises ProtocolError: if the server truncated the body.
        """
        while True:
            started = self._run.now()
            try:
                chunk = next(self._chunks, b'')
            except ProtocolError:
                self._finish(RunEnd.FAILED)
                raise
            self._run.add_time(self._run.now() - started)
            if not chunk:
                break
            self._yielded_at = self._run.now()
            yield chunk
            self._yielded_at = None
        self._finish(self._end)

    def close(self) -> None:
        """Release the slot and the connection."""
        self._finish(RunEnd.ABANDONED)

    def _finish(self, end: RunEnd) -> None:
        if self._closed:
            return
        self._closed = True
        self._slot_context.close()
        self._run.end(end)
