"""Structured log lines on standard output, bounded and never blocking."""

import asyncio
import collections
import json
import os
from collections.abc import Mapping

from godwitknot.clock import Clock
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.mesh.telemetry import Telemetry

# Lines buffered until the next flush; more are dropped and counted.
_MAX_BUFFERED_LINES = 2000
# Bytes of all lines that the descriptor has not taken; lines beyond are dropped
# too. The longest lines, with the trace of an error, have some kilobytes.
_MAX_BACKLOG_BYTES = 1048576
_FLUSH_SECONDS = 0.1
# Lines logged per second for successful requests; failures are not sampled.
_GOOD_LINES_PER_SECOND = 20
_STDOUT = 1


class EventLog:
    """Buffers log lines and writes them from the event loop.

    The descriptor is non-blocking: if the reader does not keep up, lines are
    dropped and counted, and the node is never blocked.
    """

    def __init__(
        self,
        node: str,
        clock: Clock,
        fd: int = _STDOUT,
        held: HeldBytes = UNCOUNTED,
        telemetry: Telemetry | None = None,
    ) -> None:
        """Create an empty log.

        :param node: name of the node, part of each line.
        :param fd: file descriptor to write to.
        :param held: charged with lines until the descriptor has taken them.
        :param telemetry: counts dropped lines.
        """
        self._held = held
        self._telemetry = telemetry or Telemetry()
        self._backlog_bytes = 0
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
        if not self._append(event, fields):
            self._count_dropped(1)

    def _append(self, event: str, fields: Mapping[str, object]) -> bool:
        """Buffer a line; return whether there was room for it."""
        if len(self._buffered) >= _MAX_BUFFERED_LINES:
            return False
        entry = {
            'time': round(self._clock.wall(), 3),
            'node': self._node,
            'event': event,
            **fields,
        }
        text = json.dumps(entry, default=str, separators=(',', ':'))
        line = f'{text}\n'.encode()
        if self._backlog_bytes + len(line) > _MAX_BACKLOG_BYTES:
            return False
        self._buffered.append(line)
        self._charge(len(line))
        self._schedule_flush()
        return True

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
        if self._dropped:
            lines = {'lines': self._dropped}
            if self._append('log lines dropped', lines):
                self._dropped = 0
        while self._unwritten or self._buffered:
            if not self._unwritten:
                self._unwritten = b''.join(self._buffered)
                self._buffered.clear()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                break
            except OSError:
                # A broken standard output cannot be reported in the log.
                self._count_dropped(self._unwritten.count(b'\n'))
                self._charge(-len(self._unwritten))
                self._unwritten = b''
                break
            self._charge(-written)
            self._unwritten = self._unwritten[written:]
        if self._unwritten:
            self._schedule_flush()

    def _count_dropped(self, lines: int) -> None:
        self._dropped += lines
        self._telemetry.count('log_lines_dropped', lines)

    def _charge(self, size: int) -> None:
        self._backlog_bytes += size
        self._held.charge(size)

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._flush_scheduled = True
        loop.call_later(_FLUSH_SECONDS, self.flush)
