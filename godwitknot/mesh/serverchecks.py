"""Checks of the local server that belong to no request."""

from godwitknot.errors import (
    ConnectionCutError,
    ConnectionFailedError,
    ProtocolError,
)
from godwitknot.mesh.channels import open_channel
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.interfaces import Dialect
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.model import HttpRequest
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.storesync import ConfigurationHolder

_OK = 200
_HEALTH_TIMEOUT_SECONDS = 1.0
_CONNECT_TIMEOUT_SECONDS = 0.3


class ServerChecks:
    """Checks whether the local server is healthy and accepts connections."""

    def __init__(
        self,
        server: LocalServer,
        configuration: ConfigurationHolder,
        dialect: Dialect,
        client: HttpClient,
        runtime: Runtime,
    ) -> None:
        """Create the checks of a server."""
        self._server = server
        self._address = server.placement.server
        self._configuration = configuration
        self._dialect = dialect
        self._client = client
        self._log = runtime.log
        self._telemetry = runtime.telemetry

    async def check_health(self) -> bool:
        """Request the health path of the server.

        :returns: whether the response opened the server for requests.
        """
        configuration = self._configuration.current
        if configuration is None:
            return False
        path = configuration.health_paths.get(self._server.service)
        if path is None:
            return False
        http_request = HttpRequest('GET', path, [], b'')
        self._telemetry.count('health_checks')
        try:
            response = await self._client.call(
                self._address, http_request, _HEALTH_TIMEOUT_SECONDS
            )
        except (
            ConnectionCutError,
            ConnectionFailedError,
            ProtocolError,
            TimeoutError,
        ) as error:
            self._log.write('health check failed', detail=repr(error))
            return False
        if response.status != _OK:
            self._log.write('health check failed', status=response.status)
            return False
        metadata = self._dialect.read_response(response.fields)
        if metadata.attempt_id:
            self._log.write('health check failed', detail='another response')
            return False
        return self._server.record_health_check(metadata.server_id)

    async def accepts_connections(self) -> bool:
        """Return whether the server still accepts connections."""
        try:
            channel = await open_channel(
                self._address, _CONNECT_TIMEOUT_SECONDS
            )
        except ConnectionFailedError:
            return False
        channel.close()
        return True
