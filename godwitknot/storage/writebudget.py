"""Rate limit of writes to the table service."""

import threading

from godwitknot.clock import Clock

_MIN_CAPACITY_WRITES = 2


class WriteBudget:
    """Token bucket that keeps the writes of claims within store capacity."""

    def __init__(self, rate: float, clock: Clock) -> None:
        """Create a budget that holds the writes of one second.

        :param rate: writes per second of this node.
        """
        self._rate = rate
        self._clock = clock
        self._tokens = rate
        self._refilled_at = clock.now()
        self._lock = threading.Lock()

    def set_rate(self, rate: float) -> None:
        """Set the rate of this node when the size of the fleet changes."""
        with self._lock:
            self._rate = rate

    def try_spend(self, writes: int) -> bool:
        """Spend writes if the budget has enough.

        :returns: whether the writes were spent.
        """
        with self._lock:
            now = self._clock.now()
            gained = (now - self._refilled_at) * self._rate
            # A claim and its response take two writes, which must fit into
            # the bucket even if the rate is lower.
            capacity = max(self._rate, _MIN_CAPACITY_WRITES)
            self._tokens = min(capacity, self._tokens + gained)
            self._refilled_at = now
            if self._tokens < writes:
                return False
            self._tokens -= writes
            return True
