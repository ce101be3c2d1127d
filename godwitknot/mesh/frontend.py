"""The frontend of a node, which serves the callers of its instance."""

import asyncio

import attrs

from godwitknot.errors import (
    ConnectionCutError,
    PlatformFormatError,
    ProtocolError,
)
from godwitknot.health.crashes import CrashTracker, compute_fingerprint
from godwitknot.mesh.accountquotas import AccountControls
from godwitknot.mesh.backpressure import wait_for_room
from godwitknot.mesh.bodystream import WINDOW_BYTES
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.httpconnection import (
    ServerConnection,
    TooLargeError,
)
from godwitknot.mesh.httpfields import strip_connection
from godwitknot.mesh.interfaces import Dialect
from godwitknot.mesh.model import (
    SERVER_ERROR,
    SUCCESS,
    CallerLimits,
    FleetConfiguration,
    HttpRequest,
    HttpResponse,
    RequestMetadata,
    Route,
)
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.trafficsplits import TrafficSplits
from godwitknot.outcomes import Code, Outcome, RefusalError

_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_UNAUTHORIZED = 401
# RFC 9110 requires a challenge in responses with this status.
_CHALLENGE = ('WWW-Authenticate', 'ApiKey realm="godwitknot"')
# Callers honor Retry-After up to a third of the time they have left. The random
# part keeps callers that were refused together from retrying together.
_RETRY_JITTER = 0.5
_NOT_READY_SECONDS = 0.5
# Held bodies and answers pass on in about this time.
_NO_MEMORY_SECONDS = 1.0
# The rest of a body of 64 MiB arrives within this time at 100 Mbit/s.
_FINISH_BODY_SECONDS = 6.0
# A node that stops is back after about this time.
_RESTART_SECONDS = 1.0


@attrs.define(eq=False)
class _PendingRequest:
    """A request that was read and has no response yet.

    :param read_at: on the node's clock.
    :param host: address of the caller.
    :ivar account: name of its client account, empty without a valid key.
    """

    read_at: float
    host: str = ''
    attempt_id: str = ''
    account: str = ''


