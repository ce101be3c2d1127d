"""Limit on writes to the table service."""

import threading

from godwitknot.clock import Clock

_LEAST_CAPACITY = 2


class WriteBudget:
    """Token bucket that keeps claims below the store's capacity."""

    def __init__(self, rate: float, clock: Clock) -> None:
        """Start with a second's worth of writes.

        :param rate: writes a second for this node.
        """
        self._rate = rate
        self._clock = clock
        self._tokens = rate
        self._filled = clock.now()
        self._lock = threading.Lock()

    def set_rate(self, rate: float) -> None:
        """Change the share of this node, when the fleet grows or shrinks."""
        with self._lock:
            self._rate = rate

    def try_spend(self, writes: int) -> bool:
        """Take writes from the budget if it has them."""
        with self._lock:
            now = self._clock.now()
            gained = (now - self._filled) * self._rate
            # The bucket holds a claim and its answer even where the rate is below it.
            most = max(self._rate, _LEAST_CAPACITY)
            self._tokens = min(most, self._tokens + gained)
            self._filled = now
            if self._tokens < writes:
                return False
            self._tokens -= writes
            return True
