"""Sends a caller's request to servers until there is a final response."""

import asyncio
import functools

from godwitknot.mesh.attempts import (
    Attempt,
    find_next_hedge,
    has_no_slot,
    list_wakers,
    make_offer,
    remove_without_slot,
    reopen_hedges,
)
from godwitknot.mesh.model import (
    SERVER_ERROR,
    SUCCESS,
    HttpResponse,
    Placement,
)
from godwitknot.mesh.relayclient import Exchange, RelayClient
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.rundurations import RunDurations
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.serverselector import ServerSelector, Target
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.targetsearch import TargetSearch
from godwitknot.mesh.telemetry import Family, add_work_metrics
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.overload.returnschedule import ReturnSchedule
from godwitknot.overload.workcounts import WorkCounts

# Delay after a round of refusals, about the time until a slot becomes free.
_HEDGE_RETRY_SECONDS = 0.2
# A server that sheds load is avoided for about the time of one run.
_SHED_AVOID_SECONDS = 0.25
_LINK_CODES = frozenset((Code.LINK_DOWN, Code.LINK_LOST))


class Dispatcher:
    """Finds a server for each request and returns the final response."""

    def __init__(
        self,
        placement: Placement,
        selector: ServerSelector,
        sidecar: Sidecar,
        relay: RelayClient,
        shutdown: Shutdown,
        runtime: Runtime,
    ) -> None:
        """Create a dispatcher.

        :param sidecar: of the local server.
        :param relay: to the sidecars of other nodes.
        :param shutdown: of this process.
        """
        self._placement = placement
        self._selector = selector
        self._sidecar = sidecar
        self._relay = relay
        self._durations = RunDurations()
        self._search = TargetSearch(
            selector, self._durations, shutdown, runtime
        )
        self._returns = ReturnSchedule(runtime.clock)
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._counts = WorkCounts(
            placement.zone, placement.region, runtime.clock
        )
        add_work_metrics(self._telemetry, self._counts)
        self._telemetry.add_family(
            'missed_returns', Family((), self._returns.count_missed)
        )

    async def dispatch(self, context: RequestContext) -> HttpResponse:
        """Return the response of a server.

        Cancelling, when the caller has left, ends all attempts.

        :raises RefusalError: if there is none, with the known outcome.
        """
        attempts: list[Attempt] = []
        context.returning = self._returns.redeem(
            context.service, context.caller
        )
        context.returns_early = self._returns.is_early(
            context.service, context.caller
        )
        if context.returning:
            self._telemetry.count('scheduled_returns')
        context.active = self._counts.begin(
            context.service,
            context.route.name,
            functools.partial(has_no_slot, attempts),
        )
        outcome = ''
        try:
            response = await self._run(context, attempts)
        except RefusalError as error:
            self._record_failed_call(context)
            outcome = 'failed'
            if context.fallback is None:
                outcome = str(error.code)
                self._schedule_return(context, error)
                raise
            return context.fallback
        else:
            outcome = 'good'
            if response.status >= SERVER_ERROR:
                outcome = 'failed'
                self._record_failed_call(context)
            return response
        finally:
            self._counts.end(context.active, outcome)
            for attempt in attempts:
                attempt.task.cancel()
                self._selector.record_ended(attempt.target, None)

    async def _run(
        self, context: RequestContext, attempts: list[Attempt]
    ) -> HttpResponse:
        while True:
            if not attempts:
                await self._start_attempt(context, attempts)
            wake_at = min(context.deadline, find_next_hedge(context, attempts))
            timeout = wake_at - self._clock.now()
            done, _ = await asyncio.wait(
                list_wakers(context, attempts),
                timeout=max(0, timeout),
                return_when=asyncio.FIRST_COMPLETED,
            )
            ended = [each for each in attempts if each.task in done]
            for attempt in ended:
                attempts.remove(attempt)
                response = self._handle_result(context, attempt)
                if response is not None:
                    return response
            if context.is_revoked:
                self._end_waiting(context, attempts)
            if attempts:
                self._check_deadline(context, attempts)
                if ended:
                    # The next hedged send may go to another server.
                    reopen_hedges(attempts)
                self._check_overdue(context, attempts)
                self._hedge(context, attempts)

    def _handle_result(
        self, context: RequestContext, attempt: Attempt
    ) -> HttpResponse | None:
        """Handle the end of an attempt; return ``None`` to continue."""
        target, exchange = attempt.target, attempt.exchange
        error = attempt.task.exception()
        self._selector.record_ended(target, exchange.load)
        replied = error is None or getattr(error, 'relayed', False)
        if attempt.avoided and replied:
            self._selector.mark_reachable(target.member.address)
        if error is None:
            self._selector.record_reply(target, accepted=True)
            response = attempt.task.result()
            context.may_have_run = True
            self._returns.record_served(context.service)
            member = target.member
            self._counts.count_answer(
                context.active, member.zone, member.region
            )
            self._search.record_response(context, response)
            if response.status in SUCCESS:
                self._durations.add(
                    self._clock.now() - attempt.started,
                    context.route.objective,
                )
            if response.status >= SERVER_ERROR and context.repeatable:
                context.fallback = response
                context.excluded.add(target.member.address)
                return None
            return response
        if not isinstance(error, RefusalError):
            raise error
        self._handle_refusal(context, attempt, error)
        return None

    def _handle_refusal(
        self,
        context: RequestContext,
        attempt: Attempt,
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
            request=context.attempt_id,
            peer=target.member.node,
            server=target.member.server_id,
            code=str(error.code),
            outcome=str(error.outcome),
            seconds=round(self._clock.now() - attempt.started, 4),
        )
        self._selector.record_reply(target, accepted=False)
        if error.code is Code.DOUBTFUL:
            self._telemetry.count('doubtful_refusals')
        context.record_refusal(
            target.member.address, error, attempt.exchange.load
        )
        if error.code is Code.SERVER_SHED:
            self._selector.avoid(target, _SHED_AVOID_SECONDS)

    def _end_waiting(
        self, context: RequestContext, attempts: list[Attempt]
    ) -> None:
        """End the attempts without a slot, since the key was revoked.

        Those that have one are finished.
        """
        for attempt in remove_without_slot(attempts):
            attempt.task.cancel()
            self._selector.record_ended(attempt.target, None)
            context.may_have_run |= attempt.may_run

    def _check_overdue(
        self, context: RequestContext, attempts: list[Attempt]
    ) -> None:
        """Avoid nodes whose frames are late.

        Their attempts go on: a server may be at work on the request, and a
        full link delays frames as well as a node that is gone.
        """
        now = self._clock.now()
        for attempt in attempts:
            if attempt.avoided or not attempt.exchange.overdue.done():
                continue
            attempt.avoided = True
            member = attempt.target.member
            self._selector.mark_unreachable(attempt.target)
            self._relay.close_idle(member.address)
            self._telemetry.count('replies_overdue')
            self._log.write(
                'reply overdue',
                request=context.attempt_id,
                peer=member.node,
                server=member.server_id,
                seconds=round(now - attempt.started, 4),
            )

    async def _start_attempt(
        self, context: RequestContext, attempts: list[Attempt]
    ) -> None:
        """Start an attempt, once a server may take the request.

        :raises RefusalError: if there is no server left to try.
        """
        while not attempts:
            self._check_deadline(context, attempts)
            await context.check_key(self._clock.now())
            if context.sends and not context.is_worth_sending(
                self._clock.now()
            ):
                raise context.conclude()
            if self._search.is_too_late(context):
                raise context.conclude_stopping()
            if context.is_body_lost:
                raise context.conclude()
            target, max_wait = self._search.choose(context)
            if target is not None:
                if not target.takes(context.http_request.stream):
                    await context.gather_body(self._clock.now())
                self._send(context, target, max_wait, attempts)
                return
            pause = context.begin_pause(self._clock.now())
            if pause is None:
                raise context.conclude()
            await asyncio.sleep(pause)

    def _send(
        self,
        context: RequestContext,
        target: Target,
        max_wait: float,
        attempts: list[Attempt],
    ) -> None:
        context.sends += 1
        left = context.deadline - self._clock.now()
        repeat = 1 if context.sends > 1 else self._repeat_probability(context)
        offer = make_offer(
            context, target, self._placement, left, max_wait, repeat
        )
        exchange = Exchange(offer)
        if target.local:
            work = self._run_locally(exchange)
        else:
            work = self._relay.run(
                target.member.address, target.round_trip, exchange
            )
        self._selector.record_sent(target)
        self._log.write_good(
            'attempt started',
            request=context.attempt_id,
            route=context.route.name,
            peer=target.member.node,
            server=target.member.server_id,
            send=context.sends,
            max_wait=round(max_wait, 3),
            left=round(left, 3),
        )
        attempts.append(
            Attempt(
                target,
                exchange,
                asyncio.ensure_future(work),
                self._clock.now(),
            )
        )

    def _schedule_return(
        self, context: RequestContext, error: RefusalError
    ) -> None:
        """Reserve a time to return for a caller that found no free slot."""
        if error.code is not Code.QUEUE_FULL:
            return
        if error.outcome is not Outcome.NOT_RUN:
            return
        error.retry_after = self._returns.reserve(
            context.service,
            context.caller,
            error.retry_after or 0,
            context.deadline - self._clock.now(),
        )
        error.scheduled = True

    def _record_failed_call(self, context: RequestContext) -> None:
        """Tell the local server's health that a call may have failed."""
        if context.service != self._placement.service:
            self._sidecar.record_failed_call()

    def _repeat_probability(self, context: RequestContext) -> float:
        """Return the probability that a repeated run made this request.

        Servers call only services other than their own.
        """
        if context.service == self._placement.service:
            return 0
        return self._sidecar.admission.repeat_probability()

    async def _run_locally(self, exchange: Exchange) -> HttpResponse:
        admission = self._sidecar.admission
        try:
            reservation = await admission.admit(exchange.offer)
            exchange.committed = True
            exchange.granted = True
            return await self._sidecar.run(reservation)
        except RefusalError as error:
            refusal = admission.build_refusal(error, exchange.offer)
            exchange.avoid = refusal.avoid
            exchange.load = refusal.load
            raise

    def _hedge(self, context: RequestContext, attempts: list[Attempt]) -> None:
        now = self._clock.now()
        if now < find_next_hedge(context, attempts):
            return
        if (
            context.is_revoked
            or self._search.is_too_late(context)
            or not context.is_worth_sending(now)
        ):
            context.hedge_after = context.deadline
            return
        if not context.rounds:
            context.begin_round()
        target, max_wait = self._search.choose_hedge(context, attempts)
        if target is None:
            context.begin_round()
            context.hedge_after = now + _HEDGE_RETRY_SECONDS
            return
        for attempt in attempts:
            attempt.hedged = True
        self._telemetry.count('hedged_requests')
        self._send(context, target, max_wait, attempts)

    def _check_deadline(
        self, context: RequestContext, attempts: list[Attempt]
    ) -> None:
        if self._clock.now() < context.deadline:
            return
        for attempt in attempts:
            if attempt.exchange.committed or context.repeatable:
                context.may_have_run = True
        raise context.conclude_late()
