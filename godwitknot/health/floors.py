"""Stay promises: the permission to take a server out of service.

A server may be ejected or drained only while its sidecar holds promises
of at least F other servers to stay in service, where F is the floor of the
service.
"""

import abc
import random
import secrets
import threading
from collections.abc import Callable, Sequence

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import PromiseAnswer, PromiseRequest
from godwitknot.control.records import LocatedServer

PROMISE_SECONDS = 6.0
RENEWAL_SECONDS = 2.0
# Time to wait for the answers of one batch of siblings before others are
# asked.
_REPLY_TIMEOUT_SECONDS = 0.3
_MAX_BATCHES = 3
_TOKEN_BITS = 63

ServerKey = tuple[str, str]


class FloorContext(abc.ABC):
    """What the promise manager needs to know about the node and the fleet."""

    @abc.abstractmethod
    def siblings(self, service: str) -> Sequence[LocatedServer]:
        """Return the reachable ready servers, including those of this node."""

    @abc.abstractmethod
    def floor(self, service: str) -> int:
        """Return the minimum number of servers that must stay in service."""

    @abc.abstractmethod
    def send(self, target: LocatedServer, request: PromiseRequest) -> None:
        """Send a promise request to the node of another server."""

    @abc.abstractmethod
    def can_promise(self, server: str) -> bool:
        """Return whether a server of this node is ready and not suspect."""


@attrs.define(eq=False)
class Lease:
    """Permission for a server to be out of service.

    :param floor: promises needed.
    :param round_started: when the current round of requests started.
    :param promises: when the promise of each sibling ends, counted from the
        time of the request, which is before the sibling granted it.
    :param asked: siblings that got a request in the current round.
    :param pending_tokens: tokens of requests without an answer.
    :param all_answered: set once no request is pending.
    """

    service: str
    server: str
    drain: bool
    floor: int
    round_started: float
    promises: dict[ServerKey, float] = attrs.field(factory=dict)
    asked: set[ServerKey] = attrs.field(factory=set)
    pending_tokens: set[int] = attrs.field(factory=set)
    all_answered: threading.Event = attrs.field(factory=threading.Event)

    def count_promises(self, now: float) -> int:
        """Count the siblings whose promise is valid."""
        # Other threads may add answers during the iteration, so it uses a
        # copy.
        return sum(ends > now for ends in tuple(self.promises.values()))

    def is_valid(self, now: float) -> bool:
        """Return whether the server may be out of service now."""
        return self.count_promises(now) >= self.floor


@attrs.frozen
class _PendingRequest:
    lease: Lease
    sibling: ServerKey
    sent: float


