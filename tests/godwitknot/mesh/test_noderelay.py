"""Bodies of offered requests arrive over narrow links."""

import asyncio
import types

import pytest

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

    def release(self, reservation):
        self.released = True

    def current_load(self):
        return Load()

    def build_refusal(self, error, offer):
        return types.SimpleNamespace(error=error, avoid=0, load=Load())

    async def run(self, reservation):
        size = len(reservation.offer.body)
        return HttpResponse(200, [], str(size).encode())


def offer_over_narrow_link(log, sidecar, seconds_left):
    offer = make_offer(body=BODY, repeatable=False, seconds_left=seconds_left)

    async def scenario():
        address, link_address = reserve_addresses(2)
        link = FaultyLink(link_address, address)
        link.bytes_per_second = BYTES_PER_SECOND
        link.start()
        server = RelayServer(sidecar, None, log)
        listener = await listen(address, server.serve)
        try:
            return await RelayClient().run(link_address, 0.1, Exchange(offer))
        finally:
            listener.close()

    return asyncio.run(scenario())


def test_body_arrives_over_a_narrow_link(log):
    """Guards against bodies that are given up although data arrives."""
    response = offer_over_narrow_link(log, OpenSidecar(), 10)
    assert response.body == str(len(BODY)).encode()


def test_body_that_takes_too_long_frees_its_slot(log):
    """Guards against a slot held by a body that trickles in."""
    sidecar = OpenSidecar()
    with pytest.raises(RefusalError) as failure:
        offer_over_narrow_link(log, sidecar, 1.5)
    assert failure.value.code is Code.LINK_LOST
    assert sidecar.released
