"""Schedule of the returns of callers that were refused for want of a slot."""

import collections
from collections.abc import Hashable, Mapping

import attrs

from godwitknot.clock import Clock

# Services, and refused requests of each, whose places are kept.
_MAX_SERVICES = 64
_MAX_PLACES = 512
# Requests served in this time tell how many can be promised.
_WINDOW_SECONDS = 5.0
_MAX_SERVED = 512
# Places are at least this dense, so that a node that got no slot lately does
# not send its callers away for minutes.
_MIN_RETURNS_PER_SECOND = 1.0
# Callers honor a time to return of up to this share of the time they have.
_HONORED_SHARE = 1 / 3
# A place is kept for this long after its time.
_KEPT_SECONDS = 5.0
# Callers may return this much early, since their clocks and timers differ.
_EARLY_SECONDS = 0.05


@attrs.define
class _ServiceSchedule:
    """Places of one service, by the caller and its request."""

    places: dict[Hashable, float] = attrs.field(factory=dict)
    served: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_SERVED)
    )
    last_place: float = 0

    def rate(self, now: float) -> float:
        """Return how many requests a second got a slot lately."""
        while self.served and self.served[0] < now - _WINDOW_SECONDS:
            self.served.popleft()
        return max(_MIN_RETURNS_PER_SECOND, len(self.served) / _WINDOW_SECONDS)

    def forget_missed(self, now: float) -> int:
        """Forget places whose callers did not return; return how many."""
        before = len(self.places)
        self.places = {
            caller: place
            for caller, place in self.places.items()
            if place > now - _KEPT_SECONDS
        }
        return before - len(self.places)


class ReturnSchedule:
    """Places at which refused callers of this node are told to return.

    They follow each other at the rate at which requests of this node got
    slots, so that callers return spread over the time in which there is
    capacity. A request that returns at its place comes before new ones.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a schedule without places."""
        self._clock = clock
        self._services: dict[str, _ServiceSchedule] = {}
        self._missed = 0

    def record_served(self, service: str) -> None:
        """Count a request that got a slot."""
        self._find(service).served.append(self._clock.now())

    def reserve(
        self, service: str, caller: Hashable, wait: float, left: float
    ) -> float:
        """Return the seconds after which a refused caller is to return.

        :param caller: identifies the caller and its request. Different
            callers may send the same request.
        :param wait: seconds until there may be a slot, as servers expect.
        :param left: seconds until the caller's deadline.
        """
        now = self._clock.now()
        schedule = self._find(service)
        self._missed += schedule.forget_missed(now)
        known = schedule.places.get(caller)
        if known is not None and known > now:
            # One that returns early keeps its place.
            return known - now
        gap = 1 / schedule.rate(now)
        seconds = max(wait, schedule.last_place + gap - now)
        if seconds > max(wait, _HONORED_SHARE * left):
            # The caller would not wait for it, so that others get the place.
            return seconds
        schedule.last_place = now + seconds
        if len(schedule.places) < _MAX_PLACES:
            schedule.places[caller] = schedule.last_place
        return seconds

    def redeem(self, service: str, caller: Hashable) -> bool:
        """Return whether a request returns at its place, which it then uses.

        :param caller: identifies the caller and its request.
        """
        schedule = self._services.get(service)
        if schedule is None:
            return False
        place = schedule.places.get(caller)
        if place is None or place - _EARLY_SECONDS > self._clock.now():
            return False
        schedule.places.pop(caller)
        return place > self._clock.now() - _KEPT_SECONDS

    def is_early(self, service: str, caller: Hashable) -> bool:
        """Return whether a request returns before its place.

        :param caller: identifies the caller and its request.
        """
        schedule = self._services.get(service)
        if schedule is None:
            return False
        place = schedule.places.get(caller, 0)
        return place > self._clock.now()

    def count_missed(self) -> Mapping[tuple[()], int]:
        """Return how many callers did not return in time for their place."""
        return {(): self._missed}

    def _find(self, service: str) -> _ServiceSchedule:
        schedule = self._services.get(service)
        if schedule is None:
            if len(self._services) >= _MAX_SERVICES:
                self._services.pop(next(iter(self._services)))
            schedule = _ServiceSchedule()
            self._services[service] = schedule
        return schedule
