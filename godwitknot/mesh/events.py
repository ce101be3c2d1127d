"""Structured log lines on standard output, bounded and never blocking."""

import asyncio
import collections
import json
import os

from godwitknot.clock import Clock

# Lines buffered until the next flush; more are dropped and counted.
_MAX_BUFFERED_LINES = 2000
_FLUSH_SECONDS = 0.1
# Lines logged per second for successful requests; failures are not sampled.
_GOOD_LINES_PER_SECOND = 20
_STDOUT = 1


class EventLog:
    """Buffers log lines and writes them from the event loop.

    The descriptor is non-blocking: if the reader does not keep up, lines are
    dropped and counted, and the node is never blocked.
    """

    def __init__(self, node: str, clock: Clock, fd: int = _STDOUT) -> None:
        """Create an empty log.

        :param node: name of the node, part of each line.
        :param fd: file descriptor to write to.
        """
        self._node = node
        self._clock = clock
        self._fd = fd
        self._buffered: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self._dropped = 0
        self._good_second = 0
        self._good_count = 0
        self._flush_scheduled = False

    def prepare(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self._fd, False)

    def write(self, event: str, **fields: object) -> None:
        """Log an event.

        :param event: constant name of the event.
        :param fields: ids, inputs and outcome, as JSON fields.
        """
        if len(self._buffered) >= _MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        entry = {
            'time': round(self._clock.wall(), 3),
            'node': self._node,
            'event': event,
            **fields,
        }
        line = json.dumps(entry, default=str, separators=(',', ':'))
        self._buffered.append(f'{line}\n'.encode())
        self._schedule_flush()

    def write_good(self, event: str, **fields: object) -> None:
        """Log an event of a successful request, up to a limit per second.

        :param event: constant name of the event.
        :param fields: ids, inputs and outcome, as JSON fields.
        """
        second = int(self._clock.now())
        if second != self._good_second:
            self._good_second = second
            self._good_count = 0
        self._good_count += 1
        if self._good_count <= _GOOD_LINES_PER_SECOND:
            self.write(event, **fields)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        self._flush_scheduled = False
        if self._dropped and len(self._buffered) < _MAX_BUFFERED_LINES:
            dropped, self._dropped = self._dropped, 0
            self.write('log lines dropped', lines=dropped)
        while self._unwritten or self._buffered:
            if not self._unwritten:
                self._unwritten = b''.join(self._buffered)
                self._buffered.clear()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                break
            except OSError:
                # A broken standard output cannot be reported anywhere; the
                # lines count as dropped.
                self._dropped += 1
                self._unwritten = b''
                break
            self._unwritten = self._unwritten[written:]
        if self._unwritten:
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._flush_scheduled = True
        loop.call_later(_FLUSH_SECONDS, self.flush)
