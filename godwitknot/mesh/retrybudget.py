"""The fleet's budget of repeats, kept at the sidecars that admit them."""

import collections

from godwitknot.clock import Clock
from godwitknot.mesh.model import Bounds

# Kept free for what sidecars cannot count: arrivals at servers that ended,
# and differences in how requests fall on the servers of a service.
_SPENT_SHARE = 0.85
_BUCKETS = 10


class _Window:
    """Adds amounts of the last seconds in buckets."""

    def __init__(self, seconds: float) -> None:
        self._width = seconds / _BUCKETS
        self._amounts: collections.Counter[int] = collections.Counter()

    def add(self, now: float, amount: float) -> None:
        self._amounts[int(now / self._width)] += amount

    def total(self, now: float) -> float:
        oldest = int(now / self._width) - _BUCKETS
        for bucket in [each for each in self._amounts if each < oldest]:
            self._amounts.pop(bucket)
        return self._amounts.total()


class RetryBudget:
    """Limits the repeats that this sidecar lets through to its server.

    A sidecar is the only path to its server and sees all that arrives
    there. Each spends the ratio on what has arrived first here and an equal
    part of the slack, so that the sum over the servers of a service keeps
    the fleet's bound without a shared counter. A repeat that is refused
    here has not arrived, and may be offered to another sidecar.
    """

    def __init__(self, bounds: Bounds, clock: Clock) -> None:
        """Start without slack.

        What this node spent before a restart is not known, so that it
        spends only the ratio within the first window.
        """
        self._bounds = bounds
        self._clock = clock
        self._slack_from = clock.now() + bounds.retry_window_seconds
        self._firsts = _Window(bounds.retry_window_seconds)
        self._repeats = _Window(bounds.retry_window_seconds)

    def note_first(self, hidden: float) -> None:
        """Count a request that arrives for the first time.

        :param hidden: likelihood that it counts as a repeat all the same,
            since a run that called it was one.
        """
        now = self._clock.now()
        self._firsts.add(now, 1 - hidden)
        if hidden > 0:
            self._repeats.add(now, hidden)

    def try_spend(self, servers: int) -> bool:
        """Charge one repeat.

        :param servers: number of servers that share the slack.
        :returns: whether the budget covers it.
        """
        now = self._clock.now()
        budget = self._bounds.retry_ratio * self._firsts.total(now)
        if now >= self._slack_from:
            budget += self._bounds.retry_slack / max(1, servers)
        if self._repeats.total(now) + 1 > _SPENT_SHARE * budget:
            return False
        self._repeats.add(now, 1)
        return True
