"""Gossip reaches all nodes, mostly those of the same failure domain."""

import asyncio
import collections
import random

import attrs
import pytest

from godwitknot.accounts.freshness import Freshness
from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh import frames
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.messages import Digest, Kind
from godwitknot.mesh.model import ServerState
from godwitknot.mesh.peergossip import PeerGossip
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.mesh.versioncomparison import VersionComparison
from godwitknot.units import Address
from test_memberdirectory import LOCAL


def make_member(number, zone='z1', **changes):
    return attrs.evolve(
        LOCAL,
        node=f'node-{number}',
        address=Address(f'10.0.1.{number}', 1),
        zone=zone,
        **changes,
    )


class LoopbackRelay:
    """Delivers frames directly to the gossip of other nodes."""

    def __init__(self):
        self.nodes = {}
        self.sent = []
        self.closed = []

    async def call(self, address, frame, timeout):
        self.sent.append((address, len(frame)))
        receiver = self.nodes.get(address)
        if receiver is None:
            return None
        return frames.decode(receiver.handle(*frames.decode(frame)))

    def remove_closed(self):
        closed = list(self.closed)
        self.closed.clear()
        return closed


@pytest.fixture
def relay():
    return LoopbackRelay()


@pytest.fixture
def build(relay, placement, clock, log):
    def build_one(local_member, known=()):
        runtime = Runtime(clock, log, Telemetry(), random.Random(1))
        directory = Directory(local_member)
        directory.merge(known)
        gossip = PeerGossip(
            directory,
            ConfigurationHolder(None, log),
            ServerSelector(placement, directory, None, runtime),
            CrashTracker(clock),
            relay,
            runtime,
        )
        relay.nodes[local_member.address] = gossip
        return gossip

    return build_one


def test_comparison_evens_out_both_sides(build):
    """Guards against differences that remain after a digest exchange."""

    async def scenario():
        local, peer = make_member(1), make_member(2)
        known = [make_member(number) for number in range(3, 90)]
        first = build(local, [*known, make_member(95)])
        second = build(peer, [*known, make_member(96)])
        await first._exchange(peer.address)
        return first._directory, second._directory

    first, second = asyncio.run(scenario())
    assert first.hash_buckets() == second.hash_buckets()
    assert len(first.members) == 91


@pytest.fixture
def strict_nodes(build, clock, placement):
    """Eight nodes that started 6 s ago and have not reached the store."""
    placement.bounds = attrs.evolve(
        placement.bounds, strict_revoke=True, revoke_seconds=5
    )
    members = [make_member(number) for number in range(8)]
    nodes = [build(member, members) for member in members]
    for node in nodes:
        node.comparison = VersionComparison(
            node._directory, Freshness(clock), placement
        )
    clock.advance(6)
    return nodes


@pytest.mark.parametrize(
    ('store_age', 'is_strict', 'is_out'),
    [(4, True, False), (6, True, True), (4, False, True)],
)
def test_strict_node_asks_others_when_they_reached_the_store(
    strict_nodes, clock, placement, store_age, is_strict, is_out
):
    """Guards against nodes that are cut off together and go on.

    Others do not ask. A reply that tells only this makes no node ready.
    """
    placement.bounds = attrs.evolve(placement.bounds, strict_revoke=is_strict)
    node, peer = strict_nodes[:2]
    peer.comparison.freshness.record_store(connected=True)
    clock.advance(store_age)
    asyncio.run(node._exchange(make_member(1).address))
    assert not node.synchronized
    assert node.comparison.freshness.is_out_of_touch(5) is is_out


def test_probes_find_a_majority_without_the_store(strict_nodes, relay):
    """Guards against a store outage that stops a fleet of strict nodes."""

    async def lose_store():
        strict_nodes[0].handle_store(connected=False)
        await asyncio.gather(*strict_nodes[0]._tasks)

    freshness = strict_nodes[0].comparison.freshness
    assert freshness.is_out_of_touch(5)
    asyncio.run(lose_store())
    assert not freshness.is_out_of_touch(5)
    assert len(relay.sent) == 5
    assert max(size for _, size in relay.sent) < 100


def test_comparison_sends_little_beside_the_difference(build, relay):
    """Guards against a digest exchange that sends all records."""

    async def scenario():
        local, peer = make_member(1), make_member(2)
        known = [make_member(number) for number in range(3, 203)]
        first = build(local, [*known, peer])
        build(peer, [*known, local])
        changed = attrs.evolve(known[0], revision=1)
        first._directory.merge([changed])
        await first._exchange(peer.address)

    asyncio.run(scenario())
    all_records = 200 * len(frames.encode_member(LOCAL))
    assert sum(size for _, size in relay.sent) < all_records / 8


