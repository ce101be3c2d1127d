"""Changes reach all nodes, with little traffic between failure domains."""

import asyncio
import collections
import random

import attrs
import pytest
from test_peergossip import LoopbackRelay, make_member

from bench.gray.virtualtime import LoopClock, run_virtually
from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh import frames
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.model import ServerState
from godwitknot.mesh.peergossip import PeerGossip
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry

ZONES = tuple(f'z{number}' for number in range(8))
NODES = 236


class CountingRelay(LoopbackRelay):
    """Counts frames within and between failure domains."""

    def __init__(self):
        super().__init__()
        self.zones = {}
        self.counts = collections.Counter()

    async def call(self, address, frame, transfer):
        await asyncio.sleep(0.001)
        kind, rumor = frames.decode(frame)
        same = self.zones[rumor.sender] == self.zones[address]
        self.counts['same' if same else 'other'] += 1
        return frames.decode(self.nodes[address].handle(kind, rumor))


class Nodes:
    """Gossip of a fleet on one event loop; pushes only, no digests."""

    def __init__(self, placement, log, count=NODES):
        self.relay = CountingRelay()
        self.gossips = []
        self._tasks = []
        members = [
            make_member(number, ZONES[number % len(ZONES)])
            for number in range(1, count + 1)
        ]
        for number, member in enumerate(members):
            runtime = Runtime(
                LoopClock(), log, Telemetry(), random.Random(number)
            )
            directory = Directory(member)
            gossip = PeerGossip(
                directory,
                ConfigurationHolder(None, log),
                ServerSelector(placement, directory, None, runtime),
                CrashTracker(runtime.clock),
                self.relay,
                runtime,
            )
            directory.merge(members)
            self.relay.nodes[member.address] = gossip
            self.relay.zones[member.address] = member.zone
            gossip._push._members.clear()
            self._tasks.append(asyncio.ensure_future(gossip._push.run()))
            self.gossips.append(gossip)

    def knowing(self, member):
        """Return how many nodes have a record."""
        return sum(
            each._directory.find(member.address) == member
            for each in self.gossips
        )


@pytest.fixture
def play(placement, log):
    log.prepare()

    def run(scenario):
        async def main():
            nodes = Nodes(placement, log)
            await scenario(nodes)
            return nodes

        return run_virtually(main())

    return run


def test_change_reaches_nearly_all_nodes_at_once(play):
    """Guards against departures that are known only after digests."""

    async def scenario(nodes):
        directory = nodes.gossips[0]._directory
        directory.update_local_member(serving=False)
        await asyncio.sleep(1)
        known = nodes.knowing(directory.local_member)
        assert known >= NODES * 9 // 10

    play(scenario)


def test_departure_does_not_wait_behind_other_changes(play):
    """Guards against a departure that dies with the node that acknowledged it.

    The node had just forwarded other changes, and was killed 0.1 s later.
    """

    async def scenario(nodes):
        first, other = nodes.gossips[:2]
        other._directory.update_local_member(server_id='s-other')
        first._directory.merge([other._directory.local_member])
        await asyncio.sleep(0.05)
        first._directory.update_local_member(state=ServerState.DRAINING)
        await asyncio.sleep(0.05)
        assert nodes.knowing(first._directory.local_member) > 3

    play(scenario)


def test_change_crosses_domains_a_few_times(play):
    """Guards against traffic between domains that grows with the fleet.

    Each node that learned a change told it to another domain.
    """

    async def scenario(nodes):
        directory = nodes.gossips[0]._directory
        directory.update_local_member(serving=False)
        await asyncio.sleep(1)

    nodes = play(scenario)
    assert nodes.relay.counts['other'] == len(ZONES) - 1
    assert nodes.relay.counts['same'] <= 3 * NODES


def test_start_of_all_nodes_takes_few_rumors(play):
    """Guards against a storm of rumors when a large fleet starts.

    236 nodes sent 52,000 rumors in the first seconds.
    """

    async def scenario(nodes):
        for number, gossip in enumerate(nodes.gossips):
            await asyncio.sleep(0.3 / NODES)
            gossip._directory.update_local_member(server_id=f's{number}')
        await asyncio.sleep(4)
        changed = [each._directory.local_member for each in nodes.gossips]
        assert sum(map(nodes.knowing, changed)) > 0.9 * NODES * NODES

    nodes = play(scenario)
    assert nodes.relay.counts.total() < 60 * NODES


def test_domain_of_its_own_still_spreads_news(play):
    async def scenario(nodes):
        gossip = nodes.gossips[0]
        lonely = attrs.evolve(gossip._directory.local_member, zone='lonely')
        nodes.relay.zones[lonely.address] = 'lonely'
        gossip._directory.update_local_member(zone='lonely')
        await asyncio.sleep(1)
        assert nodes.knowing(gossip._directory.local_member) > NODES * 9 // 10

    play(scenario)
