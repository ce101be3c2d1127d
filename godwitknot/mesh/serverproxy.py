"""The sidecar, which runs requests on the local server; the only path to it."""

import asyncio
import functools

from godwitknot.errors import (
    BodyLostError,
    ConnectionCutError,
    ConnectionFailedError,
    ProtocolError,
)
from godwitknot.mesh.admissioncontrol import AdmissionControl, SlotReservation
from godwitknot.mesh.bodystream import build_body_refusal, exchange_body
from godwitknot.mesh.clientconnection import ClientConnection
from godwitknot.mesh.faultbelief import Evidence
from godwitknot.mesh.httpclient import HttpClient
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
from godwitknot.mesh.refusedattempts import RefusedAttempts
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

_MISDIRECTED = 421
# A server's own response when it reaches the deadline that it was given.
_DEADLINE_STATUS = 504
# Callers take these for "not run", which the server then has to state.
_NOT_RUN_STATUSES = frozenset((408, 429, 503))
# Responses read before giving up on the one to this request. Earlier ones
# belong to other requests.
_MAX_RESPONSES = 2
_RETRY_SECONDS = 0.5


class Sidecar:
    """Sends admitted requests to the local server."""

    def __init__(
        self,
        server: LocalServer,
        admission: AdmissionControl,
        health: ServerHealth,
        dialect: Dialect,
        client: HttpClient,
        runtime: Runtime,
    ) -> None:
        """Create the sidecar of a server.

        :param health: receives the results of runs as evidence.
        """
        self._address = server.placement.server
        self._server = server
        self.admission = admission
        self._health = health
        self._dialect = dialect
        self._client = client
        client.unexpected_data_listeners.append(self._log_unexpected_data)
        self._keep_alive = KeepAliveEstimate(runtime.clock)
        self.refused = RefusedAttempts(runtime.clock)
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._detached: set[asyncio.Task] = set()
        self.crash_listeners: list = []

    async def run(self, reservation: SlotReservation) -> HttpResponse:
        """Run an admitted request and release its slot.

        Cancelling aborts a repeatable request on the server at once. A
        non-repeatable one continues to run without its caller.

        :raises RefusalError: with the known outcome.
        """
        offer = reservation.offer
        task = asyncio.ensure_future(self._run(reservation))
        task.add_done_callback(lambda _: self._end(reservation, task))
        if offer.repeatable:
            return await _await_or_cancel(task)
        self._detached.add(task)
        task.add_done_callback(self._remove_detached)
        return await asyncio.shield(task)

    def record_failed_call(self) -> None:
        """Record that a call of the local server failed on another one."""
        self._health.record_failed_call()

    def _end(self, reservation: SlotReservation, task: asyncio.Task) -> None:
        if task.cancelled() and not reservation.awaits_body:
            # A hedged send elsewhere ends the first one early, so that a hung
            # server would otherwise leave no evidence.
            self._health.record_unanswered(
                reservation.granted_at, reservation.offer.objective
            )
        self.admission.release(reservation)

    def _remove_detached(self, task: asyncio.Task) -> None:
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # The waiting side has logged the error, if it is still there.
            self._telemetry.count('runs_ended_badly')

    async def _run(self, reservation: SlotReservation) -> HttpResponse:
        offer = reservation.offer
        deadline = reservation.deadline
        self._check_permission(offer, deadline)
        connection = await self._connect(reservation)
        try:
            # This process may have been paused while it connected.
            self._check_permission(offer, deadline)
        except RefusalError:
            connection.channel.close()
            raise
        sent = self._clock.now()
        http_request = self._build_request(offer, deadline - sent)
        try:
            async with asyncio.timeout(max(0, deadline - sent)):
                connection.send(http_request)
                response, metadata = await self._exchange(
                    connection, http_request, reservation
                )
        except BodyLostError as error:
            connection.channel.abort()
            raise build_body_refusal(error) from error
        except ConnectionCutError as error:
            connection.channel.abort()
            self._record_lost_connection(
                reservation, error, connection, self._clock.now() - sent
            )
            raise RefusalError(
                Code.CONNECTION_LOST, Outcome.MAY_HAVE_RUN
            ) from error
        except ProtocolError as error:
            connection.channel.abort()
            self._record_failure(reservation, 'bad answer', str(error))
            raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN) from error
        except TimeoutError as error:
            connection.channel.abort()
            self._record_timeout(
                reservation,
                'deadline passed',
                self._clock.now() - max(sent, reservation.granted_at),
            )
            raise RefusalError(
                Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN
            ) from error
        except asyncio.CancelledError:
            connection.channel.abort()
            raise
        self._client.release_connection(self._address, connection)
        # A large body arrives after the start of the exchange.
        seconds = self._clock.now() - max(sent, reservation.granted_at)
        return self._evaluate(reservation, response, metadata, seconds)

    def _check_permission(self, offer: Offer, deadline: float) -> None:
        """Refuse a run that the server must not get, or that comes too late.

        :raises RefusalError: not run.
        """
        self.admission.check_open(offer, deadline)
        if self._clock.now() >= deadline:
            # After a pause of this process, nobody waits for the response.
            raise RefusalError(Code.DEADLINE_PASSED)

    async def _connect(self, reservation: SlotReservation) -> ClientConnection:
        offer = reservation.offer
        idle_limit = self._keep_alive.max_idle_seconds(
            repeatable=offer.repeatable
        )
        # A server may repeat a refusal on a connection that it keeps. It would
        # carry the id of this attempt.
        is_refused = offer.attempt_id in self.refused
        try:
            return await self._client.acquire_connection(
                self._address, idle_limit, fresh=is_refused
            )
        except ConnectionFailedError as error:
            self._record_failure(reservation, 'unreachable', str(error))
            raise RefusalError(
                Code.UNREACHABLE, retry_after=_RETRY_SECONDS
            ) from error

    def _build_request(self, offer: Offer, left: float) -> HttpRequest:
        fields = offer.fields
        if offer.account or self.admission.has_accounts:
            # Nodes without this configuration pass them on.
            fields = self._dialect.remove_account_fields(fields)
        fields = self._dialect.build_server_fields(
            fields,
            seconds_left=left,
            server_id=self._server.server_id,
            caller_service=offer.caller_service,
            account=offer.account,
        )
        return HttpRequest(
            offer.method, offer.target, fields, offer.body, offer.stream
        )

    async def _exchange(
        self,
        connection: ClientConnection,
        http_request: HttpRequest,
        reservation: SlotReservation,
    ) -> tuple[HttpResponse, ResponseMetadata]:
        """Read the response to a request, while its body is sent.

        :raises BodyLostError: if the body does not arrive here.
        """
        reading = self._read(connection, http_request, reservation.offer)
        if http_request.stream is None:
            return await reading
        reservation.awaits_body = True
        http_request.stream.may_read = functools.partial(
            self.admission.may_continue_body, reservation
        )
        return await exchange_body(
            connection.send_body(http_request.stream),
            reading,
            lambda: self.admission.start_run(reservation),
        )

    async def _read(
        self,
        connection: ClientConnection,
        http_request: HttpRequest,
        offer: Offer,
    ) -> tuple[HttpResponse, ResponseMetadata]:
        """Read the response to this request.

        :raises ProtocolError: if it cannot be used.
        """
        may_lack_id = not connection.reused
        for _ in range(_MAX_RESPONSES):
            response = await connection.read()
            metadata = self._dialect.read_response(response.fields)
            if not (metadata.attempt_id or may_lack_id):
                raise ProtocolError('response that may be to another request')
            if metadata.attempt_id in {'', offer.attempt_id}:
                _check_encoding(response)
                return response, metadata
            may_lack_id = False
            self._log.write(
                'response to another request skipped',
                request=offer.attempt_id,
                other=metadata.attempt_id,
            )
            connection.skip_response(http_request)
        raise ProtocolError('responses to other requests')

    def _evaluate(
        self,
        reservation: SlotReservation,
        response: HttpResponse,
        metadata: ResponseMetadata,
        seconds: float,
    ) -> HttpResponse:
        offer = reservation.offer
        zone = offer.caller_zone
        if response.status == _MISDIRECTED or metadata.not_executed:
            self.refused.add(offer.attempt_id, reservation.deadline)
            return self._refuse(offer, response, metadata)
        if response.status in _NOT_RUN_STATUSES and not offer.repeatable:
            self._record_failure(reservation, f'status {response.status}', '')
            raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN)
        if response.status in SUCCESS and not metadata.sealed:
            self._record_failure(reservation, 'no signature', '')
            raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN)
        if response.status == _DEADLINE_STATUS:
            self._record_timeout(
                reservation, 'deadline passed at server', seconds
            )
        elif response.status >= SERVER_ERROR:
            self._record_failure(
                reservation,
                f'status {response.status}',
                '',
                Evidence.LATE_FAILURE,
            )
        elif reservation.counted_as_hung:
            self._health.record_long_run(seconds, offer.objective)
        else:
            self.admission.watch.record_survival(reservation)
            self._health.record_success(seconds, offer.objective, zone)
        self._telemetry.observe('server_seconds', seconds)
        return response

    def _refuse(
        self,
        offer: Offer,
        response: HttpResponse,
        metadata: ResponseMetadata,
    ) -> HttpResponse:
        if response.status == _MISDIRECTED:
            self._log.write(
                'another server has the address',
                request=offer.attempt_id,
                expected=self._server.server_id,
                found=metadata.server_id,
            )
            raise RefusalError(Code.WRONG_INCARNATION, relayed=True)
        # Load shedding is no evidence against the server: it refuses at once,
        # and if all servers shed, an ejection would only reduce capacity.
        self._telemetry.count('server_shed')
        self._log.write(
            'server shed',
            request=offer.attempt_id,
            server=self._server.server_id,
            status=response.status,
            waiting=metadata.waiting,
        )
        raise RefusalError(
            Code.SERVER_SHED, retry_after=_RETRY_SECONDS, relayed=True
        )

    def _record_failure(
        self,
        reservation: SlotReservation,
        reason: str,
        detail: str,
        evidence: Evidence = Evidence.BROKEN_ANSWER,
    ) -> None:
        """Record a failed run as evidence against the server.

        :param evidence: unless the run failed early.
        """
        self._log_failure(reservation, reason, detail)
        offer = reservation.offer
        age = self._clock.now() - reservation.granted_at
        if age <= self._health.durations.early_failure_seconds(offer.objective):
            evidence = Evidence.EARLY_FAILURE
        self._health.record_failure(
            reason, offer.caller_zone, reservation.granted_at, evidence
        )

    def _record_timeout(
        self, reservation: SlotReservation, reason: str, seconds: float
    ) -> None:
        """Record a run that reached its deadline.

        It is no evidence against the server if the deadline was short or the
        body had not arrived. A run that was counted as hung is not counted
        again.
        """
        objective = reservation.offer.objective
        limit = self._health.durations.hung_threshold_seconds(objective)
        if not reservation.awaits_body:
            self._health.record_unanswered(reservation.granted_at, objective)
        no_run = reservation.counted_as_hung or reservation.awaits_body
        if no_run or seconds < limit:
            self._log_failure(reservation, reason, 'no evidence')
        else:
            self._record_failure(reservation, reason, '', Evidence.HANG)

    def _log_failure(
        self, reservation: SlotReservation, reason: str, detail: str
    ) -> None:
        """Log a failed run and what was believed of the server before."""
        self._telemetry.count('server_failures')
        offer = reservation.offer
        self._log.write(
            'run failed',
            request=offer.attempt_id,
            server=self._server.server_id,
            reason=reason,
            detail=detail,
            seconds=round(self._clock.now() - reservation.granted_at, 4),
            fault=round(self._health.fault_probability(offer.caller_zone), 3),
        )

    def _log_unexpected_data(self, address: Address) -> None:
        """Log data after a response.

        It is no evidence, since the response before it was complete.
        """
        self._log.write('bytes after an answer', server=self._server.server_id)

    def _record_lost_connection(
        self,
        reservation: SlotReservation,
        error: ConnectionCutError,
        connection: ClientConnection,
        seconds: float,
    ) -> None:
        unanswered = connection.received_nothing
        if unanswered and self._keep_alive.record_reset(
            connection.idle_seconds, seconds
        ):
            # Operators match this text in the logs.
            self._log_failure(reservation, 'connection forgotten', str(error))
        else:
            self._record_failure(reservation, 'connection lost', str(error))
        fingerprints = tuple(
            each.offer.fingerprint for each in self.admission.running
        )
        self._client.close_idle(self._address)
        for listener in self.crash_listeners:
            listener(fingerprints)


def _check_encoding(response: HttpResponse) -> None:
    for name, _ in response.fields:
        if name.lower() == 'content-encoding':
            raise ProtocolError('encoded response')


async def _await_or_cancel(task: asyncio.Task) -> HttpResponse:
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.cancel()
        raise