def test_restarted_node_learns_that_its_server_left(build):
    """Guards against a departure that only other nodes still know.

    A restore of the store dropped it, and the node restarted.
    """

    async def scenario():
        departed = attrs.evolve(make_member(1), state=ServerState.GONE)
        local = attrs.evolve(make_member(1), incarnation=101)
        peer = make_member(2)
        restarted = build(local, [peer])
        found = []
        restarted.previous_record_listeners.append(found.append)
        other = build(peer, [departed])
        other._directory.merge([local])
        await restarted._exchange(peer.address)
        assert found == [departed]
        # The next exchange tells the other node that this one knows it.
        restarted._directory.update_local_member(state=ServerState.GONE)
        await restarted._exchange(peer.address)
        found.clear()
        await restarted._exchange(peer.address)
        assert not found

    asyncio.run(scenario())


def test_digests_go_mostly_to_the_own_region(build):
    """Guards against avoidable traffic between regions, which is dear."""
    same = [make_member(number) for number in range(2, 8)]
    near = [make_member(number, 'z2') for number in range(10, 16)]
    far = [make_member(number, 'z9', region='r9') for number in range(20, 60)]
    gossip = build(make_member(1), [*same, *near, *far])
    drawn = [gossip._draw_digest_peer() for _ in range(400)]
    zones = collections.Counter(peer.zone for peer in drawn)
    assert zones['z1'] > 250
    assert 40 < zones['z2'] < 120
    assert 5 < zones['z9'] < 40


def test_only_node_of_a_region_compares_with_others(build):
    far = [make_member(number, 'z9', region='r9') for number in range(20, 25)]
    gossip = build(make_member(1), far)
    assert gossip._draw_digest_peer() in far
    assert build(make_member(1))._draw_digest_peer() is None


def test_stopped_node_is_compared_with_but_gets_no_news(build):
    """Guards against a restarted node that nobody contacts.

    It may have no records while the store is down.
    """
    stopped = make_member(2, serving=False)
    gossip = build(make_member(1), [stopped])
    assert gossip._peers.list_serving() == []
    peers = gossip._directory.list_peers()
    assert gossip._peers.draw(peers, 1, 0) == [stopped]


def test_comparison_of_equals_is_answered_without_records(build):
    async def scenario():
        local, peer = make_member(1), make_member(2)
        first = build(local, [peer])
        second = build(peer, [local])
        digest = Digest(local.address, first._directory.hash_buckets(), 0)
        return frames.decode(second.handle(Kind.DIGEST, digest))

    assert asyncio.run(scenario()) == (Kind.SAME, None)


def test_node_that_closed_its_connections_is_asked_until_it_answers(
    build, relay, clock
):
    """Guards against a restarted node that waits for a random digest.

    While the store is down it has no records, and took up to 5 s to be ready.
    """
    others = [make_member(number) for number in range(2, 50)]
    gossip = build(make_member(1), others)
    restarted = others[30]
    relay.closed = [restarted.address]
    assert gossip._list_nodes_to_probe() == [restarted.address]
    assert gossip._list_nodes_to_probe() == [restarted.address]

    asyncio.run(gossip._exchange(restarted.address))
    assert gossip._list_nodes_to_probe() == [restarted.address]

    build(restarted, [])
    asyncio.run(gossip._exchange(restarted.address))
    assert gossip._list_nodes_to_probe() == []


def test_node_that_stays_away_is_not_asked_for_long(build, relay, clock):
    """Guards against endless probes of an instance that was replaced."""
    gone = make_member(2)
    gossip = build(make_member(1), [gone])
    relay.closed = [gone.address]
    assert gossip._list_nodes_to_probe() == [gone.address]
    clock.advance(31)
    assert gossip._list_nodes_to_probe() == []


def test_node_of_another_domain_is_not_asked_at_once(build, relay):
    """Guards against probes of a restarted node by the whole fleet."""
    remote = make_member(2, 'z2')
    same = make_member(3)
    gossip = build(make_member(1), [remote, same])
    relay.closed = [remote.address]
    assert gossip._list_nodes_to_probe() == []


def test_odd_record_of_a_peer_is_logged_once(build, logged):
    """Guards against a log line with each digest of an earlier version."""
    local, peer, odd = make_member(1), make_member(2), make_member(3)
    odd = attrs.evolve(odd, address=Address('10.0.1.3', 0))

    async def scenario():
        first = build(local, [peer])
        build(peer, [make_member(4), odd])
        for _ in range(3):
            await first._exchange(peer.address)
        return first._directory

    directory = asyncio.run(scenario())
    assert directory.find(Address('10.0.1.4', 1)) is not None
    assert directory.find(odd.address) is None
    assert logged().count('row unreadable') == 1
