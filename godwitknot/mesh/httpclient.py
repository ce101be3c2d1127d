"""HTTP calls over persistent connections."""

import asyncio
import collections
import functools
import time
from collections.abc import Callable

from godwitknot.errors import ConnectionCutError, ProtocolError
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.mesh.channels import open_channel
from godwitknot.mesh.clientconnection import (
    MAX_RESPONSE_BYTES,
    ClientConnection,
)
from godwitknot.mesh.model import HttpRequest, HttpResponse
from godwitknot.mesh.transfers import Transfer
from godwitknot.units import Address

# Idle connections that are kept to one address.
_MAX_IDLE_CONNECTIONS = 8
# A node that takes longer to connect does not respond to requests either.
_CONNECT_TIMEOUT_SECONDS = 1.0


class HttpClient:
    """Sends requests and reuses idle connections."""

    def __init__(
        self,
        max_idle_seconds: float,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        held: HeldBytes = UNCOUNTED,
    ) -> None:
        """Create a client without connections.

        :param max_idle_seconds: how long a connection is kept idle.
        :param max_response_bytes: largest response, including head and framing.
        :param held: charged with the bytes that the connections hold.
        """
        self._held = held
        self._max_idle_seconds = max_idle_seconds
        self._max_response_bytes = max_response_bytes
        self._idle: dict[Address, collections.deque] = {}
        # Called with the address of a connection that received data belonging
        # to no request.
        self.unexpected_data_listeners: list[Callable[[Address], None]] = []

    async def call(
        self,
        address: Address,
        http_request: HttpRequest,
        timeout: float,
    ) -> HttpResponse:
        """Send a request and read the complete response.

        :param timeout: seconds, for the whole call.
        :raises ConnectionFailedError: if nothing was sent.
        :raises ConnectionCutError: if the connection ended early.
        :raises ProtocolError: if the response is malformed.
        :raises TimeoutError: if the call takes too long.
        """
        return await self.fetch(address, http_request, Transfer(timeout))

    async def fetch(
        self,
        address: Address,
        http_request: HttpRequest,
        transfer: Transfer,
    ) -> HttpResponse:
        """Send a request and read a response that may be large.

        A request on a reused connection is never repeated here, since it may
        have been executed.

        :param transfer: limits the time and follows the progress.
        :raises ConnectionFailedError: if nothing was sent.
        :raises ConnectionCutError: if the connection ended early.
        :raises ProtocolError: if the response is malformed.
        :raises TimeoutError: if the call takes too long.
        """
        async with transfer.limit_time():
            connection = await self.acquire_connection(address)
            try:
                with transfer.watch(connection.channel):
                    connection.send(_with_host(http_request, address))
                    response = await connection.read()
            except (ConnectionCutError, ProtocolError):
                connection.channel.abort()
                raise
            except asyncio.CancelledError:
                connection.channel.abort()
                raise
        self.release_connection(address, connection)
        return response

    async def acquire_connection(
        self,
        address: Address,
        idle_limit: float | None = None,
        *,
        fresh: bool = False,
    ) -> ClientConnection:
        """Return an idle connection, or a new one.

        :param idle_limit: longest idle time in seconds, instead of that of the
            client.
        :param fresh: open a new connection instead of reusing one.
        :raises ConnectionFailedError: if no connection could be opened.
        """
        limit = self._max_idle_seconds if idle_limit is None else idle_limit
        connection = None if fresh else self._take_idle(address, limit)
        if connection is not None:
            return connection
        channel = await open_channel(
            address, _CONNECT_TIMEOUT_SECONDS, self._held
        )
        return ClientConnection(channel, self._max_response_bytes, self._held)

    def release_connection(
        self, address: Address, connection: ClientConnection
    ) -> None:
        """Keep a connection for the next request, if it can be reused."""
        idle = self._idle.setdefault(address, collections.deque())
        notify = functools.partial(self._notify_unexpected_data, address)
        if connection.has_unexpected_data:
            notify()
        if not connection.reset_for_reuse():
            connection.channel.close()
            return
        if len(idle) >= _MAX_IDLE_CONNECTIONS:
            # The one that was used last is the most likely to be usable.
            oldest, _ = idle.popleft()
            oldest.channel.close()
        connection.channel.unexpected_data_listener = notify
        idle.append((connection, time.monotonic()))

    def close_idle(self, address: Address) -> None:
        """Close idle connections, for example after the peer has restarted."""
        for connection, _ in self._idle.pop(address, ()):
            connection.channel.close()

    def _take_idle(
        self, address: Address, limit: float
    ) -> ClientConnection | None:
        """Return the connection that was used last, if it may be reused.

        One that is idle for too long for this request stays for others.

        :param limit: longest idle time in seconds.
        """
        idle = self._idle.get(address)
        while idle:
            connection, since = idle[-1]
            connection.idle_seconds = time.monotonic() - since
            usable = connection.channel.is_idle
            if usable and limit < connection.idle_seconds:
                if connection.idle_seconds <= self._max_idle_seconds:
                    return None
                usable = False
            idle.pop()
            connection.channel.unexpected_data_listener = None
            if usable:
                return connection
            connection.channel.close()
        return None

    def _notify_unexpected_data(self, address: Address) -> None:
        for listener in self.unexpected_data_listeners:
            listener(address)


def _with_host(http_request: HttpRequest, address: Address) -> HttpRequest:
    fields = [('Host', str(address)), *http_request.fields]
    return HttpRequest(
        http_request.method, http_request.target, fields, http_request.body
    )
