"""Byte budget of the control messages that come in bursts."""

import threading

from godwitknot.clock import Clock


class ByteBudget:
    """Token bucket over bytes."""

    def __init__(
        self, clock: Clock, rate: float, burst: float, start: float = 0
    ) -> None:
        """Start full.

        :param rate: bytes a second.
        :param burst: bytes that may be sent at once after a quiet time.
        :param start: bytes at the start, if more than ``burst``.
        """
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._level = max(start, burst)
        self._filled_at = clock.now()
        self._lock = threading.Lock()

    def try_take(self, size: int) -> bool:
        """Take bytes if they are there."""
        with self._lock:
            self._fill()
            if self._level < size:
                return False
            self._level -= size
            return True

    def _fill(self) -> None:
        now = self._clock.now()
        gained = (now - self._filled_at) * self._rate
        if self._level < self._burst:
            self._level = min(self._level + gained, self._burst)
        self._filled_at = now
