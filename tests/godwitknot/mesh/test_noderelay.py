"""Bodies of offered requests arrive over narrow links."""

import asyncio
import types

from godwitknot.errors import ProtocolError
from godwitknot.memory.ledger import Ledger
from godwitknot.mesh.bodystream import BodyStream
from godwitknot.mesh import frames
from godwitknot.mesh.channels import listen, open_channel
from godwitknot.mesh.messages import Load, describe_stream
from godwitknot.mesh.model import HttpResponse
from godwitknot.mesh.noderelay import RelayServer
from godwitknot.mesh.relayclient import Exchange, RelayClient
from godwitknot.outcomes import Code, Outcome, RefusalError
from standins.faultylink import FaultyLink
from standins.ports import reserve_addresses
from test_admissioncontrol import make_offer

# Takes 3 s on the link.
BODY = b'x' * 300_000
BYTES_PER_SECOND = 100_000
LARGE_BYTES = 33554432


class OpenSidecar:
    """Admits all requests and answers with the size of their bodies."""

    def __init__(self):
        self.admission = self
        self.released = False

    async def admit(self, offer, notify):
        return types.SimpleNamespace(offer=offer)

    def start_run(self, reservation):
        """Keeps no times."""

    def release(self, reservation):
        self.released = True

    def current_load(self):
        return Load()

    def build_refusal(self, error, offer):
        return types.SimpleNamespace(error=error, avoid=0, load=Load())

    async def run(self, reservation):
        size = len(reservation.offer.body)
        return HttpResponse(200, [], str(size).encode())


def refuse_gossip(kind, content):
    raise ProtocolError(f'unexpected {kind}')


async def run_offer(client, address, offer):
    """Return the response or the refusal."""
    try:
        return await client.run(address, 0.1, Exchange(offer))
    except RefusalError as refusal:
        return refusal


def offer_over_narrow_link(log, sidecar, *offers):
    """Send offers, one after the other, over one narrow link."""

    async def scenario():
        address, link_address = reserve_addresses(2)
        link = FaultyLink(link_address, address)
        link.bytes_per_second = BYTES_PER_SECOND
        link.start()
        server = RelayServer(sidecar, refuse_gossip, log)
        listener = await listen(address, server.serve)
        client = RelayClient()
        try:
            return [
                await run_offer(client, link_address, offer) for offer in offers
            ]
        finally:
            listener.close()

    return asyncio.run(scenario())


class LargeSidecar(OpenSidecar):
    """Answers with far more than the kernel keeps for a connection."""

    async def run(self, reservation):
        return HttpResponse(200, [], bytes(LARGE_BYTES))


def test_answer_is_charged_while_the_other_node_reads_slowly(log):
    """Guards against answers that nobody counts once they are read."""

    async def leave_unread():
        ledger = Ledger()
        server = RelayServer(LargeSidecar(), refuse_gossip, log, ledger.nodes)
        address = reserve_addresses(1)[0]
        listener = await listen(address, server.serve, ledger.nodes)
        link = frames.FrameChannel(await open_channel(address, 1))
        link.send(frames.encode_offer(make_offer()))
        await asyncio.sleep(0.5)
        held = ledger.held
        link.abort()
        while ledger.held or server.active:
            await asyncio.sleep(0.01)
        listener.close()
        return held

    # The answer itself, and its frame, of which the kernel has a part.
    assert asyncio.run(leave_unread()) > 1.5 * LARGE_BYTES


def make_booking(seconds_left):
    return make_offer(body=BODY, repeatable=False, seconds_left=seconds_left)


def test_body_arrives_over_a_narrow_link(log):
    """Guards against bodies that are given up although data arrives."""
    responses = offer_over_narrow_link(log, OpenSidecar(), make_booking(10))
    assert responses[0].body == str(len(BODY)).encode()


def test_body_that_takes_too_long_frees_its_slot(log):
    """Guards against a slot held by a body that trickles in."""
    sidecar = OpenSidecar()
    refusals = offer_over_narrow_link(log, sidecar, make_booking(1.5))
    assert refusals[0].code is Code.LINK_LOST
    assert sidecar.released


def test_connection_with_an_unsent_body_is_not_reused(log):
    """Guards against a request that is sent behind a body that was refused."""
    refusal, response = offer_over_narrow_link(
        log, OpenSidecar(), make_booking(1.5), make_offer(seconds_left=5)
    )
    assert refusal.code is Code.LINK_LOST
    assert response.status == 200


class PartedBody(BodyStream):
    """A body that arrives in parts of 50,000 bytes.

    :ivar whole_parts: parts until its sender is gone.
    """

    whole_parts = 10

    async def _read_part(self):
        self.whole_parts -= 1
        if self.whole_parts < 0:
            raise ProtocolError('cut')
        return BODY[:50000]


class ReadingSidecar(OpenSidecar):
    """Reads the body in parts."""

    async def run(self, reservation):
        size = len(await reservation.offer.stream.gather())
        return HttpResponse(200, [], str(size).encode())


class HastySidecar(OpenSidecar):
    """Answers before the end of the body."""

    async def run(self, reservation):
        await reservation.offer.stream.read()
        return HttpResponse(413, [], b'too large')


class ChunkedBody(PartedBody):
    """A body of unstated length."""

    async def _read_part(self):
        return b'' if self.received >= len(BODY) else BODY[:50000]


def make_chunked_upload(max_bytes):
    stream = ChunkedBody(max_bytes, is_stated=False)
    return make_offer(
        repeatable=False, seconds_left=10, **describe_stream(stream)
    )


def test_body_of_unstated_length_follows_in_parts(log):
    """Guards against bodies without their end, and without their limit."""
    upload = make_chunked_upload(len(BODY) + 1)
    responses = offer_over_narrow_link(log, ReadingSidecar(), upload)
    assert responses[0].body == str(len(BODY)).encode()
    upload = make_chunked_upload(len(BODY) - 1)
    refusal = offer_over_narrow_link(log, ReadingSidecar(), upload)[0]
    assert refusal.code is Code.BODY_TOO_LARGE
    assert refusal.outcome is Outcome.MAY_HAVE_RUN


def make_upload(seconds_left=10, whole_parts=10):
    stream = PartedBody(len(BODY))
    stream.whole_parts = whole_parts
    return make_offer(
        body_bytes=len(BODY),
        stream=stream,
        repeatable=False,
        seconds_left=seconds_left,
    )


def test_large_body_follows_in_parts(log):
    """Guards against bodies that a hop holds as a whole."""
    responses = offer_over_narrow_link(log, ReadingSidecar(), make_upload())
    assert responses[0].body == str(len(BODY)).encode()


def test_answer_before_the_end_of_the_body_arrives(log):
    """Guards against waiting for parts that nobody needs."""
    response = offer_over_narrow_link(log, HastySidecar(), make_upload())[0]
    assert response.status == 413


def test_body_that_breaks_off_may_have_run(log):
    """Guards against a claim of not run after a part was passed on."""
    refusal = offer_over_narrow_link(
        log, ReadingSidecar(), make_upload(whole_parts=2)
    )[0]
    assert refusal.code is Code.CONNECTION_LOST
    assert refusal.outcome is Outcome.MAY_HAVE_RUN
