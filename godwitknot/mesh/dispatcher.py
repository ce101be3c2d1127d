"""The way of one request: choices, attempts and the final answer."""

import asyncio

import attrs

from godwitknot.mesh.messages import Offer
from godwitknot.mesh.model import SERVER_ERROR, HttpResponse, Placement
from godwitknot.mesh.noderelay import Exchange, RelayClient
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.serverselector import ServerSelector, Target
from godwitknot.outcomes import Code, RefusalError

# Part of the objective after which a repeatable request is sent to another
# server, so that the second answer still comes in time.
_HEDGE_SHARE = 0.5
_LEAST_HEDGE_SECONDS = 0.1
# After a round of refusals, about as long as a slot takes to become free.
_HEDGE_PAUSE_SECONDS = 0.2
# The server's own answer at its deadline comes back this much earlier.
_ANSWER_SECONDS = 0.03
# A server that sheds is left alone for about the time of one run.
_SHED_SECONDS = 0.25
_LINK_CODES = frozenset((Code.LINK_DOWN, Code.LINK_LOST))


@attrs.define(eq=False)
class _Attempt:
    """One send of a request; ``hedged`` once another one was started."""

    target: Target
    exchange: Exchange
    task: asyncio.Task
    started: float
    hedged: bool = False


class Dispatcher:
    """Finds a server for each request and gives the final answer."""

    def __init__(
        self,
        placement: Placement,
        selector: ServerSelector,
        sidecar: Sidecar,
        relay: RelayClient,
        runtime: Runtime,
    ) -> None:
        """Take the collaborators."""
        self._placement = placement
        self._selector = selector
        self._sidecar = sidecar
        self._relay = relay
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry

    async def dispatch(self, job: RequestContext) -> HttpResponse:
        """Give the answer of a server.

        Cancelling, when the caller has left, ends all attempts.

        :raises RefusalError: if there is none, with what is known.
        """
        attempts: list[_Attempt] = []
        try:
            return await self._run(job, attempts)
        except RefusalError:
            if job.fallback is None:
                raise
            return job.fallback
        finally:
            for attempt in attempts:
                attempt.task.cancel()
                self._selector.note_ended(attempt.target, None)

    async def _run(
        self, job: RequestContext, attempts: list[_Attempt]
    ) -> HttpResponse:
        while True:
            if not attempts:
                self._start(job, attempts)
            now = self._clock.now()
            timeout = min(job.deadline, self._next_hedge(job, attempts)) - now
            tasks = [attempt.task for attempt in attempts]
            done, _ = await asyncio.wait(
                tasks,
                timeout=max(0, timeout),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for attempt in [each for each in attempts if each.task in done]:
                attempts.remove(attempt)
                answer = self._take(job, attempt)
                if answer is not None:
                    return answer
            if attempts:
                self._check_deadline(job, attempts)
                if done:
                    # The second send may go elsewhere.
                    self._reopen_hedge(attempts)
                self._hedge(job, attempts)

    def _take(
        self, job: RequestContext, attempt: _Attempt
    ) -> HttpResponse | None:
        """Take the result of an attempt; ``None`` to go on."""
        target, exchange = attempt.target, attempt.exchange
        error = attempt.task.exception()
        self._selector.note_ended(target, exchange.load)
        if error is None:
            answer = attempt.task.result()
            job.may_have_run = True
            if answer.status >= SERVER_ERROR and job.repeatable:
                job.fallback = answer
                job.excluded.add(target.member.address)
                return None
            return answer
        if not isinstance(error, RefusalError):
            raise error
        self._note_refusal(job, attempt, error)
        return None

    def _note_refusal(
        self,
        job: RequestContext,
        attempt: _Attempt,
        error: RefusalError,
    ) -> None:
        target = attempt.target
        if error.code in _LINK_CODES and not error.relayed:
            self._selector.mark_unreachable(target)
            self._relay.close_idle(target.member.address)
        if attempt.exchange.avoid > 0:
            self._selector.avoid(target, attempt.exchange.avoid)
        self._log.write(
            'attempt ended',
            request=job.attempt_id,
            peer=target.member.node,
            server=target.member.server_id,
            code=str(error.code),
            outcome=str(error.outcome),
            seconds=round(self._clock.now() - attempt.started, 4),
        )
        job.note_refusal(target.member.address, error)
        if error.code is Code.SERVER_SHED:
            self._selector.avoid(target, _SHED_SECONDS)

    def _start(self, job: RequestContext, attempts: list[_Attempt]) -> None:
        """Start an attempt.

        :raises RefusalError: if there is no server left to try.
        """
        self._check_deadline(job, attempts)
        if job.sends and not job.is_worth_sending(self._clock.now()):
            raise job.conclude()
        target, max_wait = self._choose(job)
        self._send(job, target, max_wait, attempts)

    def _choose(self, job: RequestContext) -> tuple[Target, float]:
        """Give a server, and how long the request may wait there.

        :raises RefusalError: if none is left.
        """
        if job.may_ask_more:
            target = self._selector.choose(
                job.service, job.excluded | job.passed, avoided=False
            )
            if target is not None:
                return target, 0
        # All servers that were asked are busy or ejected.
        target = self._choose_queue(job)
        max_wait = job.longest_wait(self._clock.now())
        if target is None or max_wait <= 0:
            raise job.conclude()
        job.queued_at.add(target.member.address)
        return target, max_wait

    def _choose_queue(self, job: RequestContext) -> Target | None:
        """Give a server to wait at, sound ones first."""
        refused = job.queued_at | job.barred
        target = self._selector.choose(job.service, refused, avoided=False)
        if target is None:
            target = self._selector.choose(job.service, refused, avoided=True)
        if target is None and job.repeatable:
            return self._selector.choose(
                job.service, job.queued_at, avoided=True
            )
        return target

    def _send(
        self,
        job: RequestContext,
        target: Target,
        max_wait: float,
        attempts: list[_Attempt],
    ) -> None:
        job.sends += 1
        left = job.deadline - self._clock.now()
        offer = self._make_offer(job, target, left, max_wait)
        exchange = Exchange(offer)
        if target.local:
            work = self._run_here(exchange)
        else:
            work = self._relay.run(
                target.member.address, target.round_trip, exchange
            )
        self._selector.note_sent(target)
        self._log.write_good(
            'attempt started',
            request=job.attempt_id,
            route=job.route.name,
            peer=target.member.node,
            server=target.member.server_id,
            send=job.sends,
            max_wait=round(max_wait, 3),
            left=round(left, 3),
        )
        attempts.append(
            _Attempt(
                target,
                exchange,
                asyncio.ensure_future(work),
                self._clock.now(),
            )
        )

    def _make_offer(
        self,
        job: RequestContext,
        target: Target,
        left: float,
        max_wait: float,
    ) -> Offer:
        message = job.message
        return Offer(
            attempt_id=job.attempt_id,
            method=message.method,
            target=message.target,
            fields=message.fields,
            body=message.body,
            service=job.service,
            server_id=target.member.server_id,
            repeatable=job.repeatable,
            priority=job.route.priority,
            seconds_left=left - target.round_trip - _ANSWER_SECONDS,
            max_wait=max_wait,
            caller_service=self._placement.service,
            caller_zone=self._placement.zone,
            fingerprint=job.fingerprint,
            repeat=1 if job.sends > 1 else self._hidden_repeat(job),
            objective=job.route.objective,
        )

    def _hidden_repeat(self, job: RequestContext) -> float:
        """Give the likelihood that a repeated run made this request.

        Servers call other services than their own.
        """
        if job.service == self._placement.service:
            return 0
        return self._sidecar.admission.repeats_running()

    async def _run_here(self, exchange: Exchange) -> HttpResponse:
        admission = self._sidecar.admission
        try:
            ticket = await admission.admit(exchange.offer)
            exchange.granted.set()
            exchange.committed = True
            return await self._sidecar.run(ticket)
        except RefusalError as error:
            refused = admission.describe(error, exchange.offer)
            exchange.avoid = refused.avoid
            raise

    def _next_hedge(
        self, job: RequestContext, attempts: list[_Attempt]
    ) -> float:
        """Give the time of the next second send."""
        if not job.repeatable or not job.may_be_sent_again:
            return job.deadline
        waiting = [each for each in attempts if not each.hedged]
        if not waiting:
            return job.deadline
        share = _HEDGE_SHARE * job.route.objective
        patience = max(_LEAST_HEDGE_SECONDS, share)
        earliest = min(each.started for each in waiting) + patience
        return max(earliest, job.hedge_after)

    def _reopen_hedge(self, attempts: list[_Attempt]) -> None:
        for attempt in attempts:
            attempt.hedged = False

    def _hedge(self, job: RequestContext, attempts: list[_Attempt]) -> None:
        now = self._clock.now()
        if now < self._next_hedge(job, attempts):
            return
        if not job.is_worth_sending(now):
            job.hedge_after = job.deadline
            return
        if not job.rounds:
            job.begin_round()
        target = self._choose_second(job, attempts)
        if target is None:
            job.begin_round()
            job.hedge_after = now + _HEDGE_PAUSE_SECONDS
            return
        for attempt in attempts:
            attempt.hedged = True
        self._telemetry.count('hedged_requests')
        self._send(job, target, 0, attempts)

    def _choose_second(
        self,
        job: RequestContext,
        attempts: list[_Attempt],
    ) -> Target | None:
        """Give a server for a second send, if one may have room."""
        if not job.may_ask_more:
            return None
        used = {each.target.member.address for each in attempts}
        return self._selector.choose(
            job.service,
            job.excluded | job.passed | used,
            avoided=False,
            # Bytes between regions cost more than a late answer is worth.
            anywhere=job.rounds == 1,
        )

    def _check_deadline(
        self, job: RequestContext, attempts: list[_Attempt]
    ) -> None:
        if self._clock.now() < job.deadline:
            return
        for attempt in attempts:
            if attempt.exchange.committed or job.repeatable:
                job.may_have_run = True
        raise job.conclude_late()
