"""Stay promises: the permission to take a server out of service.

A server may be ejected or drained only while its sidecar holds promises
of at least F other servers to stay in, F being the floor of the service.
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
# Time for the answers of one group of siblings before others are asked.
_ANSWER_SECONDS = 0.3
_MAX_WAVES = 3
_TOKEN_BITS = 63

ServerKey = tuple[str, str]


class FloorContext(abc.ABC):
    """What the floor keeper needs to know of the node and the fleet."""

    @abc.abstractmethod
    def siblings(self, service: str) -> Sequence[LocatedServer]:
        """Give the reachable ready servers of a service, own ones included."""

    @abc.abstractmethod
    def floor(self, service: str) -> int:
        """Give the least number of servers that must stay in."""

    @abc.abstractmethod
    def send(self, target: LocatedServer, request: PromiseRequest) -> None:
        """Send a request to the node of another server."""

    @abc.abstractmethod
    def can_promise(self, server: str) -> bool:
        """Tell whether an own server is ready and not suspect."""


@attrs.define(eq=False)
class Lease:
    """Permission for a server to be out of service.

    :param floor: promises needed.
    :param round_began: when the promises were last asked for.
    :param promises: when the promise of each sibling ends, counted from
        before it was asked.
    """

    service: str
    server: str
    drain: bool
    floor: int
    round_began: float
    promises: dict[ServerKey, float] = attrs.field(factory=dict)
    asked: set[ServerKey] = attrs.field(factory=set)
    open_tokens: set[int] = attrs.field(factory=set)
    wake: threading.Event = attrs.field(factory=threading.Event)

    def count(self, now: float) -> int:
        """Count the siblings whose promise holds."""
        # The copy is safe against answers that other threads take in.
        return sum(ends > now for ends in tuple(self.promises.values()))

    def is_valid(self, now: float) -> bool:
        """Tell whether the server may be out now."""
        return self.count(now) >= self.floor


@attrs.frozen
class _Question:
    lease: Lease
    sibling: ServerKey
    sent: float


class PromiseManager:
    """Gives and collects the stay promises of the servers of one node.

    Two rules each keep the number of servers out at N - F: a server that
    is out or asks for promises gives none, and a server that gave one does
    not ask until it ends.
    """

    def __init__(
        self,
        node_id: str,
        context: FloorContext,
        clock: Clock,
        random_source: random.Random | None = None,
        make_token: Callable[[], int] | None = None,
    ) -> None:
        """Start without promises.

        :param random_source: draws the siblings to ask.
        :param make_token: gives numbers that nobody else uses.
        """
        self._node_id = node_id
        self._context = context
        self._clock = clock
        self._random = random_source or random.Random()
        self._make_token = make_token or _draw_token
        self._lock = threading.RLock()
        # Promises of an earlier process on this node may still hold.
        self._quiet_until = clock.now() + PROMISE_SECONDS
        self._given: dict[str, float] = {}
        self._leases: dict[str, Lease] = {}
        self._questions: dict[int, _Question] = {}

    def acquire(
        self, service: str, server: str, *, drain: bool
    ) -> Lease | None:
        """Collect promises so that a server may leave; waits for answers.

        A drain checks ``is_valid`` again after it stopped taking requests,
        because the process may have paused in between.

        :returns: ``None`` if the floor does not permit it now.
        """
        lease = self.begin(service, server, drain=drain)
        if lease is None:
            return None
        self._ask_in_waves(lease)
        return lease if self.finish(lease) else None

    def renew(self, lease: Lease) -> bool:
        """Extend the promises; waits for answers.

        :returns: whether the lease holds afterwards.
        """
        self.begin_renewal(lease)
        self._ask_in_waves(lease)
        return lease.is_valid(self._clock.now())

    def release(self, lease: Lease) -> None:
        """End a lease: the server is in service again, or gone."""
        with self._lock:
            if self._leases.get(lease.server) is lease:
                self._leases.pop(lease.server)
            for token in lease.open_tokens:
                self._questions.pop(token, None)
            lease.open_tokens.clear()

    def handle_request(self, request: PromiseRequest) -> PromiseAnswer:
        """Give or refuse a promise for an own server."""
        steady = self._context.can_promise(request.target)
        with self._lock:
            granted = steady and request.target not in self._leases
            if granted:
                until = self._clock.now() + PROMISE_SECONDS
                self._given[request.target] = until
        return PromiseAnswer(
            request.token,
            request.target,
            granted,
            PROMISE_SECONDS if granted else 0,
        )

    def handle_answer(self, answer: PromiseAnswer) -> None:
        """Take in an answer; late and repeated ones change nothing."""
        with self._lock:
            question = self._questions.pop(answer.token, None)
            if question is None or question.sibling[1] != answer.target:
                return
            lease = question.lease
            lease.open_tokens.discard(answer.token)
            if answer.granted:
                lease.promises[question.sibling] = (
                    question.sent + PROMISE_SECONDS
                )
            if not lease.open_tokens:
                lease.wake.set()

    def begin(self, service: str, server: str, *, drain: bool) -> Lease | None:
        """Start to ask for an own server, which then gives no promises.

        :returns: ``None`` if it is bound by a promise or already out.
        """
        with self._lock:
            now = self._clock.now()
            bound = max(self._quiet_until, self._given.get(server, 0))
            if bound > now or server in self._leases:
                return None
            floor = self._context.floor(service)
            lease = Lease(service, server, drain, floor, now)
            self._leases[server] = lease
            return lease

    def begin_renewal(self, lease: Lease) -> None:
        """Start to ask again, also those that promised before."""
        with self._lock:
            lease.asked.clear()
            lease.round_began = self._clock.now()
            lease.floor = self._context.floor(lease.service)

    def ask_more(self, lease: Lease) -> int:
        """Ask as many siblings as promises are missing.

        :returns: number of siblings asked.
        """
        with self._lock:
            chosen = self._choose(lease)
            lease.wake.clear()
            requests = [self._prepare(lease, target) for target in chosen]
        for target, request in zip(chosen, requests, strict=True):
            if target.node.node_id == self._node_id:
                self.handle_answer(self.handle_request(request))
            else:
                self._context.send(target, request)
        return len(chosen)

    def finish(self, lease: Lease) -> bool:
        """Count the promises; too few end the attempt.

        :returns: whether the server may be out.
        """
        with self._lock:
            if lease.is_valid(self._clock.now()):
                return True
            self.release(lease)
            return False

    def _ask_in_waves(self, lease: Lease) -> None:
        for _ in range(_MAX_WAVES):
            if not self.ask_more(lease):
                return
            lease.wake.wait(_ANSWER_SECONDS)

    def _choose(self, lease: Lease) -> list[LocatedServer]:
        """Choose siblings not yet asked, those that promised before first."""
        own = (self._node_id, lease.server)
        candidates = [
            sibling
            for sibling in self._context.siblings(lease.service)
            if sibling.key != own and sibling.key not in lease.asked
        ]
        self._random.shuffle(candidates)
        candidates.sort(key=lambda sibling: -lease.promises.get(sibling.key, 0))
        fresh = lease.round_began + PROMISE_SECONDS
        renewed = sum(ends >= fresh for ends in tuple(lease.promises.values()))
        return candidates[: max(0, lease.floor - renewed)]

    def _prepare(self, lease: Lease, target: LocatedServer) -> PromiseRequest:
        token = self._make_token()
        lease.asked.add(target.key)
        lease.open_tokens.add(token)
        now = self._clock.now()
        self._questions[token] = _Question(lease, target.key, now)
        return PromiseRequest(
            token,
            lease.service,
            lease.server,
            target.server.name,
            lease.drain,
        )


def _draw_token() -> int:
    return secrets.randbits(_TOKEN_BITS)
