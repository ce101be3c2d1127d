"""Requests of one server that are in flight."""

import math

import attrs

from godwitknot.clock import Clock
from godwitknot.health.likelihood import estimate_scale, log_excess, weigh_hang
from godwitknot.health.siblings import Baseline

# A request counts as overdue at ten times the median. Healthy requests rarely
# take that long, and a new connection adds only 1 ms.
_OVERDUE_LOG_EXCESS = math.log(10)


@attrs.frozen
class _InFlight:
    work_class: str
    fresh_connection: bool
    started: float


class InFlightRequests:
    """In-flight requests as evidence of hangs; callers must hold a lock."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty collection."""
        self._clock = clock
        self._requests: dict[str, _InFlight] = {}

    def add(
        self,
        request_id: str,
        work_class: str,
        *,
        fresh_connection: bool,
    ) -> None:
        """Record that a request was sent."""
        request = _InFlight(work_class, fresh_connection, self._clock.now())
        self._requests[request_id] = request

    def remove(self, request_id: str) -> None:
        """Remove a request that ended; an unknown id is ignored."""
        self._requests.pop(request_id, None)

    def clear(self) -> None:
        """Remove all requests."""
        self._requests.clear()

    def hangs_on_reused_connection(
        self, work_class: str, median: float
    ) -> bool:
        """Return whether a request of a class hangs on a reused connection.

        :param median: baseline of the class, seconds.
        """
        return any(
            log_excess(elapsed, median) > _OVERDUE_LOG_EXCESS
            for elapsed in self._elapsed(work_class, fresh=False)
        )

    def weigh_hanging(self, work_class: str, baseline: Baseline) -> list[float]:
        """Return log-likelihood ratios of the hanging requests of a class.

        A hang on a reused connection may be the connection's fault, so it
        counts only while a request on a new connection hangs as well.
        """
        excesses = [
            log_excess(elapsed, baseline.median)
            for elapsed in self._elapsed(work_class, fresh=True)
        ]
        if any(excess > _OVERDUE_LOG_EXCESS for excess in excesses):
            excesses.extend(
                log_excess(elapsed, baseline.median)
                for elapsed in self._elapsed(work_class, fresh=False)
            )
        scale = estimate_scale(baseline.median, baseline.spread)
        weights = [weigh_hang(excess, scale) for excess in excesses]
        return [weight for weight in weights if weight > 0]

    def _elapsed(self, work_class: str, *, fresh: bool) -> list[float]:
        now = self._clock.now()
        return [
            now - request.started
            for request in self._requests.values()
            if request.work_class == work_class
            and request.fresh_connection == fresh
        ]
