"""News reaches other nodes, mostly those of the own failure domain."""

import asyncio
import random

import attrs
import pytest
from test_memberdirectory import OWN

from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh import frames
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.messages import Digest, Kind
from godwitknot.mesh.peergossip import PeerGossip
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.units import Address


def make_member(number, zone='z1', **changes):
    return attrs.evolve(
        OWN,
        node=f'node-{number}',
        address=Address(f'10.0.1.{number}', 1),
        zone=zone,
        **changes,
    )


class Wire:
    """Hands frames of one spreader to the others at once."""

    def __init__(self):
        self.spreaders = {}
        self.told = []
        self.closed = []

    async def call(self, address, frame, timeout):
        self.told.append((address, len(frame)))
        other = self.spreaders.get(address)
        if other is None:
            return None
        return frames.decode(other.handle(*frames.decode(frame)))

    def remove_closed(self):
        closed = list(self.closed)
        self.closed.clear()
        return closed


@pytest.fixture
def wire():
    return Wire()


@pytest.fixture
def build(wire, placement, clock, log):
    def build_one(own, known=()):
        runtime = Runtime(clock, log, Telemetry(), random.Random(1))
        directory = Directory(own)
        directory.merge(known)
        spreader = PeerGossip(
            directory,
            ConfigurationHolder(None, log),
            ServerSelector(placement, directory, None, runtime),
            CrashTracker(clock),
            wire,
            runtime,
        )
        wire.spreaders[own.address] = spreader
        return spreader

    return build_one


def test_comparison_evens_out_both_sides(build):
    """Guards against news that reach only one of two nodes."""

    async def scenario():
        here, there = make_member(1), make_member(2)
        known = [make_member(number) for number in range(3, 90)]
        first = build(here, [*known, make_member(95)])
        second = build(there, [*known, make_member(96)])
        await first._exchange(there.address)
        return first._directory, second._directory

    first, second = asyncio.run(scenario())
    assert first.hash_buckets() == second.hash_buckets()
    assert len(first.members) == 91


def test_comparison_sends_little_beside_the_difference(build, wire):
    """Guards against an exchange that sends the whole fleet."""

    async def scenario():
        here, there = make_member(1), make_member(2)
        known = [make_member(number) for number in range(3, 203)]
        first = build(here, [*known, there])
        build(there, [*known, here])
        changed = attrs.evolve(known[0], revision=1)
        first._directory.merge([changed])
        await first._exchange(there.address)

    asyncio.run(scenario())
    whole = 200 * len(frames.encode_member(OWN))
    assert sum(size for _, size in wire.told) < whole / 8


def test_news_go_mostly_to_the_own_failure_domain(build):
    """Bytes between failure domains are priced."""
    near = [make_member(number) for number in range(2, 10)]
    far = [make_member(number, 'z2') for number in range(10, 40)]
    spreader = build(make_member(1), [*near, *far])
    drawn = spreader._sample(spreader._listening(), 3, 1)
    assert [each.zone for each in drawn] == ['z1', 'z1', 'z1', 'z2']


def test_domain_of_its_own_still_spreads_news(build):
    far = [make_member(number, 'z2') for number in range(10, 40)]
    spreader = build(make_member(1), far)
    assert len(spreader._sample(spreader._listening(), 3, 1)) == 4


def test_stopped_node_is_compared_with_but_gets_no_news(build):
    """It may be back, know nobody, and the store may be down."""
    stopped = make_member(2, serving=False)
    spreader = build(make_member(1), [stopped])
    assert spreader._listening() == []
    assert spreader._sample(spreader._directory.list_peers(), 1, 0) == [stopped]


def test_comparison_of_equals_is_answered_without_records(build):
    async def scenario():
        here, there = make_member(1), make_member(2)
        first = build(here, [there])
        second = build(there, [here])
        digest = Digest(here.address, first._directory.hash_buckets(), 0)
        return frames.decode(second.handle(Kind.DIGEST, digest))

    assert asyncio.run(scenario()) == (Kind.SAME, None)


def test_node_that_closed_its_connections_is_asked_until_it_answers(
    build, wire, clock
):
    """Guards against a restarted node that waits to be drawn by chance.

    While the store is away it knows nobody, and took up to 5 s to be ready.
    """
    others = [make_member(number) for number in range(2, 50)]
    spreader = build(make_member(1), others)
    restarted = others[30]
    wire.closed = [restarted.address]
    assert spreader._list_nodes_to_ask() == [restarted.address]
    assert spreader._list_nodes_to_ask() == [restarted.address]

    asyncio.run(spreader._exchange(restarted.address))
    assert spreader._list_nodes_to_ask() == [restarted.address]

    build(restarted, [])
    asyncio.run(spreader._exchange(restarted.address))
    assert spreader._list_nodes_to_ask() == []


def test_node_that_stays_away_is_not_asked_for_long(build, wire, clock):
    """A machine that was replaced never answers."""
    gone = make_member(2)
    spreader = build(make_member(1), [gone])
    wire.closed = [gone.address]
    assert spreader._list_nodes_to_ask() == [gone.address]
    clock.advance(31)
    assert spreader._list_nodes_to_ask() == []


def test_node_of_another_domain_is_not_asked_at_once(build, wire):
    """Each node of the fleet would send it what all others send too."""
    far = make_member(2, 'z2')
    near = make_member(3)
    spreader = build(make_member(1), [far, near])
    wire.closed = [far.address]
    assert spreader._list_nodes_to_ask() == []
