"""Sends one request to servers until it is answered or must be refused."""

import socket
import uuid
from collections.abc import Iterator

import attrs

from godwitknot.clock import Clock
from godwitknot.declarations.routes import Route
from godwitknot.metrics import Metrics
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.proxying.balancer import LoadBalancer, Target, TargetQuery
from godwitknot.proxying.peerlink import PeerLink
from godwitknot.proxying.retries import (
    Attempt,
    Resend,
    RetryBudget,
    decide_resend,
)
from godwitknot.proxying.sidecar import Sidecar
from godwitknot.web.relay import (
    ClassTag,
    RelayRequest,
    RelayResponse,
    RequestBody,
)

_SERVER_ERROR = 500
_RETRY_AFTER_SECONDS = 1
# Refusals that say that the node, not the server, could not be reached.
_LINK_CODES = frozenset((Code.LINK_DOWN, Code.LINK_LOST))
# Refusals that will be repeated for a while.
_STATE_CODES = frozenset(
    (
        Code.EJECTED,
        Code.DRAINING,
        Code.NOT_READY,
        Code.UNREACHABLE,
        Code.WRONG_INCARNATION,
        Code.SERVER_SHED,
    ),
)


@attrs.frozen
class IngressRequest:
    """A caller's request as the ingress has read it.

    :param deadline: on the node's clock, seconds.
    :param caller: socket of the caller.
    :param key: idempotency key, empty if none.
    :param moved_key: issued key that carries the right of ``key``.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: RequestBody
    request_id: str
    account: str
    route: Route
    deadline: float
    caller: socket.socket | None
    key: str = ''
    moved_key: str = ''

    @property
    def tag(self) -> ClassTag:
        """What a sidecar must know of the class."""
        work = self.route.work
        return ClassTag(
            work.name, work.never_repeat, work.priority, str(work.weigh)
        )


@attrs.define
class _Progress:
    """What is known after the attempts so far."""

    tried: set[tuple[str, str]] = attrs.field(factory=set)
    sends: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    last: RefusalError | None = None


class Dispatcher:
    """Routes requests of one ingress to servers."""

    def __init__(
        self,
        balancer: LoadBalancer,
        link: PeerLink,
        sidecar: Sidecar,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Take the collaborators."""
        self.balancer = balancer
        self._link = link
        self._sidecar = sidecar
        self._clock = clock
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}

    def run(self, incoming: IngressRequest) -> RelayResponse:
        """Send a request until it is answered.

        :raises RefusalError: if it cannot be answered.
        """
        progress = _Progress()
        while True:
            target = self._choose(incoming, progress)
            try:
                answer = self._send(incoming, target, progress)
            except RefusalError as refusal:
                self._decide(incoming, refusal, progress)
                continue
            if self._may_retry_error(incoming, answer, progress):
                answer.close()
                progress.outcome = Outcome.MAY_HAVE_RUN
                progress.last = RefusalError(Code.BAD_ANSWER, Outcome.RAN)
                continue
            return answer

    def send_once(
        self, incoming: IngressRequest, target: Target
    ) -> RelayResponse:
        """Send a request to one server and nowhere else.

        :raises RefusalError: if it is not answered.
        """
        return self._send(incoming, target, _Progress())

    def _choose(self, incoming: IngressRequest, progress: _Progress) -> Target:
        if self._clock.now() >= incoming.deadline:
            progress.last = RefusalError(Code.DEADLINE_PASSED)
            raise _conclude(progress)
        query = TargetQuery(
            incoming.route.service,
            not incoming.tag.never_repeat,
            incoming.route.work.regions,
            progress.tried,
            incoming.deadline - self._clock.now(),
        )
        target = self.balancer.choose(query)
        if target is not None:
            return target
        if progress.last is not None:
            raise _conclude(progress)
        raise RefusalError(Code.NO_SERVER, retry_after=_RETRY_AFTER_SECONDS)

    def _send(
        self,
        incoming: IngressRequest,
        target: Target,
        progress: _Progress,
    ) -> RelayResponse:
        progress.tried.add(target.key)
        progress.sends += 1
        request = _make_request(incoming, target)
        self.balancer.record_sent(target)
        try:
            answer = self._relay(incoming, target, request)
        except RefusalError as refusal:
            self.balancer.record_ended(target, None)
            self._record_refusal(target, refusal)
            raise
        if answer.status < _SERVER_ERROR:
            self._budget(incoming).record_success()
        if target.crosses_region:
            self.balancer.record_bytes(target, incoming.body.length or 0)
            answer.chunks = self._charge(target, answer.chunks)
        close = _Ending(self.balancer, target, answer)
        return attrs.evolve(answer, close=close)

    def _charge(
        self,
        target: Target,
        chunks: Iterator[bytes],
    ) -> Iterator[bytes]:
        for chunk in chunks:
            self.balancer.record_bytes(target, len(chunk))
            yield chunk

    def _record_refusal(self, target: Target, refusal: RefusalError) -> None:
        if refusal.code in _LINK_CODES:
            self.balancer.record_link_failed(target)
        elif refusal.code in _STATE_CODES:
            self.balancer.record_refused(target)

    def _relay(
        self,
        incoming: IngressRequest,
        target: Target,
        request: RelayRequest,
    ) -> RelayResponse:
        if target.local:
            return self._sidecar.relay(request, incoming.caller)
        watched = None if incoming.tag.never_repeat else incoming.caller
        return self._link.relay(target.address, request, watched)

    def _may_retry_error(
        self,
        incoming: IngressRequest,
        answer: RelayResponse,
        progress: _Progress,
    ) -> bool:
        if answer.status < _SERVER_ERROR or not incoming.body.replayable:
            return False
        return self._permits(incoming, Outcome.RAN, None, progress)

    def _decide(
        self,
        incoming: IngressRequest,
        refusal: RefusalError,
        progress: _Progress,
    ) -> None:
        """Return if the request may be sent again.

        :raises RefusalError: if not.
        """
        progress.last = refusal
        if refusal.outcome is not Outcome.NOT_RUN:
            progress.outcome = Outcome.MAY_HAVE_RUN
        if not incoming.body.replayable:
            raise _conclude(progress)
        if not self._permits(incoming, refusal.outcome, refusal.code, progress):
            raise _conclude(progress)

    def _permits(
        self,
        incoming: IngressRequest,
        outcome: Outcome,
        code: Code | None,
        progress: _Progress,
    ) -> bool:
        attempt = Attempt(
            outcome,
            code,
            repeatable=not incoming.tag.never_repeat,
            sends=progress.sends,
            remaining=incoming.deadline - self._clock.now(),
        )
        resend = decide_resend(attempt)
        if resend is Resend.CHARGED:
            if not self._budget(incoming).try_spend():
                self._metrics.count('ingress.retry_budget_exhausted')
                return False
            self._metrics.count('ingress.retries')
        return resend is not Resend.NO

    def _budget(self, incoming: IngressRequest) -> RetryBudget:
        budget = self._budgets.get(incoming.route.service)
        if budget is None:
            budget = RetryBudget(self._clock)
            self._budgets[incoming.route.service] = budget
        return budget


@attrs.define(eq=False)
class _Ending:
    """Ends the outstanding request of an answer, once."""

    balancer: LoadBalancer
    target: Target
    answer: RelayResponse
    done: bool = False

    def __call__(self) -> None:
        """Release the answer."""
        if self.done:
            return
        self.done = True
        self.answer.close()
        self.balancer.record_ended(self.target, self.answer.load)


def _make_request(incoming: IngressRequest, target: Target) -> RelayRequest:
    return RelayRequest(
        method=incoming.method,
        target=incoming.target,
        headers=incoming.headers,
        body=incoming.body,
        attempt_id=uuid.uuid4().hex,
        request_id=incoming.request_id,
        tag=incoming.tag,
        service=target.service,
        server=target.server,
        incarnation=target.incarnation,
        account=incoming.account,
        deadline=incoming.deadline,
        key=incoming.key,
        last_resort=target.last_resort,
        moved_key=incoming.moved_key,
    )


def _conclude(progress: _Progress) -> RefusalError:
    """Give the refusal for the caller, after all attempts."""
    last = progress.last
    outcome = last.outcome
    if outcome is Outcome.NOT_RUN:
        outcome = progress.outcome
    return RefusalError(last.code, outcome, last.retry_after, last.detail)
