"""Receives requests that other nodes relay to the local server."""

import asyncio
import time
import typing
from collections.abc import Callable

import attrs

from godwitknot.errors import ConnectionCutError, ProtocolError
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.mesh import frames
from godwitknot.mesh.bodystream import WINDOW_BYTES, BodyStream
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.frames import FrameChannel
from godwitknot.mesh.messages import MEBIBYTE, Kind, Offer
from godwitknot.mesh.model import HttpResponse
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.transfers import Transfer
from godwitknot.outcomes import Code, RefusalError

# A sender commits one round trip after its slot is granted. Regions are 60 ms
# apart, and a node may be delayed by a tenth of a second.
_COMMIT_TIMEOUT_SECONDS = 1.0
# Held bodies and answers pass on in about this time.
_NO_MEMORY_SECONDS = 1.0

GossipHandler = Callable[[Kind, object], bytes | None]


class RelayServer:
    """Receives offers of other nodes for the local server."""

    def __init__(
        self,
        sidecar: Sidecar,
        gossip: GossipHandler,
        log: EventLog,
        held: HeldBytes = UNCOUNTED,
    ) -> None:
        """Create a server without connections.

        :param sidecar: runs the offered requests.
        :param gossip: handles all other frames and returns the reply.
        :param held: charged with the bytes that the connections hold.
        """
        self._held = held
        self._sidecar = sidecar
        self._gossip = gossip
        self._log = log
        self.active = 0

    async def serve(self, channel: Channel) -> None:
        """Serve one connection, one frame at a time."""
        link = FrameChannel(channel, held=self._held)
        try:
            while True:
                kind, content = await link.receive()
                if kind is Kind.OFFER:
                    await self._serve_offer(link, content)
                    continue
                if kind is Kind.BODY_PART:
                    # Of a request that was answered before the end of its body.
                    continue
                reply = self._gossip(kind, content)
                if reply is not None:
                    link.send(reply)
        except ConnectionCutError:
            # Nodes may close their connections at any time.
            link.close()
        except ProtocolError as error:
            self._log.write('bad frame', detail=str(error))
            link.abort()

    async def _serve_offer(self, link: FrameChannel, offer: Offer) -> None:
        self.active += 1
        progress = _OfferProgress(time.monotonic())
        handling = asyncio.ensure_future(
            self._handle_offer(link, offer, progress)
        )
        closing = asyncio.ensure_future(_wait_for_close(link))
        try:
            await asyncio.wait(
                (handling, closing), return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                self._log.write(
                    'sender left',
                    request=offer.attempt_id,
                    seconds=progress.seconds_since(progress.received_at),
                    granted=progress.seconds_since(progress.granted_at),
                )
                handling.cancel()
            await asyncio.wait((handling,))
            if not handling.cancelled() and handling.exception() is not None:
                raise handling.exception()
        finally:
            closing.cancel()
            self.active -= 1

    async def _handle_offer(
        self, link: FrameChannel, offer: Offer, progress: '_OfferProgress'
    ) -> None:
        admission = self._sidecar.admission
        try:
            response = await self._run(link, offer, progress)
        except RefusalError as error:
            refusal = admission.build_refusal(error, offer)
            self._log.write(
                'offer refused',
                request=offer.attempt_id,
                code=str(error.code),
                outcome=str(error.outcome),
                running=refusal.load.running,
                waiting=refusal.load.waiting,
            )
            link.send(frames.encode_refusal(refusal))
            return
        # The channel charges the frame as far as it is not sent yet.
        with self._held.hold(len(response.body)):
            link.send(frames.encode_answer(response, admission.current_load()))
            await link.channel.drain()

    async def _run(
        self, link: FrameChannel, offer: Offer, progress: '_OfferProgress'
    ) -> HttpResponse:
        admission = self._sidecar.admission
        if not self._held.ledger.admits(0, offer.priority):
            # Nodes of earlier releases do not know the code for memory.
            raise RefusalError(Code.QUEUE_FULL, retry_after=_NO_MEMORY_SECONDS)
        reservation = await admission.admit(
            offer,
            lambda: link.send(
                frames.encode_load(Kind.QUEUED, admission.current_load())
            ),
        )
        try:
            link.send(
                frames.encode_load(Kind.GRANTED, admission.current_load())
            )
            progress.granted_at = time.monotonic()
            if offer.two_phase:
                reservation.awaits_body = True
                reservation.offer = await _receive_commit(link, offer)
            if offer.two_phase and not offer.body_bytes:
                admission.start_run(reservation)
            # After a pause of this process, the sender may have left.
            if link.channel.ended:
                raise RefusalError(Code.CANCELLED)
        except BaseException:
            admission.release(reservation)
            raise
        window = WINDOW_BYTES if offer.body_bytes else 0
        with self._held.hold(window):
            return await self._sidecar.run(reservation)


@attrs.define(eq=False)
class _OfferProgress:
    """Times of one offer at its sidecar, on the monotonic clock."""

    received_at: float
    granted_at: float | None = None

    def seconds_since(self, moment: float | None) -> float | None:
        """Return the seconds since a moment; ``None`` if it has not come."""
        if moment is None:
            return None
        return round(time.monotonic() - moment, 4)


class LinkBody(BodyStream):
    """The body of a request that arrives in frames after its commit."""

    def __init__(
        self, link: FrameChannel, size: int, *, is_stated: bool = True
    ) -> None:
        """Create the body of a request that was committed.

        :param size: bytes of the whole body, or the most that it may have.
        :param is_stated: whether the body has exactly ``size`` bytes;
            otherwise an empty part ends it.
        """
        super().__init__(size, is_stated=is_stated)
        self._link = link

    async def _read_part(self) -> bytes:
        kind, content = await self._link.receive()
        if kind is not Kind.BODY_PART:
            raise ProtocolError(f'{kind} instead of a part of a body')
        return content


async def _receive_commit(link: FrameChannel, offer: Offer) -> Offer:
    """Return the offer with what was sent with the commit.

    A body that is under way may take until the deadline.

    :raises RefusalError: not run, if no commit arrives.
    """
    transfer = Transfer(
        _COMMIT_TIMEOUT_SECONDS,
        silence_seconds=_COMMIT_TIMEOUT_SECONDS,
        max_seconds=offer.seconds_left,
    )
    try:
        async with transfer.limit_time():
            with transfer.watch(link.channel):
                kind, content = await link.receive()
    except TimeoutError:
        raise RefusalError(Code.LINK_LOST) from None
    return _attach_stream(link, _complete_offer(offer, kind, content))


def _complete_offer(offer: Offer, kind: Kind, content: typing.Any) -> Offer:
    """Return an offer with what came with its commit.

    :raises ProtocolError: if the frame is no commit of this offer.
    """
    if kind is Kind.COMMIT and not offer.head_follows:
        return attrs.evolve(offer, body=content)
    if kind is Kind.REQUEST and offer.head_follows:
        return attrs.evolve(
            offer,
            method=content.method,
            target=content.target,
            fields=content.fields,
            body=content.body,
        )
    raise ProtocolError(f'{kind} instead of a commit')


def _attach_stream(link: FrameChannel, offer: Offer) -> Offer:
    """Return a committed offer with the body that follows in parts.

    :raises ProtocolError: if its size is not that of the offer.
    """
    if not offer.body_bytes:
        return offer
    text = offer.body.decode('ascii', 'replace')
    size = int(text) if text.isdecimal() else 0
    if not offer.body_bytes - MEBIBYTE < size <= offer.body_bytes:
        raise ProtocolError('body of another size than offered')
    stream = LinkBody(link, size, is_stated=not offer.body_unstated)
    return attrs.evolve(offer, body=b'', body_bytes=size, stream=stream)


async def _wait_for_close(link: FrameChannel) -> None:
    """Return when the sender has closed the connection."""
    await link.channel.wait_for_end()
