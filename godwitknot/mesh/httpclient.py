"""HTTP calls over connections that are kept open."""

import asyncio
import collections
import functools
import time
from collections.abc import Callable

from godwitknot.errors import ConnectionCutError, ProtocolError
from godwitknot.mesh.channels import open_channel
from godwitknot.mesh.httpconnection import MAX_RESPONSE_BYTES, ClientConnection
from godwitknot.mesh.model import HttpRequest, HttpResponse
from godwitknot.units import Address

# Idle connections kept to one address.
_MOST_IDLE = 8
# A node that cannot be reached within this time answers nothing either.
_CONNECT_SECONDS = 1.0


class HttpClient:
    """Sends requests, reusing connections that are idle."""

    def __init__(
        self,
        idle_seconds: float,
        answer_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Start without connections.

        :param idle_seconds: longest time that a connection is kept idle.
        :param answer_bytes: largest response, with its head and framing.
        """
        self._idle_seconds = idle_seconds
        self._answer_bytes = answer_bytes
        self._idle: dict[Address, collections.deque] = {}
        # Told of connections closed for bytes that belong to no request.
        self.surplus_listeners: list[Callable[[Address], None]] = []

    async def call(
        self,
        address: Address,
        message: HttpRequest,
        timeout: float,
    ) -> HttpResponse:
        """Send a request and read the response whole.

        A request on a reused connection is never repeated here, since it
        may have been carried out.

        :param timeout: seconds, for the whole call.
        :raises ConnectionFailedError: if nothing was sent.
        :raises ConnectionCutError: if the connection ended early.
        :raises ProtocolError: if the response is malformed.
        :raises TimeoutError: if the call takes too long.
        """
        async with asyncio.timeout(timeout):
            side = await self.take(address)
            try:
                side.send(_with_host(message, address))
                answer = await side.read()
            except (ConnectionCutError, ProtocolError):
                side.channel.abort()
                raise
            except asyncio.CancelledError:
                side.channel.abort()
                raise
        self.give_back(address, side)
        return answer

    async def take(
        self,
        address: Address,
        longest_rest: float | None = None,
    ) -> ClientConnection:
        """Give an idle connection, or a new one.

        :param longest_rest: longest idle time, if shorter than usual.
        :raises ConnectionFailedError: if none could be opened.
        """
        most = self._idle_seconds if longest_rest is None else longest_rest
        kept = self._idle.get(address)
        while kept:
            side, since = kept.pop()
            side.channel.surplus_listener = None
            side.rested = time.monotonic() - since
            if side.channel.is_idle and side.rested <= most:
                return side
            side.channel.close()
        channel = await open_channel(address, _CONNECT_SECONDS)
        return ClientConnection(channel, self._answer_bytes)

    def give_back(self, address: Address, side: ClientConnection) -> None:
        """Keep a connection for the next request, if it can take one."""
        kept = self._idle.setdefault(address, collections.deque())
        note_surplus = functools.partial(self._note_surplus, address)
        if side.has_surplus:
            note_surplus()
        if not side.recycle() or len(kept) >= _MOST_IDLE:
            side.channel.close()
            return
        side.channel.surplus_listener = note_surplus
        kept.append((side, time.monotonic()))

    def close_idle(self, address: Address) -> None:
        """Drop idle connections, for example after a restart of the peer."""
        for side, _ in self._idle.pop(address, ()):
            side.channel.close()

    def _note_surplus(self, address: Address) -> None:
        for listener in self.surplus_listeners:
            listener(address)


def _with_host(message: HttpRequest, address: Address) -> HttpRequest:
    fields = [('Host', str(address)), *message.fields]
    return HttpRequest(message.method, message.target, fields, message.body)
