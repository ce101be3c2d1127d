"""What the local server and the platform ask of this node, over HTTP."""

from collections.abc import Callable

from godwitknot.errors import (
    ConnectionCutError,
    PlatformFormatError,
    ProtocolError,
)
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.httpconnection import ServerConnection
from godwitknot.mesh.interfaces import Dialect
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.model import Departure, HttpRequest, HttpResponse
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.telemetry import Telemetry

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_HEAD_BYTES = 16384
_BODY_BYTES = 65536
_HEAD_SECONDS = 5.0
_JSON = ('Content-Type', 'application/json')
_TEXT = ('Content-Type', 'text/plain')


class EndpointServer:
    """Serves short requests of one kind on kept connections."""

    def __init__(self, handle: Callable[[HttpRequest], HttpResponse]) -> None:
        """Take the handler of a request."""
        self._handle = handle

    async def serve(self, channel: Channel) -> None:
        """Serve one connection until its end."""
        side = ServerConnection(channel, _HEAD_BYTES)
        try:
            while True:
                message = await side.read(_BODY_BYTES, _HEAD_SECONDS)
                if message is None:
                    break
                answer = self._handle(message)
                await side.respond(answer, message.method, close=False)
                if side.must_close:
                    break
        except (ConnectionCutError, ProtocolError, TimeoutError):
            # The other side broke off, and asks again if it needs to.
            channel.abort()
        finally:
            channel.close()


class AnnouncementHandler:
    """Takes heartbeats and departures of the local server."""

    def __init__(
        self,
        server: LocalServer,
        dialect: Dialect,
        note_changed: Callable[[], None],
        runtime: Runtime,
    ) -> None:
        """Take the collaborators.

        :param note_changed: called after a change, before the answer.
        """
        self._server = server
        self._dialect = dialect
        self._note_changed = note_changed
        self._log = runtime.log
        self._telemetry = runtime.telemetry

    def handle(self, message: HttpRequest) -> HttpResponse:
        """Answer one call of the local server."""
        try:
            call = self._dialect.read_announcement(
                message.method, message.target, message.body
            )
        except PlatformFormatError as error:
            self._telemetry.count('announcements_unreadable')
            self._log.write('announcement unreadable', detail=str(error))
            return HttpResponse(_BAD_REQUEST, [_JSON], b'{}')
        if call is None:
            return HttpResponse(_NOT_FOUND, [_JSON], b'{}')
        if isinstance(call, Departure):
            changed = self._server.apply_departure(call)
        else:
            changed = self._server.apply_heartbeat(call)
        if changed or self._server.needs_proof:
            self._note_changed()
        return HttpResponse(_OK, [_JSON], b'{}')


class ReadinessHandler:
    """Tells the platform whether callers may come."""

    def __init__(self, dialect: Dialect, is_ready: Callable[[], bool]) -> None:
        """Take the question that decides."""
        self._dialect = dialect
        self._is_ready = is_ready

    def handle(self, message: HttpRequest) -> HttpResponse:
        """Answer one question."""
        if not self._dialect.is_readiness_check(message.target):
            return HttpResponse(_NOT_FOUND, [_TEXT], b'')
        status = _OK if self._is_ready() else _UNAVAILABLE
        return HttpResponse(status, [_TEXT], b'')


class MetricsHandler:
    """Serves counters and histograms."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Take the counters."""
        self._telemetry = telemetry

    def handle(self, message: HttpRequest) -> HttpResponse:
        """Answer one scrape."""
        return HttpResponse(_OK, [_TEXT], self._telemetry.render())
