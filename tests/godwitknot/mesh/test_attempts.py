"""Attempts at other nodes go on while frames are late."""

import asyncio
import contextlib
import random

import attrs
import pytest
from test_dispatcher import LOCAL_MEMBER, FakeSidecar

from godwitknot.clock import SystemClock
from godwitknot.errors import ConnectionCutError
from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.channels import listen
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.frames import (
    FrameChannel,
    encode_answer,
    encode_load,
    encode_refusal,
)
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.messages import Kind, Load, Refusal
from godwitknot.mesh.model import (
    HttpRequest,
    HttpResponse,
    Route,
    RouteKind,
    Share,
)
from godwitknot.mesh.relayclient import RelayClient
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.outcomes import Code, RefusalError
from godwitknot.units import Address

# Frames on a full link arrive later than the limit for the first frame.
LATE_SECONDS = 0.7
LOAD = Load(1, 0, 4)


class LatePeer:
    """A node whose frames arrive late, beside a server that runs requests.

    :ivar cut: requests whose sender closed the connection during the run.
    """

    def __init__(self, first_frame=Kind.GRANTED):
        self.first_frame = first_frame
        self.offers = []
        self.cut = []

    async def serve(self, channel):
        link = FrameChannel(channel)
        with contextlib.suppress(ConnectionCutError):
            while True:
                _, offer = await link.receive()
                self.offers.append(offer)
                await self._answer(link, offer)

    async def _answer(self, link, offer):
        ended = asyncio.ensure_future(link.channel.wait_for_end())
        await asyncio.wait((ended,), timeout=LATE_SECONDS)
        if ended.done():
            self.cut.append(offer.attempt_id)
        ended.cancel()
        link.send(encode_load(self.first_frame, LOAD))
        response = HttpResponse(200, [], b'done')
        link.send(encode_answer(response, LOAD))


class SilentPeer(LatePeer):
    """A node that is gone without closing its connections."""

    async def _answer(self, link, offer):
        await link.channel.wait_for_end()


class FullPeer(LatePeer):
    """A node whose server is full; requests that may wait get a slot soon."""

    async def _answer(self, link, offer):
        if offer.max_wait <= 0:
            error = RefusalError(Code.QUEUE_FULL, retry_after=0.1)
            link.send(encode_refusal(Refusal(error, 0, LOAD)))
            return
        link.send(encode_load(Kind.QUEUED, LOAD))
        await asyncio.sleep(0.1)
        link.send(encode_load(Kind.GRANTED, LOAD))
        response = HttpResponse(200, [], b'done')
        link.send(encode_answer(response, LOAD))


@pytest.fixture
def make_dispatcher(placement, log):
    def make(addresses):
        clock = SystemClock()
        runtime = Runtime(clock, log, Telemetry(), random.Random(1))
        directory = Directory(LOCAL_MEMBER)
        directory.merge(
            attrs.evolve(
                LOCAL_MEMBER,
                node=f'node-{address.port}',
                address=address,
                service='booking',
                server_id=f's{address.port}',
                # The first one is the nearest.
                zone='z2' if index else 'z1',
            )
            for index, address in enumerate(addresses)
        )
        server = LocalServer(placement, log, 1)
        admission = AdmissionControl(server, None, None, Shutdown(clock), clock)
        selector = ServerSelector(placement, directory, admission, runtime)
        sidecar = FakeSidecar(admission)
        shutdown = Shutdown(runtime.clock)
        return Dispatcher(
            placement, selector, sidecar, RelayClient(), shutdown, runtime
        )

    return make


def make_context(kind, attempts=2):
    now = SystemClock().now()
    route = Route(
        'r',
        'h',
        '/',
        kind,
        (Share('booking', 1),),
        attempts=attempts,
        timeout=4,
        objective=3,
        priority=1,
    )
    lookup = HttpRequest('GET', '/', [], b'')
    return RequestContext(
        'a1', lookup, route, 'booking', now, now + 4, fingerprint=1
    )


async def dispatch(make_dispatcher, peers, context):
    listeners = [
        await listen(Address('127.0.0.1', 0), peer.serve) for peer in peers
    ]
    addresses = [
        Address(*listener.sockets[0].getsockname()) for listener in listeners
    ]
    try:
        return await make_dispatcher(addresses).dispatch(context)
    finally:
        for listener in listeners:
            listener.close()


@pytest.mark.parametrize('first_frame', [Kind.GRANTED, Kind.QUEUED])
@pytest.mark.parametrize('attempts', [1, 2])
def test_late_first_frame_ends_no_run(make_dispatcher, first_frame, attempts):
    """Guards against giving up a run because a frame is late."""
    peers = [LatePeer(first_frame) for _ in range(2)]
    context = make_context(RouteKind.IDEMPOTENT, attempts)
    response = asyncio.run(dispatch(make_dispatcher, peers, context))
    assert response.status == 200
    assert [peer.cut for peer in peers] == [[], []]
    assert sum(len(peer.offers) for peer in peers) == attempts


def test_request_beside_a_silent_node_joins_a_queue(make_dispatcher):
    """Guards against a request that waits for a silent node to its deadline."""
    peers = [SilentPeer(), FullPeer(), FullPeer()]
    context = make_context(RouteKind.IDEMPOTENT)
    response = asyncio.run(dispatch(make_dispatcher, peers, context))
    assert response.status == 200
    assert SystemClock().now() - context.arrived < context.route.objective / 2
