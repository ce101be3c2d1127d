"""Relays requests to the sidecars of other servers."""

import asyncio
import collections
import time
from collections.abc import Callable

import attrs

from godwitknot.errors import (
    BodyLostError,
    ConnectionCutError,
    ConnectionFailedError,
    ProtocolError,
)
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.mesh import frames
from godwitknot.mesh.bodystream import (
    BodyStream,
    build_body_refusal,
    exchange_body,
)
from godwitknot.mesh.channels import open_channel
from godwitknot.mesh.frames import FrameChannel
from godwitknot.mesh.messages import Kind, Load, Offer, Refusal
from godwitknot.mesh.model import HttpResponse
from godwitknot.mesh.transfers import Transfer
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

_CONNECT_TIMEOUT_SECONDS = 0.35
# Until the first frame of the sidecar is due, in addition to the round trip.
_FIRST_FRAME_SECONDS = 0.35
# In addition to the time that the request may wait in the queue.
_QUEUE_MARGIN_SECONDS = 0.3
# How many idle connections are kept, to one node and to all, and for how long.
_MAX_IDLE_CONNECTIONS = 8
_MAX_ALL_IDLE_CONNECTIONS = 64
_MAX_IDLE_SECONDS = 20.0


@attrs.define(eq=False)
class Exchange:
    """One offer to another node and its progress.

    :ivar granted: whether the request got a slot.
    :ivar load: as last reported by the sidecar.
    :ivar avoid: seconds without requests to the server, as the sidecar asked.
    :ivar overdue: done once a frame of the sidecar is late. The request may
        be running by then.
    """

    offer: Offer
    committed: bool = False
    granted: bool = False
    load: Load | None = None
    avoid: float = 0
    overdue: asyncio.Future = attrs.field(init=False)
    _timer: asyncio.TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        """Create the future in the running event loop."""
        self.overdue = asyncio.get_running_loop().create_future()

    def expect_frame(self, seconds: float) -> None:
        """Start the time limit for the next frame."""
        self.stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._mark_overdue)

    def stop_timer(self) -> None:
        """Wait for the next frame without a time limit."""
        if self._timer is not None:
            self._timer.cancel()

    def _mark_overdue(self) -> None:
        if not self.overdue.done():
            self.overdue.set_result(None)


