"""TCP connections as byte channels, each served by one task."""

import asyncio
import errno
from collections.abc import Awaitable, Callable

from godwitknot.clock import Clock, SystemClock
from godwitknot.errors import ConnectionCutError, ConnectionFailedError
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.mesh.sendprogress import CutReason, SendProgress
from godwitknot.mesh.socketoptions import (
    limit_probe_gap,
    read_sent_state,
    set_options,
)
from godwitknot.units import Address

# Reading from a connection pauses at this many unread bytes.
_READ_AHEAD_BYTES = 262144
# The same while the node holds almost as many bytes as it may.
_TIGHT_READ_AHEAD_BYTES = 16384
# How often the progress of a peer is checked while data waits for it.
_CHECK_SECONDS = 0.25
_CLOCK: Clock = SystemClock()
_BACKLOG = 512


class Channel(asyncio.Protocol):
    """One TCP connection, with its received and sent bytes and its end."""

    def __init__(
        self,
        serve: 'Callable[[Channel], Awaitable[None]] | None' = None,
        held: HeldBytes = UNCOUNTED,
    ) -> None:
        """Create a channel for a connection that is yet to be made.

        :param serve: run as the task of an accepted connection.
        :param held: charged with bytes that are not yet read or sent.
        """
        self._held = held
        self._charged_unsent = 0
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
        self._progress = SendProgress(_CLOCK)
        self._is_watched = False
        self._probe_gap_limited = False
        self._check: asyncio.TimerHandle | None = None
        self._written_bytes = 0
        # Why this process closed the connection, empty if the peer did.
        self.cut_reason = ''
        # Set while no bytes may arrive. Bytes that do end the connection, and
        # the listener is called.
        self.unexpected_data_listener: Callable[[], None] | None = None
        # Called with the number of bytes that have arrived.
        self.data_listener: Callable[[int], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of an accepted connection."""
        self._transport = transport
        # Bytes buffered by this process are lost when it exits, so they count
        # as sent only once the kernel has them.
        transport.set_write_buffer_limits(high=0)
        self._is_watched = set_options(transport.get_extra_info('socket'))
        if self._serve is not None:
            self._task = asyncio.ensure_future(self._serve(self))

    @property
    def peer_host(self) -> str:
        """Address of the peer, empty if it is not known."""
        if self._transport is None:
            return ''
        peer = self._transport.get_extra_info('peername')
        return peer[0] if peer else ''

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes until they are read."""
        if self.unexpected_data_listener is not None:
            self._ended = True
            self.abort()
            self.unexpected_data_listener()
            return
        if self.data_listener is not None:
            self.data_listener(len(data))
        self._buffer += data
        self._held.charge(len(data))
        if not self._paused and len(self._buffer) > self._read_ahead():
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record that the peer sends no more; writing remains possible."""
        self._ended = True
        self._wake()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection."""
        self._ended = True
        if error is not None:
            self._error = error
            # The kernel's own timers have ended it: the peer is gone.
            if getattr(error, 'errno', None) == errno.ETIMEDOUT:
                self.cut_reason = str(CutReason.UNANSWERED)
        if self._check is not None:
            self._check.cancel()
        self._charge_unsent(0)
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        """Make writers wait until the peer has read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers continue."""
        self._charge_unsent(0)
        self._writable.set()

    @property
    def ended(self) -> bool:
        """Whether no more bytes will be received."""
        return self._ended

    @property
    def was_reset(self) -> bool:
        """Whether the connection broke rather than being closed."""
        return self._error is not None

    @property
    def has_input(self) -> bool:
        """Whether there are received bytes that are not yet read."""
        return bool(self._buffer)

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return not (self._ended or self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes not yet passed to the kernel."""
        return self._transport.get_write_buffer_size()

    async def receive(self) -> bytes:
        """Return the next bytes, or none once the peer has closed.

        :raises ConnectionCutError: if the connection broke.
        """
        while not self._buffer and not self._ended:
            await self._wait()
        if self._buffer:
            received = bytes(self._buffer)
            self._buffer.clear()
            self._held.charge(-len(received))
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
            return received
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
        self._written_bytes += len(data)
        if not self._writable.is_set():
            self._charge_unsent(self.unsent_bytes)
        if self._is_watched and self._check is None:
            self._progress.begin()
            self._schedule_check()

    async def drain(self) -> None:
        """Wait until the kernel has all written bytes.

        :raises ConnectionCutError: if the connection has ended.
        """
        await self._writable.wait()
        if self._transport.is_closing():
            raise ConnectionCutError('connection is closed')

    def close(self) -> None:
        """Close after all written bytes are sent."""
        self._discard_input()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately; unsent bytes make the peer see a reset."""
        self._discard_input()
        if self._transport is not None:
            self._transport.abort()

    def _discard_input(self) -> None:
        self._held.charge(-len(self._buffer))
        self._buffer.clear()

    def _read_ahead(self) -> int:
        if self._held.ledger.is_tight:
            return _TIGHT_READ_AHEAD_BYTES
        return _READ_AHEAD_BYTES

    def _charge_unsent(self, size: int) -> None:
        """Charge the written bytes that the kernel does not have yet."""
        if size != self._charged_unsent:
            self._held.charge(size - self._charged_unsent)
            self._charged_unsent = size

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(_CHECK_SECONDS, self._check_progress)

    def _check_progress(self) -> None:
        """Close the connection if its peer makes no progress."""
        self._check = None
        sock = self._transport.get_extra_info('socket')
        state = read_sent_state(sock)
        if state is None:
            return
        waiting = self.unsent_bytes
        self._charge_unsent(waiting)
        if not (waiting or state.unacknowledged):
            self._limit_probe_gap(limited=False)
            return
        reason = self._progress.record(self._written_bytes - waiting, state)
        if reason is not None:
            self.cut_reason = str(reason)
            self._error = ConnectionCutError(self.cut_reason)
            self._transport.abort()
            return
        self._limit_probe_gap(limited=not state.in_flight)
        self._schedule_check()

    def _limit_probe_gap(self, *, limited: bool) -> None:
        if limited == self._probe_gap_limited:
            return
        self._probe_gap_limited = limited
        sock = self._transport.get_extra_info('socket')
        limit_probe_gap(sock, limited=limited)

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait(self) -> None:
        if self._waiter is None:
            self._waiter = asyncio.get_running_loop().create_future()
        # Several tasks may wait on the future, so cancelling one of them must
        # not cancel it.
        await asyncio.shield(self._waiter)


async def open_channel(
    address: Address, timeout: float, held: HeldBytes = UNCOUNTED
) -> Channel:
    """Open a connection.

    :param timeout: seconds.
    :param held: charged with the bytes that the connection holds.
    :raises ConnectionFailedError: if the connection was not opened.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, channel = await loop.create_connection(
                lambda: Channel(held=held), *address.pair
            )
    except (OSError, TimeoutError) as error:
        raise ConnectionFailedError(f'{address}: {error!r}') from error
    return channel


async def listen(
    address: Address,
    serve: Callable[[Channel], Awaitable[None]],
    held: HeldBytes = UNCOUNTED,
) -> asyncio.Server:
    """Accept connections and serve each in a task of its own.

    :param held: charged with the bytes that the connections hold.
    :raises OSError: if the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Channel(serve, held),
        *address.pair,
        backlog=_BACKLOG,
        reuse_address=True,
    )
