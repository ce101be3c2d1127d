"""TCP connections as byte channels of one task each."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from godwitknot.errors import ConnectionCutError, ConnectionFailedError
from godwitknot.units import Address

# A peer that reads nothing pauses the reading side at this many bytes.
_READ_AHEAD_BYTES = 262144
# Unacknowledged data for this long means that the path is cut, since
# retransmissions on these links succeed within a second.
_USER_TIMEOUT_MS = 4000
# Open connections may go silent for good; probes find them in 5 s.
_PROBE_IDLE_SECONDS = 2
_PROBE_GAP_SECONDS = 1
_PROBES = 3
_BACKLOG = 512


class Channel(asyncio.Protocol):
    """One TCP connection: bytes in, bytes out, and its end."""

    def __init__(
        self,
        serve: 'Callable[[Channel], Awaitable[None]] | None' = None,
    ) -> None:
        """Prepare.

        :param serve: task for an accepted connection.
        """
        self._serve = serve
        self._buffer = bytearray()
        self._ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._paused = False
        # Set while nothing may arrive; told of bytes, which end the connection.
        self.surplus_listener: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of an accepted connection."""
        self._transport = transport
        # Bytes of this process are lost at its exit, so that none may count
        # as sent before the kernel has them.
        transport.set_write_buffer_limits(high=0)
        _tune(transport.get_extra_info('socket'))
        if self._serve is not None:
            self._task = asyncio.ensure_future(self._serve(self))

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are read."""
        if self.surplus_listener is not None:
            self._ended = True
            self.abort()
            self.surplus_listener()
            return
        self._buffer += data
        if len(self._buffer) > _READ_AHEAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the peer sends nothing more; writing stays possible."""
        self._ended = True
        self._wake()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end of the connection."""
        self._ended = True
        if error is not None:
            self._error = error
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        """Hold writers until the peer has read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    @property
    def ended(self) -> bool:
        """Whether nothing more will be received."""
        return self._ended

    @property
    def was_reset(self) -> bool:
        """Whether the connection broke instead of being closed."""
        return self._error is not None

    @property
    def has_input(self) -> bool:
        """Whether bytes have arrived that are not yet read."""
        return bool(self._buffer)

    @property
    def is_idle(self) -> bool:
        """Whether it is open and no unread byte has arrived."""
        return not (self._ended or self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the kernel does not have yet."""
        return self._transport.get_write_buffer_size()

    async def receive(self) -> bytes:
        """Give the next bytes, empty at the orderly end.

        :raises ConnectionCutError: if the connection broke.
        """
        while not self._buffer and not self._ended:
            await self._wait()
        if self._buffer:
            taken = bytes(self._buffer)
            self._buffer.clear()
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
            return taken
        if self._error is not None:
            raise ConnectionCutError(repr(self._error))
        return b''

    async def wait_for_input(self) -> None:
        """Return when bytes have arrived or the connection has ended."""
        while not self._buffer and not self._ended:
            await self._wait()

    async def wait_for_end(self) -> None:
        """Return when the peer has closed or the connection broke."""
        while not self._ended:
            await self._wait()

    def write(self, data: bytes) -> None:
        """Send bytes without waiting.

        :raises ConnectionCutError: if the connection has ended.
        """
        if self._transport is None or self._transport.is_closing():
            raise ConnectionCutError('connection is closed')
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the kernel has all bytes that were written.

        :raises ConnectionCutError: if the connection has ended.
        """
        await self._writable.wait()
        if self._transport.is_closing():
            raise ConnectionCutError('connection is closed')

    def close(self) -> None:
        """Close after what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; the peer sees a reset if bytes are outstanding."""
        if self._transport is not None:
            self._transport.abort()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait(self) -> None:
        if self._waiter is None:
            self._waiter = asyncio.get_running_loop().create_future()
        # Several tasks may wait, and one that is cancelled leaves the
        # future to the others.
        await asyncio.shield(self._waiter)


def _tune(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option, number in (
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, _PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _PROBE_GAP_SECONDS),
        (socket.TCP_KEEPCNT, _PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


async def open_channel(address: Address, timeout: float) -> Channel:
    """Connect.

    :param timeout: seconds.
    :raises ConnectionFailedError: if no connection was opened.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, channel = await loop.create_connection(Channel, *address.pair)
    except (OSError, TimeoutError) as error:
        raise ConnectionFailedError(f'{address}: {error!r}') from error
    return channel


async def listen(
    address: Address,
    serve: Callable[[Channel], Awaitable[None]],
) -> asyncio.Server:
    """Accept connections, one task for each.

    :raises OSError: if the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Channel(serve),
        *address.pair,
        backlog=_BACKLOG,
        reuse_address=True,
    )
