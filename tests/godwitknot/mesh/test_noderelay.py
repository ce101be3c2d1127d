"""Bodies of offered requests arrive over narrow links."""

import asyncio
import types

from godwitknot.errors import ProtocolError
from godwitknot.mesh.channels import listen
from godwitknot.mesh.messages import Load
from godwitknot.mesh.model import HttpResponse
from godwitknot.mesh.noderelay import RelayServer
from godwitknot.mesh.relayclient import Exchange, RelayClient
from godwitknot.outcomes import Code, RefusalError
from standins.faultylink import FaultyLink
from standins.ports import reserve_addresses
from test_admissioncontrol import make_offer

# Takes 3 s on the link.
BODY = b'x' * 300_000
BYTES_PER_SECOND = 100_000


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
