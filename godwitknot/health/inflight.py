"""Requests of one server that are not answered yet."""

import math

import attrs

from godwitknot.clock import Clock
from godwitknot.health.likelihood import find_scale, log_excess, weigh_hang
from godwitknot.health.siblings import Baseline

# Rarely reached by a healthy request; a new connection costs only 1 ms.
_OVERDUE_EXCESS = math.log(10)


@attrs.frozen
class _Sent:
    work_class: str
    fresh_connection: bool
    started: float


class InFlightRequests:
    """Weighs requests while they hang; the caller holds a lock."""

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self._clock = clock
        self._sent: dict[str, _Sent] = {}

    def add(
        self,
        request_id: str,
        work_class: str,
        *,
        fresh_connection: bool,
    ) -> None:
        """Note that a request was sent."""
        sent = _Sent(work_class, fresh_connection, self._clock.now())
        self._sent[request_id] = sent

    def remove(self, request_id: str) -> None:
        """Forget a request that ended; an unknown id is ignored."""
        self._sent.pop(request_id, None)

    def clear(self) -> None:
        """Forget all requests."""
        self._sent.clear()

    def is_connection_silent(self, work_class: str, median: float) -> bool:
        """Tell whether a request of a class hangs on a reused connection.

        :param median: baseline of the class, seconds.
        """
        return any(
            log_excess(elapsed, median) > _OVERDUE_EXCESS
            for elapsed in self._elapsed(work_class, fresh=False)
        )

    def weigh(self, work_class: str, baseline: Baseline) -> list[float]:
        """Weigh the requests of a class that take longer than usual.

        A hang on a reused connection may be the connection's fault, so it
        counts only while a request on a new connection hangs as well.
        """
        excesses = [
            log_excess(elapsed, baseline.median)
            for elapsed in self._elapsed(work_class, fresh=True)
        ]
        if any(excess > _OVERDUE_EXCESS for excess in excesses):
            excesses.extend(
                log_excess(elapsed, baseline.median)
                for elapsed in self._elapsed(work_class, fresh=False)
            )
        scale = find_scale(baseline.median, baseline.spread)
        weights = [weigh_hang(excess, scale) for excess in excesses]
        return [weight for weight in weights if weight > 0]

    def _elapsed(self, work_class: str, *, fresh: bool) -> list[float]:
        now = self._clock.now()
        return [
            now - sent.started
            for sent in self._sent.values()
            if sent.work_class == work_class and sent.fresh_connection == fresh
        ]
