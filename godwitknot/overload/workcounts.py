"""Counts of requests by service and class of work: who waits and who is refused."""

import collections
from collections.abc import Callable, Iterable, Mapping

import attrs

from godwitknot.clock import Clock

# Classes of work with counts of their own; further ones are counted together.
# Each has a count for each refusal code, of which there are about thirty.
_MAX_CLASSES = 200
_OTHER = '(other)'

_Class = tuple[str, str]


@attrs.frozen(eq=False)
class ActiveRequest:
    """A request that has no final response yet.

    :param work: its service, and the route as its class of work.
    :param arrived: on the node's clock.
    :param is_waiting: returns whether no server has taken it.
    """

    work: _Class
    arrived: float
    is_waiting: Callable[[], bool]


class WorkCounts:
    """Requests of one node by service and route."""

    def __init__(self, zone: str, region: str, clock: Clock) -> None:
        """Start without counts.

        :param zone: failure domain of this node.
        :param region: of this node.
        """
        self._zone = zone
        self._region = region
        self._clock = clock
        self._classes: set[_Class] = set()
        self._active: set[ActiveRequest] = set()
        self._results: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._places: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def begin(
        self, service: str, route: str, is_waiting: Callable[[], bool]
    ) -> ActiveRequest:
        """Count a request as active until :meth:`end`.

        :param is_waiting: returns whether no server has taken it.
        """
        work = self._find_class(service, route)
        active = ActiveRequest(work, self._clock.now(), is_waiting)
        self._active.add(active)
        return active

    def end(self, active: ActiveRequest, result: str) -> None:
        """Count the final response of a request.

        :param result: ``good``, ``failed`` or the code of the refusal; empty
            if there is none, since its caller has left.
        """
        self._active.discard(active)
        if result:
            self._results[(*active.work, result)] += 1

    def count_answer(
        self, active: ActiveRequest, zone: str, region: str
    ) -> None:
        """Count a request by the place of the server that has answered it.

        :param zone: failure domain of the server.
        :param region: of the server.
        """
        place = 'other-region'
        if region == self._region:
            place = 'own-domain' if zone == self._zone else 'own-region'
        self._places[(*active.work, place)] += 1

    def read_results(self) -> Mapping[tuple[str, str, str], int]:
        """Return the ended requests by service, route and result."""
        return self._results

    def read_places(self) -> Mapping[tuple[str, str, str], int]:
        """Return the answered requests by service, route and place."""
        return self._places

    def count_waiting(self) -> Mapping[_Class, int]:
        """Return the requests that no server has taken, by service and route.

        Classes that were seen before and have none count 0.
        """
        counts = dict.fromkeys(self._classes, 0)
        for active in self._list_waiting():
            counts[active.work] += 1
        return counts

    def find_longest_waits(self) -> Mapping[_Class, float]:
        """Return the seconds of the longest wait by service and route."""
        now = self._clock.now()
        waits = dict.fromkeys(self._classes, float(0))
        for active in self._list_waiting():
            waits[active.work] = max(waits[active.work], now - active.arrived)
        return waits

    def _list_waiting(self) -> Iterable[ActiveRequest]:
        return (each for each in self._active if each.is_waiting())

    def _find_class(self, service: str, route: str) -> _Class:
        work = (service, route)
        if work not in self._classes and len(self._classes) >= _MAX_CLASSES:
            work = (_OTHER, _OTHER)
        self._classes.add(work)
        return work