class Frontend:
    """Serves the connections of callers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        configuration: ConfigurationHolder,
        accounts: AccountControls,
        dialect: Dialect,
        crashes: CrashTracker,
        shutdown: Shutdown,
        runtime: Runtime,
    ) -> None:
        """Create a frontend without connections.

        :param accounts: admit the requests of client accounts.
        :param crashes: blocks requests that crash servers.
        :param shutdown: of this process; while it stops, responses close
            their connections so that callers reconnect elsewhere.
        """
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._accounts = accounts.checks
        self._quotas = accounts.quotas
        self._dialect = dialect
        self._crashes = crashes
        self._shutdown = shutdown
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._rng = runtime.rng
        self._ledger = runtime.ledger
        self._splits = TrafficSplits(runtime.rng)
        self._pending: set[_PendingRequest] = set()

    @property
    def active(self) -> int:
        """Number of requests without a response."""
        return len(self._pending)

    def log_unfinished(self) -> None:
        """Log the requests that the exit of this process interrupts."""
        for pending in self._pending:
            self._log.write(
                'request cut by exit',
                request=pending.attempt_id,
                seconds=round(self._clock.now() - pending.read_at, 4),
            )

    async def serve(self, channel: Channel) -> None:
        """Serve one connection until it ends."""
        limits = self._limits()
        connection = ServerConnection(
            channel, limits.header_bytes, self._ledger.callers
        )
        try:
            more = True
            while more:
                more = await self._serve_next(connection)
        except ConnectionCutError as error:
            if not channel.cut_reason:
                self._log.write_good('caller cut connection', detail=str(error))
        finally:
            if channel.cut_reason:
                self._log.write(
                    'connection closed by node', reason=channel.cut_reason
                )
            channel.close()

    async def _serve_next(self, connection: ServerConnection) -> bool:
        """Serve one request; return whether another may follow."""
        limits = self._limits()
        try:
            async with asyncio.timeout(limits.idle_seconds):
                await connection.wait_for_input()
        except TimeoutError:
            return False
        await wait_for_room(self._ledger)
        try:
            http_request = await connection.read(
                limits.body_bytes, limits.header_seconds
            )
        except TooLargeError as error:
            await self._reject(connection, error.status, str(error))
            return False
        except ProtocolError as error:
            await self._reject(connection, _BAD_REQUEST, str(error))
            return False
        except TimeoutError:
            await self._reject(
                connection, _REQUEST_TIMEOUT, 'head takes too long'
            )
            return False
        if http_request is None:
            return False
        pending = _PendingRequest(
            self._clock.now(), connection.channel.peer_host
        )
        self._pending.add(pending)
        try:
            with self._ledger.callers.hold(_count_held(http_request)):
                return await self._respond(connection, http_request, pending)
        finally:
            self._pending.discard(pending)
            if http_request.stream is not None:
                http_request.stream.release()

    async def _respond(
        self,
        connection: ServerConnection,
        http_request: HttpRequest,
        pending: _PendingRequest,
    ) -> bool:
        handling = asyncio.ensure_future(self._handle(http_request, pending))
        leaving = asyncio.ensure_future(connection.channel.wait_for_end())
        try:
            await asyncio.wait(
                (handling, leaving), return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                self._telemetry.count('callers_left')
                return False
            response = handling.result()
        finally:
            handling.cancel()
            leaving.cancel()
        # A stopping node still answers the requests that it has received.
        is_last = self._shutdown.stopping and not connection.has_input
        close = is_last or connection.channel.ended
        await connection.respond(response, http_request.method, close=close)
        stream = http_request.stream
        if stream is not None:
            await connection.finish_body(stream, _FINISH_BODY_SECONDS)
        return not (close or connection.must_close)

    async def _handle(
        self, http_request: HttpRequest, pending: _PendingRequest
    ) -> HttpResponse:
        try:
            metadata = self._dialect.read_request(http_request.fields)
            pending.attempt_id = metadata.attempt_id
            if not metadata.attempt_id:
                raise PlatformFormatError('request has no attempt id')
            context = self._make_context(http_request, metadata, pending)
            if not self._shutdown.admits(context.deadline):
                raise RefusalError(Code.DRAINING, retry_after=_RESTART_SECONDS)
            response = await self._dispatch(context)
        except PlatformFormatError as error:
            refusal = RefusalError(Code.BAD_REQUEST, detail=str(error))
            return self._refuse(pending, refusal)
        except RefusalError as refusal:
            return self._refuse(pending, refusal)
        self._record_response(context, response)
        return response

    async def _dispatch(self, context: RequestContext) -> HttpResponse:
        """Dispatch a request within the quota of its account.

        :raises RefusalError: if the quota is exceeded, or no server has
            responded.
        """
        account = context.account
        if account is None:
            return await self._dispatcher.dispatch(context)
        await self._quotas.acquire(
            account, context.deadline - self._clock.now()
        )
        try:
            return await self._dispatcher.dispatch(context)
        except RefusalError as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                self._quotas.give_back(account)
            raise

    def _make_context(
        self,
        http_request: HttpRequest,
        metadata: RequestMetadata,
        pending: _PendingRequest,
    ) -> RequestContext:
        """Select the route, the account and the service of a request.

        :raises RefusalError: if there is no route or no configuration, if its
            key is not valid, or if it is blocked as a query of death.
        """
        now = self._clock.now()
        configuration = self._configuration.current
        if configuration is None:
            raise RefusalError(Code.NOT_READY, retry_after=_NOT_READY_SECONDS)
        route = _find_route(configuration, http_request)
        if route is None:
            raise RefusalError(Code.NO_CLASS)
        key = self._accounts.identify(route, metadata.key)
        if key is not None:
            pending.account = key.account.name
        if not self._ledger.admits(0, route.priority):
            raise RefusalError(Code.MEMORY_FULL, retry_after=_NO_MEMORY_SECONDS)
        service = self._splits.choose_service(route)
        self._telemetry.count('requests')
        path = http_request.target
        fingerprint = compute_fingerprint(
            service, http_request.method, path, _find_content(http_request)
        )
        if self._crashes.is_blocked(service, fingerprint):
            raise RefusalError(Code.QUERY_OF_DEATH, retry_after=1)
        allowed_seconds = route.timeout
        if metadata.seconds_left is not None:
            allowed_seconds = min(allowed_seconds, metadata.seconds_left)
        return RequestContext(
            attempt_id=metadata.attempt_id,
            http_request=self._make_forwarded(http_request),
            route=route,
            service=service,
            arrived=now,
            deadline=now + allowed_seconds,
            fingerprint=fingerprint,
            key=key,
            caller_host=pending.host,
        )

    def _make_forwarded(self, http_request: HttpRequest) -> HttpRequest:
        """Return the request without what ends at this node."""
        fields = strip_connection(http_request.fields)
        if self._accounts.in_force:
            fields = self._dialect.remove_account_fields(fields)
        return attrs.evolve(http_request, fields=fields)

    def _record_response(
        self, context: RequestContext, response: HttpResponse
    ) -> None:
        seconds = self._clock.now() - context.arrived
        self._telemetry.observe('request_seconds', seconds)
        good = response.status < SERVER_ERROR
        if response.status in SUCCESS:
            self._crashes.record_success(context.service, context.fingerprint)
        write = self._log.write_good if good else self._log.write
        write(
            'request answered',
            request=context.attempt_id,
            route=context.route.name,
            status=response.status,
            sends=context.sends,
            refusals=context.refusals,
            seconds=round(seconds, 4),
            **self._count_account(
                context.account_name, 'good' if good else 'failed'
            ),
        )
        self._telemetry.count('answers_good' if good else 'answers_failed')

    def _count_account(self, account: str, outcome: str) -> dict[str, str]:
        """Count a request of an account; return its fields for the log."""
        if not account:
            return {}
        self._telemetry.count_account(account, outcome)
        return {'account': account}

    def _refuse(
        self,
        pending: _PendingRequest,
        refusal: RefusalError,
    ) -> HttpResponse:
        code = str(refusal.code)
        retry_after = refusal.retry_after
        fields = [('Content-Type', 'text/plain')]
        if retry_after is not None:
            if not refusal.scheduled:
                retry_after *= 1 + _RETRY_JITTER * self._rng.random()
            fields.append(('Retry-After', f'{retry_after:.3f}'))
        if refusal.status == _UNAUTHORIZED:
            fields.append(_CHALLENGE)
        self._log.write(
            'request refused',
            request=pending.attempt_id,
            code=code,
            outcome=str(refusal.outcome),
            status=refusal.status,
            retry_after=retry_after,
            detail=refusal.detail,
            version=self._configuration.version,
            seconds=round(self._clock.now() - pending.read_at, 4),
            **self._count_account(pending.account, code),
        )
        self._telemetry.count(f'refused_{code.replace("-", "_")}')
        return HttpResponse(refusal.status, fields, f'{code}\n'.encode())

    async def _reject(
        self,
        connection: ServerConnection,
        status: int,
        detail: str,
    ) -> None:
        self._log.write('request rejected', status=status, detail=detail)
        fields = [('Content-Type', 'text/plain')]
        response = HttpResponse(status, fields, f'{detail}\n'.encode())
        await connection.respond(response, 'GET', close=True)

    def _limits(self) -> CallerLimits:
        configuration = self._configuration.current
        return CallerLimits() if configuration is None else configuration.limits


def _count_held(http_request: HttpRequest) -> int:
    """Return the bytes of a body that this node holds."""
    if http_request.stream is None:
        return len(http_request.body)
    return WINDOW_BYTES


def _find_content(http_request: HttpRequest) -> bytes:
    """Return what identifies the body of a request."""
    stream = http_request.stream
    if stream is None:
        return http_request.body
    size = stream.size if stream.is_stated else 0
    return b'%d %b' % (size, stream.prefix)


def _find_route(
    configuration: FleetConfiguration,
    http_request: HttpRequest,
) -> Route | None:
    host = ''
    for name, text in http_request.fields:
        if name.lower() == 'host':
            host = text.partition(':')[0].strip().lower()
    path = http_request.target.partition('?')[0]
    return configuration.find_route(host, path)
