"""Rate limit in bytes for control messages that are sent in bursts."""

import threading

from godwitknot.clock import Clock


class ByteBudget:
    """Token bucket over bytes."""

    def __init__(
        self, clock: Clock, rate: float, burst: float, initial: float = 0
    ) -> None:
        """Create a full bucket.

        :param rate: bytes added per second.
        :param burst: capacity, the bytes that can be sent at once.
        :param initial: bytes available at first, if more than ``burst``.
        """
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._level = max(initial, burst)
        self._refilled_at = clock.now()
        self._lock = threading.Lock()

    def try_consume(self, size: int) -> bool:
        """Consume bytes if they are available.

        :returns: whether they were.
        """
        with self._lock:
            self._refill()
            if self._level < size:
                return False
            self._level -= size
            return True

    def _refill(self) -> None:
        now = self._clock.now()
        added = (now - self._refilled_at) * self._rate
        if self._level < self._burst:
            self._level = min(self._level + added, self._burst)
        self._refilled_at = now
