"""The body of an answer on its way from a backend server to the caller."""

import abc
import contextlib
from collections.abc import Iterator

from godwitknot.errors import ProtocolError
from godwitknot.servers.runresults import RunEnd

# A reader that blocks the relay for longer than this is the bottleneck, and
# the server's slot is free for other work.
_SLOW_READER_SECONDS = 0.25


class BodyOwner(abc.ABC):
    """The run whose answer a body belongs to."""

    @abc.abstractmethod
    def now(self) -> float:
        """Give the time on the node's clock."""

    @abc.abstractmethod
    def add_time(self, seconds: float) -> None:
        """Count time that the server itself took for the body."""

    @abc.abstractmethod
    def end(self, end: RunEnd) -> None:
        """Report the end of the run once."""


class ResponseBody:
    """The body of an answer, with the time that the server took for it."""

    def __init__(
        self,
        run: BodyOwner,
        chunks: Iterator[bytes],
        held: contextlib.ExitStack,
        end: RunEnd,
    ) -> None:
        """Take over the body.

        :param run: the run that the body belongs to.
        :param held: the slot.
        :param end: how the run ends if the body is whole.
        """
        self._run = run
        self._end = end
        self._chunks = chunks
        self._held = held
        self._closed = False
        self._yielded: float | None = None

    def free_slot(self, now: float) -> None:
        """Give the slot back if the reader keeps the relay waiting."""
        since = self._yielded
        if since is not None and now - since > _SLOW_READER_SECONDS:
            self._held.close()

    def read(self) -> Iterator[bytes]:
        """Give the chunks.

        :raises ProtocolError: if the server cut the body short.
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
            self._yielded = self._run.now()
            yield chunk
            self._yielded = None
        self._finish(self._end)

    def close(self) -> None:
        """Release the slot and the connection."""
        self._finish(RunEnd.ABANDONED)

    def _finish(self, end: RunEnd) -> None:
        if self._closed:
            return
        self._closed = True
        self._held.close()
        self._run.end(end)
