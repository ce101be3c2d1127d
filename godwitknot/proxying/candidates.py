"""Candidate servers of an ingress, with their load and link state."""

import enum
import random
import threading
from collections.abc import Iterable

import attrs
import xxhash

from godwitknot.clock import Clock
from godwitknot.control.records import LocatedServer, NodeRecord, ServerState

_MAX_CANDIDATES = 16
# The remaining candidates come from other failure domains or regions, so that
# the loss of one of these leaves candidates that are already known.
_MAX_WITHIN_DOMAIN = 10
_MAX_WITHIN_REGION = 14
_LOAD_VALID_SECONDS = 2.0
_INITIAL_BACKOFF_SECONDS = 0.25
_MAX_BACKOFF_SECONDS = 10.0
_MAX_DOUBLINGS = 6
# A refusal can show a state change that has not reached the directory yet.
_REFUSED_SECONDS = 1.0
_USABLE_STATES = frozenset(
    (ServerState.READY, ServerState.PROBATION, ServerState.EJECTED),
)

ServerKey = tuple[str, str]


class Locality(enum.IntEnum):
    """Locality of a server relative to this ingress, nearest first."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@attrs.frozen
class ReportedLoad:
    """Load of a server, from a response header.

    :param share: ramp share, 0 to 1.
    """

    running: int
    queued: int
    slots: int
    share: float


@attrs.frozen
class Candidate:
    """Snapshot of a server as seen from this ingress.

    :param outstanding: requests of this ingress without a response.
    :param load: ``None`` without a recent report.
    :param usable: false during the backoff of its link or after a refusal.
    """

    located: LocatedServer
    locality: Locality
    outstanding: int
    load: ReportedLoad | None
    usable: bool

    @property
    def key(self) -> ServerKey:
        """Fleet-wide name of the server."""
        return self.located.key

    @property
    def state(self) -> ServerState:
        """State according to the directory."""
        return self.located.server.state

    @property
    def queued(self) -> int:
        """Requests in the server's queue, as last reported."""
        return self.load.queued if self.load else 0

    @property
    def fullness(self) -> float:
        """Load per slot and ramp share; 1 means that all slots are in use."""
        load = self.load
        if load is None:
            return self.outstanding / self.located.server.slots
        busy = load.running + load.queued + self.outstanding
        if not load.share:
            return float('inf')
        return busy / load.slots / load.share


@attrs.define
class _NodeLink:
    """A failed link to a node.

    :param failures: consecutive ones.
    :param retry_at: end of the backoff, monotonic seconds.
    """

    failures: int = 0
    retry_at: float = 0


@attrs.define
class _ServerStatus:
    """What the ingress knows about one server.

    :param load_at: when ``load`` was reported, monotonic seconds.
    :param avoid_until: monotonic seconds.
    """

    outstanding: int = 0
    load: ReportedLoad | None = None
    load_at: float = 0
    avoid_until: float = 0


