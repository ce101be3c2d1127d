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
    RelayAnswer,
    RelayRequest,
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
class Job:
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

    def run(self, job: Job) -> RelayAnswer:
        """Send a request until it is answered.

        :raises RefusalError: if it cannot be answered.
        """
        progress = _Progress()
        while True:
            target = self._choose(job, progress)
            try:
                answer = self._send(job, target, progress)
            except RefusalError as refusal:
                self._decide(job, refusal, progress)
                continue
            if self._may_retry_error(job, answer, progress):
                answer.close()
                progress.outcome = Outcome.MAY_HAVE_RUN
                progress.last = RefusalError(Code.BAD_ANSWER, Outcome.RAN)
                continue
            return answer

    def send_once(self, job: Job, target: Target) -> RelayAnswer:
        """Send a request to one server and nowhere else.

        :raises RefusalError: if it is not answered.
        """
        return self._send(job, target, _Progress())

    def _choose(self, job: Job, progress: _Progress) -> Target:
        if self._clock.now() >= job.deadline:
            progress.last = RefusalError(Code.DEADLINE_PASSED)
            raise _conclude(progress)
        query = TargetQuery(
            job.route.service,
            not job.tag.never_repeat,
            job.route.work.regions,
            progress.tried,
            job.deadline - self._clock.now(),
        )
        target = self.balancer.choose(query)
        if target is not None:
            return target
        if progress.last is not None:
            raise _conclude(progress)
        raise RefusalError(Code.NO_SERVER, retry_after=_RETRY_AFTER_SECONDS)

    def _send(
        self,
        job: Job,
        target: Target,
        progress: _Progress,
    ) -> RelayAnswer:
        progress.tried.add(target.key)
        progress.sends += 1
        request = _make_request(job, target)
        self.balancer.note_sent(target)
        try:
            answer = self._relay(job, target, request)
        except RefusalError as refusal:
            self.balancer.note_ended(target, None)
            self._note_refusal(target, refusal)
            raise
        if answer.status < _SERVER_ERROR:
            self._budget(job).note_success()
        if target.crosses_region:
            self.balancer.note_bytes(target, job.body.length or 0)
            answer.chunks = self._charge(target, answer.chunks)
        close = _Ending(self.balancer, target, answer)
        return attrs.evolve(answer, close=close)

    def _charge(
        self,
        target: Target,
        chunks: Iterator[bytes],
    ) -> Iterator[bytes]:
        for chunk in chunks:
            self.balancer.note_bytes(target, len(chunk))
            yield chunk

    def _note_refusal(self, target: Target, refusal: RefusalError) -> None:
        if refusal.code in _LINK_CODES:
            self.balancer.note_link_failed(target)
        elif refusal.code in _STATE_CODES:
            self.balancer.note_refused(target)

    def _relay(
        self,
        job: Job,
        target: Target,
        request: RelayRequest,
    ) -> RelayAnswer:
        if target.local:
            return self._sidecar.relay(request, job.caller)
        watched = None if job.tag.never_repeat else job.caller
        return self._link.relay(target.address, request, watched)

    def _may_retry_error(
        self,
        job: Job,
        answer: RelayAnswer,
        progress: _Progress,
    ) -> bool:
        if answer.status < _SERVER_ERROR or not job.body.replayable:
            return False
        return self._permits(job, Outcome.RAN, None, progress)

    def _decide(
        self,
        job: Job,
        refusal: RefusalError,
        progress: _Progress,
    ) -> None:
        """Return if the request may be sent again.

        :raises RefusalError: if not.
        """
        progress.last = refusal
        if refusal.outcome is not Outcome.NOT_RUN:
            progress.outcome = Outcome.MAY_HAVE_RUN
        if not job.body.replayable:
            raise _conclude(progress)
        if not self._permits(job, refusal.outcome, refusal.code, progress):
            raise _conclude(progress)

    def _permits(
        self,
        job: Job,
        outcome: Outcome,
        code: Code | None,
        progress: _Progress,
    ) -> bool:
        attempt = Attempt(
            outcome,
            code,
            repeatable=not job.tag.never_repeat,
            sends=progress.sends,
            remaining=job.deadline - self._clock.now(),
        )
        resend = decide_resend(attempt)
        if resend is Resend.CHARGED:
            if not self._budget(job).try_spend():
                self._metrics.count('ingress.retry_budget_exhausted')
                return False
            self._metrics.count('ingress.retries')
        return resend is not Resend.NO

    def _budget(self, job: Job) -> RetryBudget:
        budget = self._budgets.get(job.route.service)
        if budget is None:
            budget = RetryBudget(self._clock)
            self._budgets[job.route.service] = budget
        return budget


@attrs.define(eq=False)
class _Ending:
    """Ends the outstanding request of an answer, once."""

    balancer: LoadBalancer
    target: Target
    answer: RelayAnswer
    done: bool = False

    def __call__(self) -> None:
        """Release the answer."""
        if self.done:
            return
        self.done = True
        self.answer.close()
        self.balancer.note_ended(self.target, self.answer.load)


def _make_request(job: Job, target: Target) -> RelayRequest:
    return RelayRequest(
        method=job.method,
        target=job.target,
        headers=job.headers,
        body=job.body,
        attempt_id=uuid.uuid4().hex,
        request_id=job.request_id,
        tag=job.tag,
        service=target.service,
        server=target.server,
        incarnation=target.incarnation,
        account=job.account,
        deadline=job.deadline,
        key=job.key,
        last_resort=target.last_resort,
        moved_key=job.moved_key,
    )


def _conclude(progress: _Progress) -> RefusalError:
    """Give the refusal for the caller, after all attempts."""
    last = progress.last
    outcome = last.outcome
    if outcome is Outcome.NOT_RUN:
        outcome = progress.outcome
    return RefusalError(last.code, outcome, last.retry_after, last.detail)