class RelayClient:
    """Offers requests to other nodes over persistent connections."""

    def __init__(
        self,
        compresses_to: Callable[[Address], bool] | None = None,
        held: HeldBytes = UNCOUNTED,
    ) -> None:
        """Create a client without connections.

        :param compresses_to: returns whether frames to a node are compressed;
            none are by default.
        :param held: charged with the bytes that the connections hold.
        """
        self._held = held
        self._compresses_to = compresses_to
        self._idle: dict[Address, collections.deque] = {}

    async def run(
        self,
        address: Address,
        round_trip: float,
        exchange: Exchange,
    ) -> HttpResponse:
        """Offer a request and return the response.

        Cancelling closes the connection. The sidecar then removes the request
        from its queue, or aborts it on the server if it is repeatable.

        :param round_trip: expected seconds to the node and back.
        :raises RefusalError: with the known outcome.
        """
        link = await self._acquire(address)
        try:
            response = await self._exchange(link, round_trip, exchange)
        except RefusalError as error:
            # The commit may still be on its way when its time limit has passed.
            late_commit = exchange.committed and error.code is Code.LINK_LOST
            if error.relayed and link.is_idle and not late_commit:
                self._release_after(exchange, address, link)
            else:
                link.abort()
            raise
        except BodyLostError as error:
            link.abort()
            raise build_body_refusal(error) from error
        except (ConnectionCutError, ProtocolError) as error:
            link.abort()
            raise _build_link_refusal(exchange, Code.LINK_LOST) from error
        except TimeoutError as error:
            link.abort()
            raise _build_link_refusal(exchange, Code.LINK_DOWN) from error
        except asyncio.CancelledError:
            link.abort()
            raise
        finally:
            exchange.stop_timer()
        self._release_after(exchange, address, link)
        return response

    def _release_after(
        self, exchange: Exchange, address: Address, link: FrameChannel
    ) -> None:
        """Keep a connection, unless parts of a body are still to be sent."""
        stream = exchange.offer.stream
        if exchange.committed and stream is not None and not stream.ended:
            link.abort()
        else:
            self._release(address, link)

    async def call(
        self,
        address: Address,
        frame: bytes,
        transfer: Transfer,
    ) -> tuple[Kind, object] | None:
        """Send a gossip frame and return the reply.

        :param transfer: limits the time and follows the progress.
        :returns: ``None`` if the node cannot be reached.
        """
        try:
            async with transfer.limit_time():
                link = await self._acquire(address)
                try:
                    with transfer.watch(link.channel):
                        link.send(frame)
                        reply = await link.receive()
                except BaseException:
                    link.abort()
                    raise
        except (
            ConnectionCutError,
            ProtocolError,
            RefusalError,
            TimeoutError,
        ):
            # The calling code logs and counts what was not delivered.
            return None
        self._release(address, link)
        return reply

    async def _acquire(self, address: Address) -> FrameChannel:
        idle = self._idle.get(address)
        while idle:
            link, since = idle.pop()
            if link.is_idle and time.monotonic() - since < _MAX_IDLE_SECONDS:
                return link
            link.close()
        try:
            return FrameChannel(
                await open_channel(
                    address, _CONNECT_TIMEOUT_SECONDS, self._held
                ),
                compress=self._compresses(address),
                held=self._held,
            )
        except ConnectionFailedError as error:
            raise RefusalError(Code.LINK_DOWN) from error

    def _compresses(self, address: Address) -> bool:
        return self._compresses_to is not None and self._compresses_to(address)

    def _release(self, address: Address, link: FrameChannel) -> None:
        # The node whose connection was used last comes last.
        idle = self._idle.pop(address, None) or collections.deque()
        self._idle[address] = idle
        if len(idle) >= _MAX_IDLE_CONNECTIONS or not link.is_idle:
            link.close()
            return
        idle.append((link, time.monotonic()))
        self._close_surplus()

    def _close_surplus(self) -> None:
        """Close the connections of the nodes that were used longest ago."""
        surplus = sum(map(len, self._idle.values())) - _MAX_ALL_IDLE_CONNECTIONS
        while surplus > 0:
            address = next(iter(self._idle))
            if self._idle[address]:
                self._idle[address].popleft()[0].close()
                surplus -= 1
            else:
                self._idle.pop(address)

    def remove_closed(self) -> list[Address]:
        """Remove idle connections closed by their nodes; return the nodes.

        A node keeps the connections of others open until it ends.
        """
        closed = []
        for address, idle in self._idle.items():
            ended = [each for each in idle if each[0].channel.ended]
            for each in ended:
                idle.remove(each)
                each[0].close()
            if ended:
                closed.append(address)
        return closed

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a node that does not answer."""
        for link, _ in self._idle.pop(address, ()):
            link.close()

    async def _exchange(
        self,
        link: FrameChannel,
        round_trip: float,
        exchange: Exchange,
    ) -> HttpResponse:
        offer = exchange.offer
        link.send(frames.encode_offer(offer))
        async with asyncio.timeout(None) as limit:
            _expect_frame(exchange, limit, round_trip + _FIRST_FRAME_SECONDS)
            while True:
                kind, content = await link.receive()
                if kind is Kind.QUEUED:
                    exchange.load = content
                    _expect_frame(
                        exchange, limit, offer.max_wait + _QUEUE_MARGIN_SECONDS
                    )
                elif kind is Kind.GRANTED:
                    exchange.granted = True
                    exchange.load = content
                    if offer.needs_commit:
                        exchange.committed = True
                        link.send(frames.encode_commit(offer))
                    exchange.stop_timer()
                    limit.reschedule(None)
                    if offer.stream is not None:
                        kind, content = await exchange_body(
                            _send_body(link, offer.stream),
                            link.receive(),
                            exchange.stop_timer,
                        )
                        return _conclude(exchange, kind, content)
                else:
                    return _conclude(exchange, kind, content)


async def _send_body(link: FrameChannel, stream: BodyStream) -> None:
    while part := await stream.read():
        link.send(frames.encode_body_part(part))
        await link.channel.drain()
    if not stream.is_stated:
        link.send(frames.encode_body_part(b''))


def _expect_frame(
    exchange: Exchange, limit: asyncio.Timeout, seconds: float
) -> None:
    """Set the time limit for the next frame.

    It ends only an exchange that waits for a commit. Any other request may be
    running by then, and breaking it off would waste the run.
    """
    if exchange.offer.needs_commit:
        limit.reschedule(asyncio.get_running_loop().time() + seconds)
    else:
        exchange.expect_frame(seconds)


def _conclude(exchange: Exchange, kind: Kind, content: object) -> HttpResponse:
    if kind is Kind.ANSWER:
        response, exchange.load = content
        return response
    if kind is Kind.REFUSAL:
        refusal: Refusal = content
        exchange.load = refusal.load
        exchange.avoid = refusal.avoid
        raise refusal.error
    raise ProtocolError(f'unexpected {kind}')


def _build_link_refusal(exchange: Exchange, code: Code) -> RefusalError:
    """Return the known outcome after the link failed.

    A sidecar never runs a request that waits for a commit without one.
    """
    if exchange.committed or not exchange.offer.needs_commit:
        return RefusalError(code, Outcome.MAY_HAVE_RUN)
    return RefusalError(code)
