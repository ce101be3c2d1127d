"""The way in: connections of callers on this instance."""

import asyncio

import attrs

from godwitknot.errors import (
    ConnectionCutError,
    PlatformFormatError,
    ProtocolError,
)
from godwitknot.health.crashes import CrashTracker, compute_fingerprint
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.httpconnection import (
    ServerConnection,
    TooLargeError,
    strip_connection,
)
from godwitknot.mesh.interfaces import Dialect
from godwitknot.mesh.model import (
    SERVER_ERROR,
    SUCCESS,
    CallerLimits,
    FleetConfiguration,
    HttpRequest,
    HttpResponse,
    Route,
)
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.outcomes import Code, RefusalError

_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
# Callers honour a third of the time they have left; the spread keeps those
# that were refused together from coming back together.
_RETRY_SPREAD = 0.5
_NOT_READY_SECONDS = 0.5
# A node that stops is back after about this long.
_RESTART_SECONDS = 1.0


@attrs.define
class _Split:
    """Deals the requests of a route to its services by weight.

    Smooth weighted round robin keeps the shares exact over any span.
    """

    credits: dict[str, float]

    def take(self, route: Route) -> str:
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credit = self.credits.get(share.service, 0) + share.weight
            self.credits[share.service] = credit
        eligible = [share for share in route.shares if share.weight > 0]
        best = max(eligible, key=lambda each: self.credits[each.service])
        self.credits[best.service] -= total
        return best.service


@attrs.define(eq=False)
class _Pending:
    """A request that was read and has no answer yet.

    :param read_at: on the node's clock.
    """

    read_at: float
    attempt_id: str = ''