class PromiseManager:
    """Grants and requests stay promises for the servers of one node.

    Two rules keep the number of servers out of service at N - F or below: a
    server that is out or requests promises grants none, and a server that
    granted one requests none until it ends.
    """

    def __init__(
        self,
        node_id: str,
        context: FloorContext,
        clock: Clock,
        random_source: random.Random | None = None,
        make_token: Callable[[], int] | None = None,
    ) -> None:
        """Create a manager without promises.

        :param random_source: shuffles the siblings to ask.
        :param make_token: returns unique numbers for requests.
        """
        self._node_id = node_id
        self._context = context
        self._clock = clock
        self._random = random_source or random.Random()
        self._make_token = make_token or _draw_token
        self._lock = threading.RLock()
        # Promises granted by an earlier process on this node may still be
        # valid, so no lease starts before they have ended.
        self._earliest_lease = clock.now() + PROMISE_SECONDS
        self._granted_until: dict[str, float] = {}
        self._leases: dict[str, Lease] = {}
        self._pending_requests: dict[int, _PendingRequest] = {}

    def acquire(
        self, service: str, server: str, *, drain: bool
    ) -> Lease | None:
        """Collect promises so that a server may leave; waits for answers.

        A drain checks ``is_valid`` again before it takes effect, because the
        process may have been paused in between.

        :returns: ``None`` if the floor does not permit it now.
        """
        lease = self.begin(service, server, drain=drain)
        if lease is None:
            return None
        self._ask_in_batches(lease)
        return lease if self.finish(lease) else None

    def renew(self, lease: Lease) -> bool:
        """Extend the promises; waits for answers.

        :returns: whether the lease holds afterwards.
        """
        self.begin_renewal(lease)
        self._ask_in_batches(lease)
        return lease.is_valid(self._clock.now())

    def release(self, lease: Lease) -> None:
        """End a lease after the server returned to service or is gone."""
        with self._lock:
            if self._leases.get(lease.server) is lease:
                self._leases.pop(lease.server)
            for token in lease.pending_tokens:
                self._pending_requests.pop(token, None)
            lease.pending_tokens.clear()

    def handle_request(self, request: PromiseRequest) -> PromiseAnswer:
        """Grant or refuse a promise for a server of this node."""
        eligible = self._context.can_promise(request.target)
        with self._lock:
            granted = eligible and request.target not in self._leases
            if granted:
                until = self._clock.now() + PROMISE_SECONDS
                self._granted_until[request.target] = until
        return PromiseAnswer(
            request.token,
            request.target,
            granted,
            PROMISE_SECONDS if granted else 0,
        )

    def handle_answer(self, answer: PromiseAnswer) -> None:
        """Add the promise of an answer; late and repeated ones are ignored."""
        with self._lock:
            pending = self._pending_requests.pop(answer.token, None)
            if pending is None or pending.sibling[1] != answer.target:
                return
            lease = pending.lease
            lease.pending_tokens.discard(answer.token)
            if answer.granted:
                lease.promises[pending.sibling] = pending.sent + PROMISE_SECONDS
            if not lease.pending_tokens:
                lease.all_answered.set()

    def begin(self, service: str, server: str, *, drain: bool) -> Lease | None:
        """Create a lease for a server of this node without promises yet.

        The server grants no promises from then on.

        :returns: ``None`` if it is bound by a promise or already has a lease.
        """
        with self._lock:
            now = self._clock.now()
            bound_until = max(
                self._earliest_lease, self._granted_until.get(server, 0)
            )
            if bound_until > now or server in self._leases:
                return None
            floor = self._context.floor(service)
            lease = Lease(service, server, drain, floor, now)
            self._leases[server] = lease
            return lease

    def begin_renewal(self, lease: Lease) -> None:
        """Start a new round in which all siblings may be asked again."""
        with self._lock:
            lease.asked.clear()
            lease.round_started = self._clock.now()
            lease.floor = self._context.floor(lease.service)

    def ask_more(self, lease: Lease) -> int:
        """Request as many promises as are missing.

        :returns: number of siblings asked.
        """
        with self._lock:
            chosen = self._choose_siblings(lease)
            lease.all_answered.clear()
            requests = [self._make_request(lease, target) for target in chosen]
        for target, request in zip(chosen, requests, strict=True):
            if target.node.node_id == self._node_id:
                self.handle_answer(self.handle_request(request))
            else:
                self._context.send(target, request)
        return len(chosen)

    def finish(self, lease: Lease) -> bool:
        """Check the promises and release the lease if they are too few.

        :returns: whether the server may be out of service.
        """
        with self._lock:
            if lease.is_valid(self._clock.now()):
                return True
            self.release(lease)
            return False

    def _ask_in_batches(self, lease: Lease) -> None:
        for _ in range(_MAX_BATCHES):
            if not self.ask_more(lease):
                return
            lease.all_answered.wait(_REPLY_TIMEOUT_SECONDS)

    def _choose_siblings(self, lease: Lease) -> list[LocatedServer]:
        """Choose siblings not yet asked, starting with earlier promisers."""
        local_key = (self._node_id, lease.server)
        candidates = [
            sibling
            for sibling in self._context.siblings(lease.service)
            if sibling.key != local_key and sibling.key not in lease.asked
        ]
        self._random.shuffle(candidates)
        candidates.sort(key=lambda sibling: -lease.promises.get(sibling.key, 0))
        min_end = lease.round_started + PROMISE_SECONDS
        renewed = sum(
            ends >= min_end for ends in tuple(lease.promises.values())
        )
        return candidates[: max(0, lease.floor - renewed)]

    def _make_request(
        self, lease: Lease, target: LocatedServer
    ) -> PromiseRequest:
        token = self._make_token()
        lease.asked.add(target.key)
        lease.pending_tokens.add(token)
        now = self._clock.now()
        self._pending_requests[token] = _PendingRequest(lease, target.key, now)
        return PromiseRequest(
            token,
            lease.service,
            lease.server,
            target.server.name,
            lease.drain,
        )


def _draw_token() -> int:
    return secrets.randbits(_TOKEN_BITS)
