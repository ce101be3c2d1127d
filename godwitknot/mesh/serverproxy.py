"""Runs requests on the local server; the only path to it."""

import asyncio

from godwitknot.errors import (
    ConnectionCutError,
    ConnectionFailedError,
    ProtocolError,
)
from godwitknot.mesh.admissioncontrol import AdmissionControl, Ticket
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.httpconnection import ClientConnection
from godwitknot.mesh.interfaces import Dialect
from godwitknot.mesh.keepalive import KeepAliveEstimate
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.messages import Offer
from godwitknot.mesh.model import (
    SERVER_ERROR,
    SUCCESS,
    HttpRequest,
    HttpResponse,
    ResponseMetadata,
)
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

_MISDIRECTED = 421
# A server's own answer at the deadline that it was given.
_DEADLINE_STATUS = 504
# Responses to other requests that may precede the expected one.
_MOST_SKIPPED = 2
_RETRY_SECONDS = 0.5


class Sidecar:
    """Sends admitted requests to the local server."""

    def __init__(
        self,
        server: LocalServer,
        admission: AdmissionControl,
        vitals: ServerHealth,
        dialect: Dialect,
        client: HttpClient,
        runtime: Runtime,
    ) -> None:
        """Take the collaborators."""
        self._address = server.placement.server
        self._server = server
        self.admission = admission
        self._vitals = vitals
        self._dialect = dialect
        self._client = client
        client.surplus_listeners.append(self._note_surplus)
        self._keep_alive = KeepAliveEstimate(runtime.clock)
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._detached: set[asyncio.Task] = set()
        self.crash_listeners: list = []

    async def run(self, ticket: Ticket) -> HttpResponse:
        """Run an admitted request and release its slot.

        Cancelling takes a repeatable request off the server at once. One
        that must not be repeated runs on without its caller.

        :raises RefusalError: with what is known about the execution.
        """
        offer = ticket.offer
        task = asyncio.ensure_future(self._run(ticket))
        task.add_done_callback(lambda _: self._end(ticket, task))
        if offer.repeatable:
            return await _await_or_cancel(task)
        self._detached.add(task)
        task.add_done_callback(self._forget)
        return await asyncio.shield(task)

    def _end(self, ticket: Ticket, task: asyncio.Task) -> None:
        if task.cancelled():
            self.admission.note_cut_short(ticket)
        self.admission.release(ticket)

    def _forget(self, task: asyncio.Task) -> None:
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # The waiting side has logged it, if there is one left.
            self._telemetry.count('runs_ended_badly')

    async def _run(self, ticket: Ticket) -> HttpResponse:
        offer = ticket.offer
        deadline = ticket.deadline
        self.admission.check_open(offer, deadline)
        if self._clock.now() >= deadline:
            # After a pause of this process, nobody waits for the answer.
            raise RefusalError(Code.DEADLINE_PASSED)
        side = await self._connect(ticket)
        sent = self._clock.now()
        message = self._address_server(offer, deadline - sent)
        try:
            async with asyncio.timeout(max(0, deadline - sent)):
                side.send(message)
                answer, facts = await self._read(side, message, offer)
        except ConnectionCutError as error:
            side.channel.abort()
            self._note_cut(ticket, error, side, self._clock.now() - sent)
            raise RefusalError(
                Code.CONNECTION_LOST, Outcome.MAY_HAVE_RUN
            ) from error
        except ProtocolError as error:
            side.channel.abort()
            self._note_bad(ticket, 'bad answer', str(error))
            raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN) from error
        except TimeoutError as error:
            side.channel.abort()
            seconds = self._clock.now() - sent
            self._note_late(ticket, 'deadline passed', seconds)
            raise RefusalError(
                Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN
            ) from error
        except asyncio.CancelledError:
            side.channel.abort()
            raise
        self._client.give_back(self._address, side)
        seconds = self._clock.now() - sent
        return self._judge(ticket, answer, facts, seconds)

    async def _connect(self, ticket: Ticket) -> ClientConnection:
        longest = self._keep_alive.longest_rest(
            repeatable=ticket.offer.repeatable
        )
        try:
            return await self._client.take(self._address, longest)
        except ConnectionFailedError as error:
            self._note_bad(ticket, 'unreachable', str(error))
            raise RefusalError(
                Code.UNREACHABLE, retry_after=_RETRY_SECONDS
            ) from error

    def _address_server(self, offer: Offer, left: float) -> HttpRequest:
        fields = self._dialect.build_server_fields(
            offer.fields,
            seconds_left=left,
            server_id=self._server.server_id,
            caller_service=offer.caller_service,
        )
        return HttpRequest(offer.method, offer.target, fields, offer.body)

    async def _read(
        self,
        side: ClientConnection,
        message: HttpRequest,
        offer: Offer,
    ) -> tuple[HttpResponse, ResponseMetadata]:
        """Read the response to this request.

        :raises ProtocolError: if it cannot be used.
        """
        for _ in range(_MOST_SKIPPED):
            answer = await side.read()
            facts = self._dialect.read_response(answer.fields)
            if facts.attempt_id in {'', offer.attempt_id}:
                _check_encoding(answer)
                return answer, facts
            self._log.write(
                'response to another request skipped',
                request=offer.attempt_id,
                other=facts.attempt_id,
            )
            side.skip_answer(message)
        raise ProtocolError('responses to other requests')

    def _judge(
        self,
        ticket: Ticket,
        answer: HttpResponse,
        facts: ResponseMetadata,
        seconds: float,
    ) -> HttpResponse:
        offer = ticket.offer
        zone = offer.caller_zone
        if answer.status == _MISDIRECTED or facts.not_executed:
            return self._refuse(offer, answer, facts)
        if answer.status in SUCCESS and not facts.sealed:
            self._note_bad(ticket, 'no signature', '')
            raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN)
        if answer.status == _DEADLINE_STATUS:
            self._note_late(ticket, 'deadline passed at server', seconds)
        elif answer.status >= SERVER_ERROR:
            self._note_bad(ticket, f'status {answer.status}', '')
        elif not ticket.counted_hung:
            self._vitals.record_success(seconds, offer.objective, zone)
        self._telemetry.observe('server_seconds', seconds)
        return answer

    def _refuse(
        self,
        offer: Offer,
        answer: HttpResponse,
        facts: ResponseMetadata,
    ) -> HttpResponse:
        if answer.status == _MISDIRECTED:
            self._log.write(
                'another server has the address',
                request=offer.attempt_id,
                expected=self._server.server_id,
                found=facts.server_id,
            )
            raise RefusalError(Code.WRONG_INCARNATION, relayed=True)
        # No evidence against the server: it says so at once, and where all
        # servers shed, an ejection would only take capacity away.
        self._telemetry.count('server_shed')
        self._log.write(
            'server shed',
            request=offer.attempt_id,
            server=self._server.server_id,
            status=answer.status,
            waiting=facts.waiting,
        )
        raise RefusalError(
            Code.SERVER_SHED, retry_after=_RETRY_SECONDS, relayed=True
        )

    def _note_bad(self, ticket: Ticket, reason: str, detail: str) -> None:
        """Take a failed run as evidence against the server."""
        zone = ticket.offer.caller_zone
        self._vitals.record_failure(reason, zone, ticket.began)
        self._log_failure(ticket, reason, detail)

    def _note_late(self, ticket: Ticket, reason: str, seconds: float) -> None:
        """Take in a run that met its deadline.

        It says nothing on the server if the deadline was short, and a run
        that was counted as hung is not counted again.
        """
        limit = self._vitals.hung_threshold_seconds(ticket.offer.objective)
        if ticket.counted_hung or seconds < limit:
            self._log_failure(ticket, reason, 'no evidence')
        else:
            self._note_bad(ticket, reason, '')

    def _log_failure(self, ticket: Ticket, reason: str, detail: str) -> None:
        self._telemetry.count('server_failures')
        self._log.write(
            'run failed',
            request=ticket.offer.attempt_id,
            server=self._server.server_id,
            reason=reason,
            detail=detail,
        )

    def _note_surplus(self, address: Address) -> None:
        """Log it; no evidence, since the answer before was whole."""
        self._log.write('bytes after an answer', server=self._server.server_id)

    def _note_cut(
        self,
        ticket: Ticket,
        error: ConnectionCutError,
        side: ClientConnection,
        seconds: float,
    ) -> None:
        silent = side.heard_nothing
        if silent and self._keep_alive.note_reset(side.rested, seconds):
            self._log_failure(ticket, 'connection forgotten', str(error))
        else:
            self._note_bad(ticket, 'connection lost', str(error))
        prints = tuple(
            each.offer.fingerprint for each in self.admission.running
        )
        self._client.close_idle(self._address)
        for listener in self.crash_listeners:
            listener(prints)


def _check_encoding(answer: HttpResponse) -> None:
    for name, _ in answer.fields:
        if name.lower() == 'content-encoding':
            raise ProtocolError('encoded response')


async def _await_or_cancel(task: asyncio.Task) -> HttpResponse:
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.cancel()
        raise