class Frontend:
    """Serves the connections of callers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        configuration: ConfigurationHolder,
        dialect: Dialect,
        crashes: CrashTracker,
        shutdown: Shutdown,
        runtime: Runtime,
    ) -> None:
        """Take the collaborators.

        :param shutdown: of this process; answers then ask callers to
            reconnect.
        """
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._dialect = dialect
        self._crashes = crashes
        self._shutdown = shutdown
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._rng = runtime.rng
        self._splits: dict[tuple, _Split] = {}
        self._pending: set[_Pending] = set()

    @property
    def active(self) -> int:
        """Number of requests that have no answer yet."""
        return len(self._pending)

    def log_unfinished(self) -> None:
        """Log the requests that the exit of this process cuts."""
        for pending in self._pending:
            self._log.write(
                'request cut by exit',
                request=pending.attempt_id,
                seconds=round(self._clock.now() - pending.read_at, 4),
            )

    async def serve(self, channel: Channel) -> None:
        """Serve one connection until its end."""
        limits = self._limits()
        side = ServerConnection(channel, limits.header_bytes)
        try:
            more = True
            while more:
                more = await self._serve_next(side)
        except ConnectionCutError as error:
            self._log.write_good('caller cut connection', detail=str(error))
        finally:
            channel.close()

    async def _serve_next(self, side: ServerConnection) -> bool:
        """Serve one request; tell whether another may follow."""
        limits = self._limits()
        try:
            async with asyncio.timeout(limits.idle_seconds):
                await side.channel.wait_for_input()
        except TimeoutError:
            return False
        try:
            message = await side.read(limits.body_bytes, limits.header_seconds)
        except TooLargeError as error:
            await self._reject(side, error.status, str(error))
            return False
        except ProtocolError as error:
            await self._reject(side, _BAD_REQUEST, str(error))
            return False
        except TimeoutError:
            await self._reject(side, _REQUEST_TIMEOUT, 'head takes too long')
            return False
        if message is None:
            return False
        pending = _Pending(self._clock.now())
        self._pending.add(pending)
        try:
            return await self._answer(side, message, pending)
        finally:
            self._pending.discard(pending)

    async def _answer(
        self,
        side: ServerConnection,
        message: HttpRequest,
        pending: _Pending,
    ) -> bool:
        work = asyncio.ensure_future(self._handle(message, pending))
        leaving = asyncio.ensure_future(side.channel.wait_for_end())
        try:
            await asyncio.wait(
                (work, leaving), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                self._telemetry.count('callers_left')
                return False
            answer = work.result()
        finally:
            work.cancel()
            leaving.cancel()
        close = self._shutdown.stopping or side.channel.ended
        await side.respond(answer, message.method, close=close)
        return not (close or side.must_close)

    async def _handle(
        self, message: HttpRequest, pending: _Pending
    ) -> HttpResponse:
        started = pending.read_at
        attempt_id = ''
        try:
            facts = self._dialect.read_request(message.fields)
            attempt_id = facts.attempt_id
            pending.attempt_id = attempt_id
            if not attempt_id:
                raise PlatformFormatError('request without an id')
            job = self._make_job(message, attempt_id, facts.seconds_left)
            if not self._shutdown.admits(job.deadline):
                raise RefusalError(Code.DRAINING, retry_after=_RESTART_SECONDS)
            answer = await self._dispatcher.dispatch(job)
        except PlatformFormatError as error:
            refusal = RefusalError(Code.BAD_REQUEST, detail=str(error))
            return self._refuse(attempt_id, refusal, started)
        except RefusalError as refusal:
            return self._refuse(attempt_id, refusal, started)
        self._note_answer(job, answer)
        return answer

    def _make_job(
        self,
        message: HttpRequest,
        attempt_id: str,
        seconds_left: float | None,
    ) -> RequestContext:
        """Choose route and service.

        :raises RefusalError: if there is no route, or no configuration.
        """
        now = self._clock.now()
        configuration = self._configuration.current
        if configuration is None:
            raise RefusalError(Code.NOT_READY, retry_after=_NOT_READY_SECONDS)
        route = _find_route(configuration, message)
        if route is None:
            raise RefusalError(Code.NO_CLASS)
        service = self._choose_service(route)
        self._telemetry.count('requests')
        path = message.target
        fingerprint = compute_fingerprint(
            service, message.method, path, message.body
        )
        if self._crashes.is_blocked(service, fingerprint):
            raise RefusalError(Code.QUERY_OF_DEATH, retry_after=1)
        allowed = route.timeout
        if seconds_left is not None:
            allowed = min(allowed, seconds_left)
        passed = attrs.evolve(message, fields=strip_connection(message.fields))
        return RequestContext(
            attempt_id=attempt_id,
            message=passed,
            route=route,
            service=service,
            arrived=now,
            deadline=now + allowed,
            fingerprint=fingerprint,
        )

    def _choose_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        key = (route.name, route.shares)
        split = self._splits.get(key)
        if split is None:
            # A random start keeps the nodes from dealing in step.
            total = sum(share.weight for share in route.shares)
            split = _Split(
                {
                    share.service: self._rng.random() * total
                    for share in route.shares
                }
            )
            self._splits[key] = split
        return split.take(route)

    def _note_answer(self, job: RequestContext, answer: HttpResponse) -> None:
        seconds = self._clock.now() - job.arrived
        self._telemetry.observe('request_seconds', seconds)
        good = answer.status < SERVER_ERROR
        if answer.status in SUCCESS:
            self._crashes.record_success(job.service, job.fingerprint)
        write = self._log.write_good if good else self._log.write
        write(
            'request answered',
            request=job.attempt_id,
            route=job.route.name,
            status=answer.status,
            sends=job.sends,
            refusals=job.refusals,
            seconds=round(seconds, 4),
        )
        self._telemetry.count('answers_good' if good else 'answers_failed')

    def _refuse(
        self,
        attempt_id: str,
        refusal: RefusalError,
        started: float,
    ) -> HttpResponse:
        code = str(refusal.code)
        retry_after = refusal.retry_after
        fields = [('Content-Type', 'text/plain')]
        if retry_after is not None:
            retry_after *= 1 + _RETRY_SPREAD * self._rng.random()
            fields.append(('Retry-After', f'{retry_after:.3f}'))
        self._log.write(
            'request refused',
            request=attempt_id,
            code=code,
            outcome=str(refusal.outcome),
            status=refusal.status,
            retry_after=retry_after,
            detail=refusal.detail,
            version=self._configuration.version,
            seconds=round(self._clock.now() - started, 4),
        )
        self._telemetry.count(f'refused_{code.replace("-", "_")}')
        return HttpResponse(refusal.status, fields, f'{code}\n'.encode())

    async def _reject(
        self,
        side: ServerConnection,
        status: int,
        detail: str,
    ) -> None:
        self._log.write('request rejected', status=status, detail=detail)
        fields = [('Content-Type', 'text/plain')]
        answer = HttpResponse(status, fields, f'{detail}\n'.encode())
        await side.respond(answer, 'GET', close=True)

    def _limits(self) -> CallerLimits:
        configuration = self._configuration.current
        return CallerLimits() if configuration is None else configuration.limits


def _find_route(
    configuration: FleetConfiguration,
    message: HttpRequest,
) -> Route | None:
    host = ''
    for name, text in message.fields:
        if name.lower() == 'host':
            host = text.partition(':')[0].strip().lower()
    path = message.target.partition('?')[0]
    return configuration.find_route(host, path)
