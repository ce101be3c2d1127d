"""HTTP endpoints for announcements, readiness checks and metrics."""

from collections.abc import Awaitable, Callable

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
    """Serves small requests over persistent connections."""

    def __init__(
        self,
        handle: Callable[[HttpRequest], HttpResponse],
        settle: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Create a server.

        :param handle: returns the response to a request.
        :param settle: awaited before a response is sent.
        """
        self._handle = handle
        self._settle = settle

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it is closed."""
        connection = ServerConnection(channel, _HEAD_BYTES)
        try:
            while True:
                request = await connection.read(_BODY_BYTES, _HEAD_SECONDS)
                if request is None:
                    break
                response = self._handle(request)
                if self._settle is not None:
                    await self._settle()
                await connection.respond(response, request.method, close=False)
                if connection.must_close:
                    break
        except (ConnectionCutError, ProtocolError, TimeoutError):
            # The client gave up or sent a malformed request; it can retry.
            channel.abort()
        finally:
            channel.close()


class AnnouncementHandler:
    """Handles heartbeats and departures of the local server."""

    def __init__(
        self,
        server: LocalServer,
        dialect: Dialect,
        on_change: Callable[[], None],
        runtime: Runtime,
    ) -> None:
        """Create a handler.

        :param on_change: called after a change, before the response is sent.
        """
        self._server = server
        self._dialect = dialect
        self._on_change = on_change
        self._log = runtime.log
        self._telemetry = runtime.telemetry

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one announcement of the local server."""
        try:
            announcement = self._dialect.read_announcement(
                request.method, request.target, request.body
            )
        except PlatformFormatError as error:
            self._telemetry.count('announcements_unreadable')
            self._log.write('announcement unreadable', detail=str(error))
            return HttpResponse(_BAD_REQUEST, [_JSON], b'{}')
        if announcement is None:
            return HttpResponse(_NOT_FOUND, [_JSON], b'{}')
        if isinstance(announcement, Departure):
            changed = self._server.apply_departure(announcement)
        else:
            changed = self._server.apply_heartbeat(announcement)
        if changed or self._server.needs_proof:
            self._on_change()
        return HttpResponse(_OK, [_JSON], b'{}')


class ReadinessHandler:
    """Reports to the platform whether callers may send requests."""

    def __init__(self, dialect: Dialect, is_ready: Callable[[], bool]) -> None:
        """Create a handler.

        :param is_ready: returns whether the node is ready.
        """
        self._dialect = dialect
        self._is_ready = is_ready

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one readiness check."""
        if not self._dialect.is_readiness_check(request.target):
            return HttpResponse(_NOT_FOUND, [_TEXT], b'')
        status = _OK if self._is_ready() else _UNAVAILABLE
        return HttpResponse(status, [_TEXT], b'')


class MetricsHandler:
    """Serves counters and histograms."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Create a handler.

        :param telemetry: metrics to serve.
        """
        self._telemetry = telemetry

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one scrape."""
        return HttpResponse(_OK, [_TEXT], self._telemetry.render())
