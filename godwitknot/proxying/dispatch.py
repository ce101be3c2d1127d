"""Sends a caller's request to servers, retrying until one answers."""

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

_SERVER_ERROR_STATUS = 500
_RETRY_AFTER_SECONDS = 1
# Refusals meaning that the node in front of the server was unreachable.
_LINK_CODES = frozenset((Code.LINK_DOWN, Code.LINK_LOST))
# Refusals due to the server's state, which are likely to recur for a while.
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
    """A caller's request as parsed by the ingress.

    :param deadline: monotonic seconds, on this node's clock.
    :param caller: socket of the caller.
    :param key: idempotency key, empty if none.
    :param moved_key: issued key that the right of ``key`` was transferred to.
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
        """The attributes of the class that a sidecar needs."""
        work = self.route.work
        return ClassTag(
            work.name, work.never_repeat, work.priority, str(work.weigh)
        )


@attrs.define
class _AttemptHistory:
    """The attempts for one request so far, and their combined outcome."""

    tried: set[tuple[str, str]] = attrs.field(factory=set)
    attempt_count: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    last_refusal: RefusalError | None = None


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
        """Create a dispatcher.

        :param link: sends requests to the sidecars of other nodes.
        :param sidecar: of this node, for its own servers.
        """
        self.balancer = balancer
        self._link = link
        self._sidecar = sidecar
        self._clock = clock
        self._metrics = metrics
        self._retry_budgets: dict[str, RetryBudget] = {}

    def run(self, incoming: IngressRequest) -> RelayResponse:
        """Send a request, with retries, until a server answers it.

        :raises RefusalError: if no server answered and no retry is allowed.
        """
        history = _AttemptHistory()
        while True:
            target = self._choose_target(incoming, history)
            try:
                response = self._send(incoming, target, history)
            except RefusalError as refusal:
                self._check_resend(incoming, refusal, history)
                continue
            if self._may_retry_server_error(incoming, response, history):
                response.close()
                history.outcome = Outcome.MAY_HAVE_RUN
                history.last_refusal = RefusalError(
                    Code.BAD_ANSWER, Outcome.RAN
                )
                continue
            return response

    def send_once(
        self, incoming: IngressRequest, target: Target
    ) -> RelayResponse:
        """Send a request to one server, without a retry elsewhere.

        :raises RefusalError: if the server did not answer it.
        """
        return self._send(incoming, target, _AttemptHistory())

    def _choose_target(
        self, incoming: IngressRequest, history: _AttemptHistory
    ) -> Target:
        if self._clock.now() >= incoming.deadline:
            history.last_refusal = RefusalError(Code.DEADLINE_PASSED)
            raise _build_final_refusal(history)
        query = TargetQuery(
            incoming.route.service,
            not incoming.tag.never_repeat,
            incoming.route.work.regions,
            history.tried,
            incoming.deadline - self._clock.now(),
        )
        target = self.balancer.choose(query)
        if target is not None:
            return target
        if history.last_refusal is not None:
            raise _build_final_refusal(history)
        raise RefusalError(Code.NO_SERVER, retry_after=_RETRY_AFTER_SECONDS)

    def _send(
        self,
        incoming: IngressRequest,
        target: Target,
        history: _AttemptHistory,
    ) -> RelayResponse:
        history.tried.add(target.key)
        history.attempt_count += 1
        request = _build_relay_request(incoming, target)
        self.balancer.record_sent(target)
        try:
            response = self._relay(incoming, target, request)
        except RefusalError as refusal:
            self.balancer.record_ended(target, None)
            self._record_refusal(target, refusal)
            raise
        if response.status < _SERVER_ERROR_STATUS:
            self._get_budget(incoming).record_success()
        if target.crosses_region:
            self.balancer.record_bytes(target, incoming.body.length or 0)
            response.chunks = self._count_bytes(target, response.chunks)
        close = _ResponseCloser(self.balancer, target, response)
        return attrs.evolve(response, close=close)

    def _count_bytes(
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
        watched_caller = None if incoming.tag.never_repeat else incoming.caller
        return self._link.relay(target.address, request, watched_caller)

    def _may_retry_server_error(
        self,
        incoming: IngressRequest,
        response: RelayResponse,
        history: _AttemptHistory,
    ) -> bool:
        if (
            response.status < _SERVER_ERROR_STATUS
            or not incoming.body.replayable
        ):
            return False
        return self._permits_resend(incoming, Outcome.RAN, None, history)

    def _check_resend(
        self,
        incoming: IngressRequest,
        refusal: RefusalError,
        history: _AttemptHistory,
    ) -> None:
        """Record a refusal and return if the request may be sent again.

        :raises RefusalError: the one for the caller, if it may not.
        """
        history.last_refusal = refusal
        if refusal.outcome is not Outcome.NOT_RUN:
            history.outcome = Outcome.MAY_HAVE_RUN
        if not incoming.body.replayable:
            raise _build_final_refusal(history)
        if not self._permits_resend(
            incoming, refusal.outcome, refusal.code, history
        ):
            raise _build_final_refusal(history)

    def _permits_resend(
        self,
        incoming: IngressRequest,
        outcome: Outcome,
        code: Code | None,
        history: _AttemptHistory,
    ) -> bool:
        attempt = Attempt(
            outcome,
            code,
            repeatable=not incoming.tag.never_repeat,
            attempt_count=history.attempt_count,
            remaining=incoming.deadline - self._clock.now(),
        )
        resend = decide_resend(attempt)
        if resend is Resend.CHARGED:
            if not self._get_budget(incoming).try_spend():
                self._metrics.count('ingress.retry_budget_exhausted')
                return False
            self._metrics.count('ingress.retries')
        return resend is not Resend.NO

    def _get_budget(self, incoming: IngressRequest) -> RetryBudget:
        budget = self._retry_budgets.get(incoming.route.service)
        if budget is None:
            budget = RetryBudget(self._clock)
            self._retry_budgets[incoming.route.service] = budget
        return budget


@attrs.define(eq=False)
class _ResponseCloser:
    """Closes a response and ends its outstanding request, once."""

    balancer: LoadBalancer
    target: Target
    response: RelayResponse
    closed: bool = False

    def __call__(self) -> None:
        """Close the response."""
        if self.closed:
            return
        self.closed = True
        self.response.close()
        self.balancer.record_ended(self.target, self.response.load)


def _build_relay_request(
    incoming: IngressRequest, target: Target
) -> RelayRequest:
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


def _build_final_refusal(history: _AttemptHistory) -> RefusalError:
    """Return the refusal for the caller, after the last attempt.

    Its outcome covers all attempts, its other fields are the last one's.
    """
    last_refusal = history.last_refusal
    outcome = last_refusal.outcome
    if outcome is Outcome.NOT_RUN:
        outcome = history.outcome
    return RefusalError(
        last_refusal.code,
        outcome,
        last_refusal.retry_after,
        last_refusal.detail,
    )
