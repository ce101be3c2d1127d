"""Which servers of a service an ingress uses, their load and links."""

import enum
import random
import threading
from collections.abc import Iterable

import attrs
import xxhash

from godwitknot.clock import Clock
from godwitknot.control.records import LocatedServer, NodeRecord, ServerState

_MAX_CANDIDATES = 16
# The rest is kept for other places, so that the loss of a failure domain
# or region leaves contacts that are already known.
_MOST_OWN_DOMAIN = 10
_MOST_OWN_REGION = 14
_LOAD_SECONDS = 2.0
_FIRST_BACKOFF_SECONDS = 0.25
_LONGEST_BACKOFF_SECONDS = 10.0
_MOST_DOUBLINGS = 6
# A refusal shows a state that the directory does not show yet.
_AVOID_SECONDS = 1.0
_USABLE_STATES = frozenset(
    (ServerState.READY, ServerState.PROBATION, ServerState.EJECTED),
)

ServerKey = tuple[str, str]


class Locality(enum.IntEnum):
    """Distance of a server, nearest first."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@attrs.frozen
class ReportedLoad:
    """Load of a server, from the header of a response.

    :param share: ramp share, 0 to 1.
    """

    running: int
    queued: int
    slots: int
    share: float


@attrs.frozen
class Candidate:
    """A server as this ingress sees it now.

    :param outstanding: own requests without a response.
    :param load: ``None`` if no fresh report is known.
    :param usable: whether link and recent refusals permit a request.
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
        """State from the directory."""
        return self.located.server.state

    @property
    def queued(self) -> int:
        """Requests that wait at the server, as last reported."""
        return self.load.queued if self.load else 0

    @property
    def fullness(self) -> float:
        """Load per slot and ramp share; 1 means that all slots are busy."""
        load = self.load
        if load is None:
            return self.outstanding / self.located.server.slots
        busy = load.running + load.queued + self.outstanding
        if not load.share:
            return float('inf')
        return busy / load.slots / load.share


@attrs.define
class _Link:
    """Link to a node: failures in a row and when it may be tried again."""

    failures: int = 0
    retry_at: float = 0


@attrs.define
class _Use:
    """What the ingress learned about one server."""

    outstanding: int = 0
    load: ReportedLoad | None = None
    load_at: float = 0
    avoid_until: float = 0


class CandidatePool:
    """Contacts of one ingress for all services."""

    def __init__(
        self,
        own: NodeRecord,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Start without contacts.

        :param own: record of the node of this ingress, for its place.
        """
        self._own = own
        self._clock = clock
        self._random = random_source or random.Random()
        self._lock = threading.Lock()
        self._contacts: dict[str, list[LocatedServer]] = {}
        self._uses: dict[ServerKey, _Use] = {}
        self._links: dict[str, _Link] = {}

    def update(self, service: str, servers: Iterable[LocatedServer]) -> None:
        """Choose the contacts of a service, after the directory changed."""
        chosen = choose_candidates(self._own, servers)
        with self._lock:
            self._contacts[service] = chosen

    def candidates(self, service: str) -> list[Candidate]:
        """Give the contacts of a service as they are now."""
        with self._lock:
            now = self._clock.now()
            return [
                self._view(located, now)
                for located in self._contacts.get(service, ())
            ]

    def record_sent(self, key: ServerKey) -> None:
        """Count a request to a server as outstanding.

        On a failed link it is the one trial until the next backoff ends.
        """
        with self._lock:
            self._use(key).outstanding += 1
            link = self._links.get(key[0])
            if link is not None:
                link.retry_at = self._clock.now() + self._backoff(link)

    def record_done(self, key: ServerKey, load: ReportedLoad | None) -> None:
        """Take in the end of a request.

        :param load: from the response, ``None`` if there was none.
        """
        with self._lock:
            use = self._use(key)
            use.outstanding -= 1
            if load is not None:
                use.load = load
                use.load_at = self._clock.now()
                self._links.pop(key[0], None)

    def record_refused(self, key: ServerKey) -> None:
        """Avoid a server whose sidecar refused because of its state."""
        with self._lock:
            self._use(key).avoid_until = self._clock.now() + _AVOID_SECONDS

    def record_link_failed(self, node_id: str) -> None:
        """Avoid a node that could not be reached, longer each time."""
        with self._lock:
            link = self._links.setdefault(node_id, _Link())
            link.failures += 1
            link.retry_at = self._clock.now() + self._backoff(link)

    def _backoff(self, link: _Link) -> float:
        doublings = min(link.failures, _MOST_DOUBLINGS)
        longest = _FIRST_BACKOFF_SECONDS * 2**doublings
        jitter = self._random.uniform(1 / 2, 1)
        return jitter * min(longest, _LONGEST_BACKOFF_SECONDS)

    def _use(self, key: ServerKey) -> _Use:
        return self._uses.setdefault(key, _Use())

    def _view(self, located: LocatedServer, now: float) -> Candidate:
        use = self._use(located.key)
        link = self._links.get(located.node.node_id)
        linked = link is None or link.retry_at <= now
        fresh = now - use.load_at < _LOAD_SECONDS
        return Candidate(
            located,
            find_locality(self._own, located.node),
            use.outstanding,
            use.load if fresh else None,
            linked and use.avoid_until <= now,
        )


def find_locality(own: NodeRecord, other: NodeRecord) -> Locality:
    """Tell how far a node is."""
    if own.region != other.region:
        return Locality.OTHER_REGION
    if own.failure_domain != other.failure_domain:
        return Locality.SAME_REGION
    return Locality.SAME_DOMAIN


def choose_candidates(
    own: NodeRecord,
    servers: Iterable[LocatedServer],
) -> list[LocatedServer]:
    """Choose up to 16 servers, near ones first, each ingress others.

    A server that joins or leaves changes only its own place in the set.
    """
    usable = [
        located
        for located in servers
        if located.reachable and located.server.state in _USABLE_STATES
    ]
    if len(usable) <= _MAX_CANDIDATES:
        return usable
    ranked = sorted(usable, key=lambda located: _rank(own, located))
    chosen: list[LocatedServer] = []
    for most, places in (
        (_MOST_OWN_DOMAIN, {Locality.SAME_DOMAIN}),
        (_MOST_OWN_REGION, {Locality.SAME_REGION}),
        (_MAX_CANDIDATES, {Locality.OTHER_REGION}),
        # Places with few servers leave room for more of the others.
        (_MAX_CANDIDATES, set(Locality)),
    ):
        _fill(chosen, ranked, most, own, places)
    return chosen


def _fill(
    chosen: list[LocatedServer],
    ranked: list[LocatedServer],
    most: int,
    own: NodeRecord,
    places: set[Locality],
) -> None:
    for located in ranked:
        if len(chosen) >= most:
            return
        fits = find_locality(own, located.node) in places
        if fits and located not in chosen:
            chosen.append(located)


def _rank(own: NodeRecord, located: LocatedServer) -> tuple[int, int]:
    name = '\0'.join((own.node_id, *located.key))
    weight = xxhash.xxh3_64_intdigest(name.encode())
    return (find_locality(own, located.node), weight)
