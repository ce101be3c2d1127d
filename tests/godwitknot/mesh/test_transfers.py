"""Transfers end after a time without data, or after their longest time."""

import asyncio
import random
import time

import pytest

from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh.channels import listen
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.messages import Kind, Rumor
from godwitknot.mesh.model import HttpRequest
from godwitknot.mesh.noderelay import RelayServer
from godwitknot.mesh.relayclient import RelayClient
from godwitknot.mesh.peergossip import PeerGossip
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.mesh.transfers import Transfer
from godwitknot.units import parse_address
from standins.faultylink import FaultyLink
from standins.meshserver import MeshServer
from standins.ports import reserve_addresses
from test_peergossip import make_member
from test_storesync import Configuration

# Random bytes, so that the copy is not smaller when it is compressed.
SOURCE = b'9 %s' % random.Random(1).randbytes(300_000)
BYTES_PER_SECOND = 100_000


class HeadedDialect:
    """Reads a configuration that begins with its version."""

    def read_configuration(self, source):
        return Configuration(int(source.split(b' ', 1)[0]), source)


@pytest.fixture
def endless_server():
    """A server whose health check never ends."""
    server = MeshServer('i-1', 'booking')
    server.faults.endless_health = True
    server.faults.endless = 'body-of-length'
    yield parse_address(server.listen_address)
    server.stop()


@pytest.fixture
def build(placement, clock, log):
    def build_one(address, version):
        runtime = Runtime(clock, log, Telemetry(), random.Random(1))
        directory = Directory(make_member(1))
        directory.update_local_member(address=address)
        holder = ConfigurationHolder(HeadedDialect(), log)
        holder.adopt(version, 'store')
        gossip = PeerGossip(
            directory,
            holder,
            ServerSelector(placement, directory, None, runtime),
            CrashTracker(clock),
            RelayClient(),
            runtime,
        )
        return gossip, holder

    return build_one


def test_copy_arrives_over_a_narrow_link(build, log):
    """Guards against copies that are given up although data arrives.

    On a full link, copies between nodes were given up after 1 s and began
    again from the start.
    """
    node_address, address, link_address = reserve_addresses(3)
    link = FaultyLink(link_address, address)
    link.bytes_per_second = BYTES_PER_SECOND
    link.start()

    async def scenario():
        node, holder = build(node_address, b'5 ')
        peer, _ = build(address, SOURCE)
        listener = await listen(
            address, RelayServer(None, peer.handle, log).serve
        )
        node.handle(Kind.RUMOR, Rumor(link_address, (), (), 9))
        adopted = asyncio.Event()
        holder.listeners.append(adopted.set)
        async with asyncio.timeout(2 * len(SOURCE) / BYTES_PER_SECOND):
            await adopted.wait()
        listener.close()
        return holder

    assert asyncio.run(scenario()).current.source == SOURCE


def test_trickle_ends(endless_server):
    """Guards against a peer that holds a node with a byte now and then."""
    link = FaultyLink(reserve_addresses(1)[0], endless_server)
    link.bytes_per_second = 5000
    link.start()
    transfer = Transfer(0.5, silence_seconds=0.5, max_seconds=1.5)
    http_request = HttpRequest('GET', '/health', [], b'')
    started = time.monotonic()
    with pytest.raises(TimeoutError):
        asyncio.run(HttpClient(1).fetch(link.address, http_request, transfer))
    assert 3 <= 2 * (time.monotonic() - started) < 6
    assert transfer.received_bytes > 5000


def test_response_that_falls_silent_ends(endless_server):
    """Guards against the longest time for a peer that has gone."""
    link = FaultyLink(reserve_addresses(1)[0], endless_server)
    link.bytes_per_second = 5000
    link.start()
    transfer = Transfer(0.5, silence_seconds=0.5, max_seconds=30)
    http_request = HttpRequest('GET', '/health', [], b'')

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.call_later(1, setattr, link, 'cut_backward', True)
        await HttpClient(1).fetch(link.address, http_request, transfer)

    started = time.monotonic()
    with pytest.raises(TimeoutError):
        asyncio.run(scenario())
    assert 1 < time.monotonic() - started < 3
