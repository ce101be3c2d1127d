"""Selection of a server among the candidates of an ingress."""

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

_REGION_LINK_BITS_PER_SECOND = 30_000_000
_BITS_PER_BYTE = 8
_REGION_LINK_SHARE = 0.5
_BURST_SECONDS = 2.0
# From this fullness on, a server of the next locality is compared too.
_BUSY_FULLNESS = 1.0
# A server this full is not chosen, since its queue is full and it refuses.
_MAX_FULLNESS = 3.0
# Share of the repeatable requests that are sent to a server on probation.
_PROBATION_SHARE = 0.05


class RegionBudget:
    """Token bucket for the bytes sent to and received from other regions."""

    def __init__(self, clock: Clock, region_nodes: int = 1) -> None:
        """Create a full bucket.

        :param region_nodes: nodes of the local region, which share the link.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._rate = float(0)
        self._tokens = float(0)
        self._refilled_at = clock.now()
        self.set_region_nodes(region_nodes)
        self._tokens = self._rate * _BURST_SECONDS

    def set_region_nodes(self, region_nodes: int) -> None:
        """Set this node's rate to its share of the link.

        :param region_nodes: nodes of the local region.
        """
        region_rate = (
            _REGION_LINK_BITS_PER_SECOND / _BITS_PER_BYTE * _REGION_LINK_SHARE
        )
        with self._lock:
            self._rate = region_rate / max(1, region_nodes)

    def has_room(self) -> bool:
        """Return whether a request may be sent to another region now."""
        with self._lock:
            self._refill()
            return self._tokens > 0

    def charge(self, count: int) -> None:
        """Take tokens for transferred bytes; the level may become negative."""
        with self._lock:
            self._refill()
            self._tokens -= count

    def _refill(self) -> None:
        now = self._clock.now()
        new_tokens = (now - self._refilled_at) * self._rate
        self._tokens = min(
            self._rate * _BURST_SECONDS, self._tokens + new_tokens
        )
        self._refilled_at = now


@attrs.frozen
class SelectionCriteria:
    """What a request requires of its server.

    :param repeatable: whether the class allows a request to run twice.
    :param remaining: seconds until the deadline.
    :param service_time: typical service time of the class in seconds.
    :param any_region: whether the class may be served in another region.
    :param tried: servers that the request was already sent to.
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

    :param last_resort: whether it is not ready, but nothing better is left.
    :param crosses_region: whether bytes are charged to the region budget.
    """

    candidate: Candidate
    last_resort: bool
    crosses_region: bool


class Selector:
    """Chooses by locality, then the less loaded of two random candidates."""

    def __init__(
        self,
        pool: CandidatePool,
        budget: RegionBudget,
        random_source: random.Random | None = None,
    ) -> None:
        """Create a selector over a pool of candidates."""
        self._pool = pool
        self._budget = budget
        self._random = random_source or random.Random()

    def choose(self, criteria: SelectionCriteria) -> Choice | None:
        """Choose a server.

        :returns: ``None`` if no candidate is left to try.
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
        if self._random.random() > _PROBATION_SHARE:
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
            and candidate.fullness < _MAX_FULLNESS
        ]
        best = self._choose_in_region(ready)
        if best is not None and not _is_at_risk(criteria, best):
            return Choice(best, last_resort=False, crosses_region=False)
        if criteria.any_region and self._budget.has_room():
            remote = self._choose_less_loaded(ready, Locality.OTHER_REGION)
            if remote is not None and (
                best is None or _is_less_loaded(remote, best)
            ):
                return Choice(remote, last_resort=False, crosses_region=True)
        if best is None:
            return None
        return Choice(best, last_resort=False, crosses_region=False)

    def _choose_in_region(self, ready: Sequence[Candidate]) -> Candidate | None:
        same_domain = self._choose_less_loaded(ready, Locality.SAME_DOMAIN)
        if same_domain is not None and same_domain.fullness < _BUSY_FULLNESS:
            return same_domain
        same_region = self._choose_less_loaded(ready, Locality.SAME_REGION)
        if same_domain is None or same_region is None:
            return same_domain or same_region
        return (
            same_region
            if _is_less_loaded(same_region, same_domain)
            else same_domain
        )

    def _choose_less_loaded(
        self,
        ready: Sequence[Candidate],
        locality: Locality,
    ) -> Candidate | None:
        matching = [
            candidate for candidate in ready if candidate.locality == locality
        ]
        if not matching:
            return None
        sampled = self._random.sample(matching, min(2, len(matching)))
        return min(sampled, key=lambda candidate: candidate.fullness)

    def _choose_last_resort(
        self,
        criteria: SelectionCriteria,
        candidates: Sequence[Candidate],
    ) -> Choice | None:
        """Choose the best of all candidates, even full and ejected ones."""
        remote_allowed = criteria.any_region and self._budget.has_room()
        allowed = [
            candidate
            for candidate in candidates
            if remote_allowed or candidate.locality != Locality.OTHER_REGION
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


def _is_less_loaded(one: Candidate, other: Candidate) -> bool:
    return one.fullness < other.fullness


def _is_at_risk(criteria: SelectionCriteria, candidate: Candidate) -> bool:
    """Return whether queueing may make the request miss its deadline."""
    if criteria.remaining <= criteria.service_time:
        return True
    slots = candidate.located.server.slots
    wait = candidate.queued * criteria.service_time / slots
    return wait > criteria.remaining - criteria.service_time
