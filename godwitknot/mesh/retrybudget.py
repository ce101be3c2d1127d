"""The fleet's retry budget, enforced by the sidecars that admit requests."""

import collections

from godwitknot.clock import Clock
from godwitknot.mesh.model import Bounds

# The rest covers what sidecars cannot count: requests that arrived at servers
# that have ended, and uneven distribution over the servers of a service.
_USABLE_SHARE = 0.85
_BUCKETS = 10


class _SlidingWindow:
    """Sums amounts over the last seconds in buckets."""

    def __init__(self, seconds: float) -> None:
        self._bucket_seconds = seconds / _BUCKETS
        self._amounts: collections.Counter[int] = collections.Counter()

    def add(self, now: float, amount: float) -> None:
        self._amounts[int(now / self._bucket_seconds)] += amount

    def total(self, now: float) -> float:
        oldest = int(now / self._bucket_seconds) - _BUCKETS
        for bucket in [each for each in self._amounts if each < oldest]:
            self._amounts.pop(bucket)
        return self._amounts.total()


class RetryBudget:
    """Limits the repeats that this sidecar admits to its server.

    A sidecar is the only path to its server and sees all requests that arrive
    there. Each one admits the configured ratio of the first attempts that it
    has seen, plus an equal part of the slack, so that the sum over the servers
    of a service stays within the fleet's bound without a shared counter. A
    repeat that is refused here has not arrived and may be offered to another
    sidecar.
    """

    def __init__(self, bounds: Bounds, clock: Clock) -> None:
        """Create a budget without slack for the first window.

        The repeats that this node admitted before a restart are not known, so
        only the ratio is spent within the first window.
        """
        self._bounds = bounds
        self._clock = clock
        self._slack_from = clock.now() + bounds.retry_window_seconds
        self._first_attempts = _SlidingWindow(bounds.retry_window_seconds)
        self._repeats = _SlidingWindow(bounds.retry_window_seconds)

    def record_first_attempt(self, repeat_probability: float) -> None:
        """Count a request that arrives for the first time.

        :param repeat_probability: probability that it counts as a repeat
            nevertheless, because the run that called it was one.
        """
        now = self._clock.now()
        self._first_attempts.add(now, 1 - repeat_probability)
        if repeat_probability > 0:
            self._repeats.add(now, repeat_probability)

    def try_spend(self, server_count: int) -> bool:
        """Charge one repeat to the budget.

        :param server_count: number of servers that share the slack.
        :returns: whether the budget covers it.
        """
        now = self._clock.now()
        budget = self._bounds.retry_ratio * self._first_attempts.total(now)
        if now >= self._slack_from:
            budget += self._bounds.retry_slack / max(1, server_count)
        if self._repeats.total(now) + 1 > _USABLE_SHARE * budget:
            return False
        self._repeats.add(now, 1)
        return True
