"""Choice of a server for a request."""

import random
import threading
from collections.abc import Sequence

import attrs

from godwitknot.clock import Clock
from godwitknot.control.records import ServerState
from godwitknot.proxying.candidates import (
    Candidate,
    CandidatePool,
    Locality,
    ServerKey,
)

_REGION_LINK_BITS = 30_000_000
_BITS_PER_BYTE = 8
_REGION_LINK_SHARE = 0.5
_BURST_SECONDS = 2.0
# From here on a place counts as full and the next one is compared too.
_BUSY = 1.0
# A server with its queue full refuses what it is sent.
_FULL = 3.0
# Share of the repeatable requests that try a server on probation.
_PROBATION_CHANCE = 0.05


class RegionBudget:
    """Token bucket for bytes to and from other regions."""

    def __init__(self, clock: Clock, region_nodes: int = 1) -> None:
        """Start with a full bucket.

        :param region_nodes: nodes of the own region, which share the link.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._rate = float(0)
        self._tokens = float(0)
        self._filled_at = clock.now()
        self.set_region_nodes(region_nodes)
        self._tokens = self._rate * _BURST_SECONDS

    def set_region_nodes(self, region_nodes: int) -> None:
        """Divide the link among the nodes of the region."""
        share = _REGION_LINK_BITS / _BITS_PER_BYTE * _REGION_LINK_SHARE
        with self._lock:
            self._rate = share / max(1, region_nodes)

    def has_room(self) -> bool:
        """Tell whether a request may cross now."""
        with self._lock:
            self._fill()
            return self._tokens > 0

    def charge(self, count: int) -> None:
        """Pay for bytes that crossed; the bucket may go below zero."""
        with self._lock:
            self._fill()
            self._tokens -= count

    def _fill(self) -> None:
        now = self._clock.now()
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._rate * _BURST_SECONDS, self._tokens + gained)
        self._filled_at = now


@attrs.frozen
class SelectionCriteria:
    """A request that needs a server.

    :param repeatable: whether the class allows a repeat.
    :param remaining: seconds until the deadline.
    :param service_time: usual service time of the class in seconds.
    :param any_region: whether the class may leave the region.
    :param tried: servers that got it already.
    """

    service: str
    repeatable: bool
    remaining: float
    service_time: float = 0
    any_region: bool = True
    tried: frozenset[ServerKey] = frozenset()


@attrs.frozen
class Choice:
    """The chosen server.

    :param last_resort: ask an ejected server, since nothing else is left.
    :param crosses_region: its bytes are charged to the region budget.
    """

    candidate: Candidate
    last_resort: bool
    crosses_region: bool


class Selector:
    """Chooses by locality, then by the load of two random contacts."""

    def __init__(
        self,
        pool: CandidatePool,
        budget: RegionBudget,
        random_source: random.Random | None = None,
    ) -> None:
        """Choose among the contacts of a book."""
        self._pool = pool
        self._budget = budget
        self._random = random_source or random.Random()

    def choose(self, criteria: SelectionCriteria) -> Choice | None:
        """Choose a server.

        :returns: ``None`` if no contact is left to try.
        """
        candidates = [
            candidate
            for candidate in self._pool.candidates(criteria.service)
            if candidate.key not in criteria.tried and candidate.usable
        ]
        return (
            self._choose_probation(criteria, candidates)
            or self._choose_ready(criteria, candidates)
            or self._choose_last_resort(criteria, candidates)
        )

    def _choose_probation(
        self,
        criteria: SelectionCriteria,
        candidates: Sequence[Candidate],
    ) -> Choice | None:
        on_probation = [
            candidate
            for candidate in candidates
            if candidate.state == ServerState.PROBATION
            and candidate.locality != Locality.OTHER_REGION
        ]
        if not on_probation or not criteria.repeatable or criteria.tried:
            return None
        if self._random.random() > _PROBATION_CHANCE:
            return None
        candidate = self._random.choice(on_probation)
        return Choice(candidate, last_resort=False, crosses_region=False)

    def _choose_ready(
        self,
        criteria: SelectionCriteria,
        candidates: Sequence[Candidate],
    ) -> Choice | None:
        ready = [
            candidate
            for candidate in candidates
            if candidate.state == ServerState.READY
            and candidate.fullness < _FULL
        ]
        best = self._choose_near(ready)
        if best is not None and not _is_at_risk(criteria, best):
            return Choice(best, last_resort=False, crosses_region=False)
        if criteria.any_region and self._budget.has_room():
            far = self._choose_two(ready, Locality.OTHER_REGION)
            if far is not None and (best is None or _is_better(far, best)):
                return Choice(far, last_resort=False, crosses_region=True)
        if best is None:
            return None
        return Choice(best, last_resort=False, crosses_region=False)

    def _choose_near(self, ready: Sequence[Candidate]) -> Candidate | None:
        own = self._choose_two(ready, Locality.SAME_DOMAIN)
        if own is not None and own.fullness < _BUSY:
            return own
        other = self._choose_two(ready, Locality.SAME_REGION)
        if own is None or other is None:
            return own or other
        return other if _is_better(other, own) else own

    def _choose_two(
        self,
        ready: Sequence[Candidate],
        locality: Locality,
    ) -> Candidate | None:
        near = [
            candidate for candidate in ready if candidate.locality == locality
        ]
        if not near:
            return None
        drawn = self._random.sample(near, min(2, len(near)))
        return min(drawn, key=lambda candidate: candidate.fullness)

    def _choose_last_resort(
        self,
        criteria: SelectionCriteria,
        candidates: Sequence[Candidate],
    ) -> Choice | None:
        """Choose the least loaded of the rest, full and ejected ones."""
        far_allowed = criteria.any_region and self._budget.has_room()
        allowed = [
            candidate
            for candidate in candidates
            if far_allowed or candidate.locality != Locality.OTHER_REGION
        ]
        if not allowed:
            return None
        best = min(
            allowed,
            key=lambda candidate: (
                candidate.state != ServerState.READY,
                candidate.locality,
                candidate.outstanding,
            ),
        )
        return Choice(
            best,
            last_resort=best.state != ServerState.READY,
            crosses_region=best.locality == Locality.OTHER_REGION,
        )


def _is_better(one: Candidate, other: Candidate) -> bool:
    return one.fullness < other.fullness


def _is_at_risk(criteria: SelectionCriteria, candidate: Candidate) -> bool:
    """Tell whether the queue leaves too little time for the request."""
    if criteria.remaining <= criteria.service_time:
        return True
    slots = candidate.located.server.slots
    wait = candidate.queued * criteria.service_time / slots
    return wait > criteria.remaining - criteria.service_time
