"""A node fetches a newer configuration from one peer at a time."""

import asyncio
import random

import pytest

from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh import frames
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.messages import Digest, Kind, Rumor
from godwitknot.mesh.peergossip import PeerGossip
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry
from test_peergossip import LoopbackRelay, make_member
from test_storesync import Configuration, NumberDialect

PEER_COUNT = 6
# Longer than the delay before a fetch, so that all of them would overlap.
REPLY_SECONDS = 0.3
SETTLED_SECONDS = 2


class SlowRelay(LoopbackRelay):
    """Delivers each frame after a delay."""

    async def call(self, address, frame, transfer):
        await asyncio.sleep(REPLY_SECONDS)
        return await super().call(address, frame, transfer)


class Peer:
    """The gossip of a node and what it counts."""

    def __init__(self, gossip, holder, telemetry):
        self.gossip = gossip
        self.holder = holder
        self._telemetry = telemetry

    @property
    def copies_sent(self):
        return self._read('configuration_copies_sent')

    @property
    def bytes_sent(self):
        return self._read('configuration_bytes_sent')

    def _read(self, name):
        for line in self._telemetry.render().decode().splitlines():
            if line.startswith(f'godwitknot_{name}_total '):
                return float(line.split()[1])
        return 0


@pytest.fixture
def relay():
    return SlowRelay()


@pytest.fixture
def build(relay, placement, clock, log):
    def build_one(number, version):
        telemetry = Telemetry()
        runtime = Runtime(clock, log, telemetry, random.Random(1))
        directory = Directory(make_member(number))
        holder = ConfigurationHolder(NumberDialect(), log)
        if version:
            holder.adopt(str(version).encode(), 'store')
        gossip = PeerGossip(
            directory,
            holder,
            ServerSelector(placement, directory, None, runtime),
            CrashTracker(clock),
            relay,
            runtime,
        )
        relay.nodes[make_member(number).address] = gossip
        return Peer(gossip, holder, telemetry)

    return build_one


def announce(node, number, version):
    rumor = Rumor(make_member(number).address, (), (), version)
    node.gossip.handle(Kind.RUMOR, rumor)


def make_digest(node, number, **fields):
    buckets = node.gossip._directory.hash_buckets()
    return Digest(make_member(number).address, buckets, **fields)


def test_several_announcements_lead_to_one_copy(build):
    """Guards against copies of one version from several peers at once.

    On a narrow link they delayed each other until all were given up.
    """
    numbers = range(2, 2 + PEER_COUNT)

    async def scenario():
        node = build(1, 5)
        peers = [build(number, 9) for number in numbers]
        for number in numbers:
            announce(node, number, 9)
            digest = make_digest(node, number, version=9)
            node.gossip.handle(Kind.DIGEST, digest)
        await asyncio.sleep(SETTLED_SECONDS)
        return node, peers

    node, peers = asyncio.run(scenario())
    assert node.holder.version == 9
    assert sum(peer.copies_sent for peer in peers) == 1


def test_digests_during_a_fetch_get_no_copy(build):
    """Guards against a second copy in the reply to a periodic digest."""

    async def scenario():
        node, first, second = build(1, 5), build(2, 9), build(3, 9)
        announce(node, 2, 9)
        await asyncio.sleep(REPLY_SECONDS)
        await node.gossip._exchange(make_member(3).address)
        await asyncio.sleep(SETTLED_SECONDS)
        return node, first, second

    node, first, second = asyncio.run(scenario())
    assert node.holder.version == 9
    assert first.copies_sent + second.copies_sent == 1


def test_next_announcer_is_asked_after_a_failed_fetch(build):
    """Guards against a node that waits for a peer that is gone."""

    async def scenario():
        node, peer = build(1, 5), build(3, 9)
        announce(node, 2, 9)
        announce(node, 3, 9)
        await asyncio.sleep(SETTLED_SECONDS)
        return node, peer

    node, peer = asyncio.run(scenario())
    assert node.holder.version == 9
    assert peer.copies_sent == 1


def test_version_that_is_announced_during_a_fetch_is_fetched(build):
    """Guards against announcements that are dropped during a fetch."""

    async def scenario():
        node = build(1, 5)
        build(2, 9)
        build(3, 11)
        announce(node, 2, 9)
        await asyncio.sleep(0.5 + REPLY_SECONDS / 2)
        announce(node, 3, 11)
        await asyncio.sleep(SETTLED_SECONDS)
        return node

    assert asyncio.run(scenario()).holder.version == 11


def test_digest_alone_leads_to_a_copy(build):
    """Guards against a node that gets no rumor and stays behind."""

    async def scenario():
        node, peer = build(1, 5), build(2, 9)
        await node.gossip._exchange(make_member(2).address)
        await asyncio.sleep(SETTLED_SECONDS)
        return node, peer

    node, peer = asyncio.run(scenario())
    assert node.holder.version == 9
    assert peer.copies_sent == 1


def test_copy_that_cannot_be_read_is_not_asked_for_again_at_once(build):
    """Guards against a loop of fetches from a peer of a later release."""

    async def scenario():
        node, peer = build(1, 0), build(2, 9)
        peer.holder.current = Configuration(9, b'unknown format')
        announce(node, 2, 9)
        await asyncio.sleep(SETTLED_SECONDS)
        return peer

    assert asyncio.run(scenario()).copies_sent == 1


def test_nodes_of_this_release_exchange_compressed_copies(build, relay):
    """Guards against a negotiation that always ends with a plain copy."""
    source = b'9'.rjust(10_000)

    async def scenario():
        node, peer = build(1, 5), build(2, 0)
        peer.holder.adopt(source, 'store')
        announce(node, 2, 9)
        await asyncio.sleep(SETTLED_SECONDS)
        return node, peer

    node, peer = asyncio.run(scenario())
    assert node.holder.current.source == source
    assert 0 < peer.bytes_sent < len(source) / 10


def test_digest_of_an_older_node_gets_a_copy(build):
    """Guards against older nodes that get no configuration from newer ones."""

    async def scenario():
        peer = build(2, 9)
        digest = make_digest(peer, 1, version=5)
        return frames.decode(peer.gossip.handle(Kind.DIGEST, digest))

    kind, reply = asyncio.run(scenario())
    assert kind is Kind.KNOWLEDGE
    assert reply.configuration == b'9'
