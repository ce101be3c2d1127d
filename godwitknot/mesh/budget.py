"""The fleet's budget of repeats, shared without a shared counter."""

import collections

from godwitknot.clock import Clock
from godwitknot.mesh.model import Bounds

# The bound holds for the whole fleet and counts also the calls that a
# repeated run makes, so that nodes spend a part of it themselves.
_SPENT_SHARE = 0.6
_BUCKETS = 10


class _Window:
    """Counts events of the last seconds in buckets."""

    def __init__(self, seconds: float) -> None:
        self._width = seconds / _BUCKETS
        self._counts: collections.Counter[int] = collections.Counter()

    def add(self, now: float) -> None:
        self._counts[int(now / self._width)] += 1

    def total(self, now: float) -> int:
        oldest = int(now / self._width) - _BUCKETS
        for bucket in [each for each in self._counts if each <= oldest]:
            self._counts.pop(bucket)
        return self._counts.total()


class RepeatBudget:
    """Limits how often this node sends requests of a service again.

    Each node spends a share of the ratio on its own requests and an equal
    part of the fleet's slack, so that the sum keeps the fleet's bound.
    """

    def __init__(self, bounds: Bounds, clock: Clock) -> None:
        """Start with an unused budget."""
        self._bounds = bounds
        self._clock = clock
        self._requests: dict[str, _Window] = {}
        self._repeats: dict[str, _Window] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._window(self._requests, service).add(self._clock.now())

    def try_spend(self, service: str, nodes: int) -> bool:
        """Charge one repeat.

        :param nodes: number of nodes that share the slack.
        :returns: whether the budget covers it.
        """
        now = self._clock.now()
        requests = self._window(self._requests, service).total(now)
        earned = self._bounds.retry_ratio * requests
        slack = self._bounds.retry_slack / max(1, nodes)
        repeats = self._window(self._repeats, service)
        if repeats.total(now) + 1 > _SPENT_SHARE * (earned + slack):
            return False
        repeats.add(now)
        return True

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = _Window(self._bounds.retry_window_seconds)
            windows[service] = window
        return window
