"""Byte budget of the control messages that come in bursts."""

import threading

from godwitknot.clock import Clock


class ByteBudget:
    """Token bucket over bytes, shared by rumours and anti-entropy."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        """Start full.

        :param rate: bytes a second.
        :param burst: bytes that may be sent at once after a quiet time.
        """
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = clock.now()
        self._lock = threading.Lock()

    def try_take(self, size: int, reserve: float = 0) -> bool:
        """Take bytes if they are there.

        :param reserve: bytes that must be left for others.
        """
        with self._lock:
            self._fill()
            if self._level < size + reserve:
                return False
            self._level -= size
            return True

    def _fill(self) -> None:
        now = self._clock.now()
        gained = (now - self._filled_at) * self._rate
        self._level = min(self._level + gained, self._burst)
        self._filled_at = now
