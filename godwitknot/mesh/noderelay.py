"""The hop between nodes: requests offered to the sidecar of another."""

import asyncio
import collections
import time
from collections.abc import Callable

import attrs

from godwitknot.errors import (
    ConnectionCutError,
    ConnectionFailedError,
    ProtocolError,
)
from godwitknot.mesh import frames
from godwitknot.mesh.channels import Channel, open_channel
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.frames import FrameChannel
from godwitknot.mesh.messages import Kind, Load, Offer, Refusal
from godwitknot.mesh.model import HttpResponse
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

# A sender commits one round trip after its slot is granted; regions are
# 60 ms apart, and a node may be held up for a tenth of a second.
_COMMIT_SECONDS = 1.0
_CONNECT_SECONDS = 0.35
# Until the first word of the sidecar, beyond the round trip.
_FIRST_WORD_SECONDS = 0.35
# Beyond the wait that the request allowed in the queue.
_QUEUE_SLACK_SECONDS = 0.3
# Idle connections kept to one node, and for how long.
_MOST_IDLE = 8
_IDLE_SECONDS = 20.0

GossipHandler = Callable[[Kind, object], bytes | None]


class RelayServer:
    """Takes offers of other nodes for the local server."""

    def __init__(
        self,
        sidecar: Sidecar,
        gossip: GossipHandler,
        log: EventLog,
    ) -> None:
        """Take the sidecar.

        :param gossip: handles all other frames; gives the reply.
        """
        self._sidecar = sidecar
        self._gossip = gossip
        self._log = log
        self.active = 0

    async def serve(self, channel: Channel) -> None:
        """Serve one connection, one frame at a time."""
        link = FrameChannel(channel)
        try:
            while True:
                kind, content = await link.receive()
                if kind is Kind.OFFER:
                    await self._serve_offer(link, content)
                    continue
                reply = self._gossip(kind, content)
                if reply is not None:
                    link.send(reply)
        except ConnectionCutError:
            # Nodes close their connections at any time.
            channel.close()
        except ProtocolError as error:
            self._log.write('bad frame', detail=str(error))
            channel.abort()

    async def _serve_offer(self, link: FrameChannel, offer: Offer) -> None:
        self.active += 1
        work = asyncio.ensure_future(self._work(link, offer))
        leaving = asyncio.ensure_future(_watch(link))
        try:
            await asyncio.wait(
                (work, leaving), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                self._log.write('sender left', request=offer.attempt_id)
                work.cancel()
            await asyncio.wait((work,))
            if not work.cancelled() and work.exception() is not None:
                raise work.exception()
        finally:
            leaving.cancel()
            self.active -= 1

    async def _work(self, link: FrameChannel, offer: Offer) -> None:
        admission = self._sidecar.admission
        try:
            answer = await self._run(link, offer)
        except RefusalError as error:
            refused = admission.describe(error, offer)
            self._log.write(
                'offer refused',
                request=offer.attempt_id,
                code=str(error.code),
                outcome=str(error.outcome),
                running=refused.load.running,
                waiting=refused.load.waiting,
            )
            link.send(frames.encode_refusal(refused))
            return
        link.send(frames.encode_answer(answer, admission.load()))
        await link.channel.drain()

    async def _run(self, link: FrameChannel, offer: Offer) -> HttpResponse:
        admission = self._sidecar.admission
        ticket = await admission.admit(
            offer,
            lambda: link.send(
                frames.encode_load(Kind.QUEUED, admission.load())
            ),
        )
        try:
            link.send(frames.encode_load(Kind.GRANTED, admission.load()))
            if offer.two_phase:
                body = await _await_commit(link)
                ticket.offer = attrs.evolve(offer, body=body)
            # After a pause of this process, a sender may be long gone.
            if link.channel.ended:
                raise RefusalError(Code.CANCELLED)
        except BaseException:
            admission.release(ticket)
            raise
        return await self._sidecar.run(ticket)


async def _await_commit(link: FrameChannel) -> bytes:
    """Give the body that comes with the commit.

    :raises RefusalError: not run, if none comes.
    """
    try:
        async with asyncio.timeout(_COMMIT_SECONDS):
            kind, body = await link.receive()
    except TimeoutError:
        raise RefusalError(Code.LINK_LOST) from None
    if kind is not Kind.COMMIT:
        raise ProtocolError(f'{kind} instead of a commit')
    return body


async def _watch(link: FrameChannel) -> None:
    """Return when the sender has closed the connection."""
    await link.channel.wait_for_end()


@attrs.define(eq=False)
class Exchange:
    """One offer to another node.

    :ivar granted: set once the request may be on the server.
    :ivar load: last load that the sidecar told.
    """

    offer: Offer
    granted: asyncio.Event = attrs.field(factory=asyncio.Event)
    committed: bool = False
    load: Load | None = None
    avoid: float = 0


class RelayClient:
    """Offers requests to other nodes over connections that are kept."""

    def __init__(self) -> None:
        """Start without connections."""
        self._idle: dict[Address, collections.deque] = {}

    async def run(
        self,
        address: Address,
        round_trip: float,
        exchange: Exchange,
    ) -> HttpResponse:
        """Offer a request and give the response.

        Cancelling closes the connection, and the sidecar takes the request
        off its queue, or off the server if it may be repeated.

        :param round_trip: expected seconds to the node and back.
        :raises RefusalError: with what is known about the execution.
        """
        link = await self._open(address)
        try:
            answer = await self._exchange(link, round_trip, exchange)
        except RefusalError as error:
            if error.relayed and link.is_idle:
                self._keep(address, link)
            else:
                link.channel.abort()
            raise
        except (ConnectionCutError, ProtocolError) as error:
            link.channel.abort()
            raise _explain(exchange, Code.LINK_LOST) from error
        except TimeoutError as error:
            link.channel.abort()
            raise _explain(exchange, Code.LINK_DOWN) from error
        except asyncio.CancelledError:
            link.channel.abort()
            raise
        self._keep(address, link)
        return answer

    async def call(
        self,
        address: Address,
        frame: bytes,
        timeout: float,
    ) -> tuple[Kind, object] | None:
        """Send news and give the reply.

        :param timeout: seconds.
        :returns: ``None`` if the node cannot be reached.
        """
        try:
            async with asyncio.timeout(timeout):
                link = await self._open(address)
                try:
                    link.send(frame)
                    reply = await link.receive()
                except BaseException:
                    link.channel.abort()
                    raise
        except (
            ConnectionCutError,
            ProtocolError,
            RefusalError,
            TimeoutError,
        ):
            # The caller logs and counts what it could not deliver.
            return None
        self._keep(address, link)
        return reply

    async def _open(self, address: Address) -> FrameChannel:
        kept = self._idle.get(address)
        while kept:
            link, since = kept.pop()
            if link.is_idle and time.monotonic() - since < _IDLE_SECONDS:
                return link
            link.channel.close()
        try:
            return FrameChannel(await open_channel(address, _CONNECT_SECONDS))
        except ConnectionFailedError as error:
            raise RefusalError(Code.LINK_DOWN) from error

    def _keep(self, address: Address, link: FrameChannel) -> None:
        kept = self._idle.setdefault(address, collections.deque())
        if len(kept) >= _MOST_IDLE or not link.is_idle:
            link.channel.close()
            return
        kept.append((link, time.monotonic()))

    def remove_closed(self) -> list[Address]:
        """Give the nodes that closed a kept connection, and drop those.

        Nodes keep the connections of others open until they end.
        """
        closed = []
        for address, kept in self._idle.items():
            ended = [each for each in kept if each[0].channel.ended]
            for each in ended:
                kept.remove(each)
                each[0].channel.close()
            if ended:
                closed.append(address)
        return closed

    def close_idle(self, address: Address) -> None:
        """Drop the idle connections to a node that went silent."""
        for link, _ in self._idle.pop(address, ()):
            link.channel.close()

    async def _exchange(
        self,
        link: FrameChannel,
        round_trip: float,
        exchange: Exchange,
    ) -> HttpResponse:
        offer = exchange.offer
        link.send(frames.encode_offer(offer))
        async with asyncio.timeout(round_trip + _FIRST_WORD_SECONDS) as limit:
            while True:
                kind, content = await link.receive()
                if kind is Kind.QUEUED:
                    exchange.load = content
                    now = asyncio.get_running_loop().time()
                    limit.reschedule(
                        now + offer.max_wait + _QUEUE_SLACK_SECONDS
                    )
                elif kind is Kind.GRANTED:
                    exchange.load = content
                    if offer.needs_commit:
                        exchange.committed = True
                        link.send(frames.encode_commit(offer.body))
                    exchange.granted.set()
                    limit.reschedule(None)
                else:
                    return _conclude(exchange, kind, content)


def _conclude(exchange: Exchange, kind: Kind, content: object) -> HttpResponse:
    if kind is Kind.ANSWER:
        answer, exchange.load = content
        return answer
    if kind is Kind.REFUSAL:
        refused: Refusal = content
        exchange.load = refused.load
        exchange.avoid = refused.avoid
        raise refused.error
    raise ProtocolError(f'unexpected {kind}')


def _explain(exchange: Exchange, code: Code) -> RefusalError:
    """Say what is known after the link failed.

    A sidecar never runs what waits for a commit without one.
    """
    if exchange.committed or not exchange.offer.needs_commit:
        return RefusalError(code, Outcome.MAY_HAVE_RUN)
    return RefusalError(code)
