"""Slots that are kept free for urgent requests with short runs.

Calls of other servers take a fraction of the time of callers' requests, and
each one that waits for a slot also keeps the slot of the run that made it.
"""

import collections
import math
from collections.abc import Callable

import attrs

from godwitknot.clock import Clock
from godwitknot.mesh.messages import Offer

_WINDOW_SECONDS = 2.0
# Largest share of the slots that is kept free.
_MAX_SHARE = 1 / 3
# A lower demand is not worth a whole slot: urgent runs that fail at once need
# hardly any time, and a slot is a third of a small server.
_MIN_DEMAND_SLOTS = 0.5
# Runs count as short below this share of the duration of the request that
# they would come before.
_SHORT_SHARE = 1 / 3
_MAX_RUNS = 256


@attrs.frozen
class _Run:
    ended: float
    priority: int
    seconds: float


class Headroom:
    """Demand of short urgent runs in the last seconds."""

    def __init__(
        self, clock: Clock, estimate_seconds: Callable[[Offer], float]
    ) -> None:
        """Create a headroom without demand.

        :param estimate_seconds: returns how long a request will hold its slot.
        """
        self._clock = clock
        self._estimate_seconds = estimate_seconds
        self._runs: collections.deque[_Run] = collections.deque(
            maxlen=_MAX_RUNS
        )

    def record_run(self, priority: int, seconds: float) -> None:
        """Count a run that has released its slot.

        :param seconds: how long it has held the slot.
        """
        self._runs.append(_Run(self._clock.now(), priority, seconds))

    def count_slots(self, offer: Offer, slots: int) -> int:
        """Return how many free slots a request must leave to urgent ones.

        :param slots: of the server.
        """
        oldest = self._clock.now() - _WINDOW_SECONDS
        while self._runs and self._runs[0].ended < oldest:
            self._runs.popleft()
        limit = _SHORT_SHARE * self._estimate_seconds(offer)
        demand = sum(
            run.seconds
            for run in self._runs
            if run.priority < offer.priority and run.seconds < limit
        )
        needed = demand / _WINDOW_SECONDS
        if needed < _MIN_DEMAND_SLOTS:
            return 0
        return min(math.ceil(needed), int(_MAX_SHARE * slots))
