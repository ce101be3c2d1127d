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
        :param burst: capacity in bytes.
        :param initial: bytes available at first, if more than ``burst``.
        """
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._available_bytes = max(initial, burst)
        self._refilled_at = clock.now()
        self._lock = threading.Lock()

    def try_consume(self, size: int) -> bool:
        """Consume bytes if they are available.

        :returns: whether they were.
        """
        with self._lock:
            self._refill()
            if self._available_bytes < size:
                return False
            self._available_bytes -= size
            return True

    def _refill(self) -> None:
        now = self._clock.now()
        added = (now - self._refilled_at) * self._rate
        if self._available_bytes < self._burst:
            self._available_bytes = min(
                self._available_bytes + added, self._burst
            )
        self._refilled_at = now
