"""Questions to the local server outside of any request."""

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
_HEALTH_SECONDS = 1.0
_CRASH_CHECK_SECONDS = 0.3


class ServerChecks:
    """Asks the local server whether it is well, or there at all."""

    def __init__(
        self,
        server: LocalServer,
        configuration: ConfigurationHolder,
        dialect: Dialect,
        client: HttpClient,
        runtime: Runtime,
    ) -> None:
        """Take the collaborators."""
        self._server = server
        self._address = server.placement.server
        self._configuration = configuration
        self._dialect = dialect
        self._client = client
        self._log = runtime.log
        self._telemetry = runtime.telemetry

    async def check_health(self) -> bool:
        """Ask the server for its health.

        :returns: whether it is open for work by its answer.
        """
        configuration = self._configuration.current
        if configuration is None:
            return False
        path = configuration.health_paths.get(self._server.service)
        if path is None:
            return False
        message = HttpRequest('GET', path, [], b'')
        self._telemetry.count('health_checks')
        try:
            answer = await self._client.call(
                self._address, message, _HEALTH_SECONDS
            )
        except (
            ConnectionCutError,
            ConnectionFailedError,
            ProtocolError,
            TimeoutError,
        ) as error:
            self._log.write('health check failed', detail=repr(error))
            return False
        if answer.status != _OK:
            self._log.write('health check failed', status=answer.status)
            return False
        facts = self._dialect.read_response(answer.fields)
        return self._server.note_healthy(facts.server_id)

    async def accepts_connections(self) -> bool:
        """Tell whether the server still accepts connections."""
        try:
            channel = await open_channel(self._address, _CRASH_CHECK_SECONDS)
        except ConnectionFailedError:
            return False
        channel.close()
        return True
