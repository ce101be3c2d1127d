"""Structured log lines on standard output, bounded and never blocking."""

import asyncio
import collections
import json
import os

from godwitknot.clock import Clock

# Lines held until the next flush; more are dropped and counted.
_MOST_HELD = 2000
_FLUSH_SECONDS = 0.1
# Lines on good requests in one second; those on failures are not sampled.
_GOOD_PER_SECOND = 20
_STDOUT = 1


class EventLog:
    """Collects lines and writes them from the event loop.

    The descriptor is non-blocking, so a reader that does not read costs
    lines, which are counted, and never time.
    """

    def __init__(self, node: str, clock: Clock, fd: int = _STDOUT) -> None:
        """Start with nothing held.

        :param node: name that each line carries.
        :param fd: descriptor to write to.
        """
        self._node = node
        self._clock = clock
        self._fd = fd
        self._held: collections.deque[bytes] = collections.deque()
        self._rest = b''
        self._dropped = 0
        self._good_second = 0
        self._good_count = 0
        self._flushing = False

    def prepare(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self._fd, False)

    def write(self, event: str, **fields: object) -> None:
        """Log a decision or a change of belief.

        :param event: constant phrase.
        :param fields: ids, inputs and the outcome.
        """
        if len(self._held) >= _MOST_HELD:
            self._dropped += 1
            return
        entry = {
            'time': round(self._clock.wall(), 3),
            'node': self._node,
            'event': event,
            **fields,
        }
        line = json.dumps(entry, default=str, separators=(',', ':'))
        self._held.append(f'{line}\n'.encode())
        self._schedule()

    def write_good(self, event: str, **fields: object) -> None:
        """Log a good request, unless enough were logged this second."""
        second = int(self._clock.now())
        if second != self._good_second:
            self._good_second = second
            self._good_count = 0
        self._good_count += 1
        if self._good_count <= _GOOD_PER_SECOND:
            self.write(event, **fields)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        self._flushing = False
        if self._dropped and len(self._held) < _MOST_HELD:
            dropped, self._dropped = self._dropped, 0
            self.write('log lines dropped', lines=dropped)
        while self._rest or self._held:
            if not self._rest:
                self._rest = b''.join(self._held)
                self._held.clear()
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                break
            except OSError:
                # Nobody can be told when standard output itself is broken;
                # the lines count as dropped.
                self._dropped += 1
                self._rest = b''
                break
            self._rest = self._rest[written:]
        if self._rest:
            self._schedule()

    def _schedule(self) -> None:
        if self._flushing:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._flushing = True
        loop.call_later(_FLUSH_SECONDS, self.flush)