class CandidatePool:
    """The candidates of one ingress for all services."""

    def __init__(
        self,
        local_node: NodeRecord,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Create an empty pool.

        :param local_node: record of this ingress's node, for its locality.
        """
        self._local_node = local_node
        self._clock = clock
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._chosen: dict[str, list[LocatedServer]] = {}
        self._statuses: dict[ServerKey, _ServerStatus] = {}
        self._node_links: dict[str, _NodeLink] = {}

    def update(self, service: str, servers: Iterable[LocatedServer]) -> None:
        """Choose the candidates of a service, after the directory changed."""
        chosen = choose_candidates(self._local_node, servers)
        with self._lock:
            self._chosen[service] = chosen

    def candidates(self, service: str) -> list[Candidate]:
        """Return a snapshot of the candidates of a service."""
        with self._lock:
            now = self._clock.now()
            return [
                self._build_candidate(located, now)
                for located in self._chosen.get(service, ())
            ]

    def record_sent(self, key: ServerKey) -> None:
        """Count a request to a server as outstanding.

        On a failed link it is the only probe until the next backoff ends.
        """
        with self._lock:
            self._get_status(key).outstanding += 1
            link = self._node_links.get(key[0])
            if link is not None:
                link.retry_at = self._clock.now() + self._backoff(link)

    def record_done(self, key: ServerKey, load: ReportedLoad | None) -> None:
        """Record the end of a request.

        :param load: from the response, ``None`` if there was none.
        """
        with self._lock:
            status = self._get_status(key)
            status.outstanding -= 1
            if load is not None:
                status.load = load
                status.load_at = self._clock.now()
                self._node_links.pop(key[0], None)

    def record_refused(self, key: ServerKey) -> None:
        """Avoid a server for 1 s after its sidecar refused by its state."""
        with self._lock:
            self._get_status(key).avoid_until = (
                self._clock.now() + _REFUSED_SECONDS
            )

    def record_link_failed(self, node_id: str) -> None:
        """Avoid a node that could not be reached, with a growing backoff."""
        with self._lock:
            link = self._node_links.setdefault(node_id, _NodeLink())
            link.failures += 1
            link.retry_at = self._clock.now() + self._backoff(link)

    def _backoff(self, link: _NodeLink) -> float:
        doublings = min(link.failures, _MAX_DOUBLINGS)
        backoff = _INITIAL_BACKOFF_SECONDS * 2**doublings
        jitter = self._random.uniform(1 / 2, 1)
        return jitter * min(backoff, _MAX_BACKOFF_SECONDS)

    def _get_status(self, key: ServerKey) -> _ServerStatus:
        return self._statuses.setdefault(key, _ServerStatus())

    def _build_candidate(self, located: LocatedServer, now: float) -> Candidate:
        status = self._get_status(located.key)
        link = self._node_links.get(located.node.node_id)
        link_usable = link is None or link.retry_at <= now
        load_valid = now - status.load_at < _LOAD_VALID_SECONDS
        return Candidate(
            located,
            find_locality(self._local_node, located.node),
            status.outstanding,
            status.load if load_valid else None,
            link_usable and status.avoid_until <= now,
        )


def find_locality(local_node: NodeRecord, other_node: NodeRecord) -> Locality:
    """Return the locality of another node."""
    if local_node.region != other_node.region:
        return Locality.OTHER_REGION
    if local_node.failure_domain != other_node.failure_domain:
        return Locality.SAME_REGION
    return Locality.SAME_DOMAIN


def choose_candidates(
    local_node: NodeRecord,
    servers: Iterable[LocatedServer],
) -> list[LocatedServer]:
    """Choose up to 16 servers by rendezvous hashing, nearest first.

    Each ingress gets another subset, and a server that joins or leaves
    changes at most one entry of it.
    """
    usable = [
        located
        for located in servers
        if located.reachable and located.server.state in _USABLE_STATES
    ]
    if len(usable) <= _MAX_CANDIDATES:
        return usable
    ranked = sorted(usable, key=lambda located: _rank(local_node, located))
    chosen: list[LocatedServer] = []
    for max_count, localities in (
        (_MAX_WITHIN_DOMAIN, {Locality.SAME_DOMAIN}),
        (_MAX_WITHIN_REGION, {Locality.SAME_REGION}),
        (_MAX_CANDIDATES, {Locality.OTHER_REGION}),
        # Fills what is left if a locality has too few servers.
        (_MAX_CANDIDATES, set(Locality)),
    ):
        _add_from(chosen, ranked, max_count, local_node, localities)
    return chosen


def _add_from(
    chosen: list[LocatedServer],
    ranked: list[LocatedServer],
    max_count: int,
    local_node: NodeRecord,
    localities: set[Locality],
) -> None:
    for located in ranked:
        if len(chosen) >= max_count:
            return
        fits = find_locality(local_node, located.node) in localities
        if fits and located not in chosen:
            chosen.append(located)


def _rank(local_node: NodeRecord, located: LocatedServer) -> tuple[int, int]:
    name = '\0'.join((local_node.node_id, *located.key))
    weight = xxhash.xxh3_64_intdigest(name.encode())
    return (find_locality(local_node, located.node), weight)
