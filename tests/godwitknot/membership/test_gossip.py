"""Control plane of a few nodes over UDP on the loopback address."""

import random

import attrs
import pytest
from fleet import Node, make_record, make_server, wait_for

from godwitknot.clock import ManualClock
from godwitknot.control.bytebudget import ByteBudget
from godwitknot.control.messages import (
    Clearance,
    CrashReport,
    Heartbeat,
    RecordChange,
    Rumors,
)
from godwitknot.control.records import NodeState, ServerState
from godwitknot.errors import SupersededError
from godwitknot.membership.links import LinkTable
from godwitknot.membership.rumors import FAN_OUT, ConfigNotice, RumorBuffer
from godwitknot.membership.rumorsender import OwnChanges

REPORTS = (
    CrashReport('booking', 'n0', 's0', 1, (11, 12)),
    Clearance('booking', 11),
)


class Fleet:
    """Some nodes that know each other."""

    def __init__(self, size):
        self.nodes = []
        for index in range(size):
            servers = [make_server(f's{number}') for number in range(2)]
            self.add(f'n{index}', servers)
        wait_for(self.is_equal)

    def add(self, name, servers=(), **changes):
        node = Node(name, servers, **changes)
        self.nodes.append(node)
        return node.start(*self.nodes[:1])

    def is_equal(self):
        hashes = {node.directory.hash for node in self.nodes}
        counts = {node.directory.count for node in self.nodes}
        return len(hashes) == 1 and counts == {len(self.nodes)}

    def stop(self):
        for node in self.nodes:
            node.stop()

    def all_see(self, node_id, *, reachable):
        return all(
            node.directory.is_reachable(node_id) is reachable
            for node in self.nodes
            if node.name != node_id
        )


@pytest.fixture
def fleet():
    made = Fleet(6)
    yield made
    made.stop()


def test_nodes_join_through_a_seed_and_leave(fleet):
    """Guards against a node that is known only to its seed."""
    late = fleet.add('late', [make_server('x', 'archive')])
    wait_for(fleet.is_equal)
    assert late.directory.servers('booking')
    late.directory.update_local_record(state=NodeState.GONE)
    fleet.nodes.remove(late)
    late.stop()
    wait_for(
        lambda: (
            not any(node.directory.servers('archive') for node in fleet.nodes)
        )
    )


def test_change_of_a_server_reaches_every_node(fleet):
    """Guards against a change that is lost because another overtook it."""
    directory = fleet.nodes[3].directory
    for state in (ServerState.EJECTED, ServerState.PROBATION):
        directory.set_server_state('s1', state)
    wait_for(fleet.is_equal)
    for node in fleet.nodes:
        server = node.directory.node('n3').find_server('s1')
        assert server.state is ServerState.PROBATION


def test_killed_node_is_detected_and_its_restart_is_seen(fleet):
    """Guards against a dead node that stays in, or a new one that is out."""
    killed = fleet.nodes.pop(2)
    killed.kill()
    wait_for(lambda: fleet.all_see('n2', reachable=False))
    fleet.add('n2', [make_server('s0')], incarnation=2)
    wait_for(lambda: fleet.all_see('n2', reachable=True))
    wait_for(fleet.is_equal)


def test_new_node_learns_who_is_unreachable(fleet):
    """Guards against a node that sends requests to a dead one it joined."""
    fleet.nodes.pop(4).kill()
    wait_for(lambda: fleet.all_see('n4', reachable=False))
    late = fleet.add('late')
    wait_for(lambda: late.directory.node('n4') is not None)
    wait_for(lambda: not late.directory.is_reachable('n4'))


@pytest.mark.parametrize('deaf', [True, False])
def test_one_way_cut_is_seen_at_both_ends(fleet, deaf):
    """Guards against a node that counts as alive while one way is cut."""
    subject, *others = fleet.nodes
    if deaf:
        for node in others:
            node.endpoint.cut = frozenset((subject.address,))
    else:
        subject.endpoint.cut = frozenset(node.address for node in others)
    wait_for(lambda: fleet.all_see(subject.name, reachable=False))
    peer = others[0]
    # A node that did not run leaves that time out of its peers' silence, so
    # that others may report the cut before it sees it itself.
    wait_for(lambda: not subject.gossip.link(peer.name).is_whole)
    wait_for(lambda: not peer.gossip.link(subject.name).is_whole)
    here = subject.gossip.link(peer.name)
    there = peer.gossip.link(subject.name)
    assert not here.is_whole
    assert not there.is_whole
    assert here.hears is not deaf
    assert there.hears is deaf
    for node in fleet.nodes:
        node.endpoint.cut = frozenset()
    wait_for(lambda: fleet.all_see(subject.name, reachable=True))
    wait_for(fleet.is_equal)


def test_one_cut_link_takes_no_node_out(fleet):
    """Guards against one bad link that takes a node out."""
    first, second = fleet.nodes[:2]
    first.endpoint.cut = frozenset((second.address,))
    wait_for(lambda: not second.gossip.link(first.name).hears)
    wait_for(lambda: not first.gossip.link(second.name).is_heard)
    wait_for(lambda: first.directory.reports(second.name))
    assert fleet.all_see(first.name, reachable=True)
    assert fleet.all_see(second.name, reachable=True)


def test_partition_ends_without_help(fleet):
    """Guards against two halves that never find each other again."""
    east, west = fleet.nodes[:3], fleet.nodes[3:]
    for side, other in ((east, west), (west, east)):
        for node in side:
            node.endpoint.cut = frozenset(each.address for each in other)
    wait_for(
        lambda: (
            not any(
                node.directory.is_reachable(other.name)
                for node in east
                for other in west
            )
        )
    )
    east[0].directory.set_server_state('s0', ServerState.DRAINING)
    for node in fleet.nodes:
        node.endpoint.cut = frozenset()
    wait_for(fleet.is_equal)
    wait_for(
        lambda: all(
            fleet.all_see(node.name, reachable=True) for node in fleet.nodes
        )
    )


def test_address_taken_over_by_another_node(fleet):
    """Guards against a new node that is taken for the one before it."""
    former = fleet.nodes.pop(1)
    former.kill()
    port = former.address.port
    fleet.add('other', [make_server('y', 'archive')], port=port)
    wait_for(lambda: fleet.all_see('n1', reachable=False))
    wait_for(lambda: fleet.all_see('other', reachable=True))


def test_restart_with_a_clock_behind_continues(fleet):
    """Guards against a restarted node whose messages are all dropped."""
    former = fleet.nodes.pop(5)
    port = former.address.port
    former.kill()
    again = Node('n5', [make_server('s9')], incarnation=0, port=port)
    seed = fleet.nodes[0]
    fleet.nodes.append(again.start(seed))
    wait_for(fleet.is_equal)
    assert again.directory.local_record.incarnation > 1
    seen = seed.directory.node('n5')
    assert seen.find_server('s9')


def test_second_process_with_the_same_id_ends_the_first(fleet):
    """Guards against two processes that speak for one id."""
    errors = []
    listeners = fleet.nodes[1].gossip.listeners
    listeners.superseded.append(errors.append)
    twin = Node('n1', incarnation=2).start(fleet.nodes[0])
    wait_for(lambda: errors)
    assert isinstance(errors[0], SupersededError)
    twin.stop()


def test_reports_and_versions_reach_every_node_once(fleet):
    """Guards against a rumour that dies early or is told twice."""
    crash = CrashReport('booking', 'n0', 's0', 1, (11, 12))
    clearance = Clearance('booking', 11)
    heard = {node.name: [] for node in fleet.nodes}
    for node in fleet.nodes:
        node.gossip.listeners.crash.append(heard[node.name].append)
        node.gossip.listeners.clearance.append(heard[node.name].append)
        node.gossip.listeners.config.append(
            lambda version, peer, address, gossip=node.gossip: (
                gossip.set_config_version(version)
            )
        )
    first = fleet.nodes[0].gossip
    first.spread(Rumors(crashes=(crash,), clearances=(clearance,)))
    first.set_config_version(7)
    told = [heard[node.name] for node in fleet.nodes[1:]]
    wait_for(lambda: all(len(news) == 2 for news in told))
    wait_for(
        lambda: all(node.gossip.config_version == 7 for node in fleet.nodes)
    )
    assert all(set(news) == {crash, clearance} for news in told)


def test_record_of_many_servers_reaches_every_node(fleet):
    """Guards against a node whose record fits no datagram."""
    servers = [
        make_server(f'{index:02}-{"n" * 50}', 's' * 50) for index in range(16)
    ]
    fleet.add('large', servers)
    wait_for(fleet.is_equal)
    assert all(
        len(node.directory.servers('s' * 50)) == 16 for node in fleet.nodes
    )


def test_replayed_heartbeat_is_no_sign_of_life():
    """Guards against a dead peer that old datagrams keep alive."""
    clock = ManualClock()
    links = LinkTable(clock)
    links.next_counters('a')
    assert links.note('a', 1, Heartbeat(5, 1, 0, 0))
    clock.advance(10)
    assert not links.note('a', 1, Heartbeat(5, 1, 0, 0))
    assert not links.note('a', 1, Heartbeat(4, 1, 0, 0))
    assert not links.state('a').hears
    assert links.note('a', 2, Heartbeat(1, 1, 0, 0))
    assert links.state('a').hears
    assert not links.state('a').is_heard


def test_pause_of_the_watcher_is_no_silence_of_the_peer():
    """Guards against a resumed process that reports all its peers."""
    clock = ManualClock()
    links = LinkTable(clock)
    links.restart('a')
    clock.advance(30)
    links.excuse('a', 30)
    assert links.state('a').is_whole


def test_rumor_ends_and_newer_news_replaces_it():
    """Guards against rumours that are sent for ever."""
    buffer = RumorBuffer(ManualClock())
    record = make_record('a')
    buffer.add(RecordChange(record), nodes=420)
    newer = RecordChange(attrs.evolve(record, version=2))
    buffer.add(newer, nodes=420)
    assert buffer.select() == [newer]
    sends = 0
    while len(buffer):
        buffer.note_sent(buffer.select())
        sends += 1
    assert sends == 27
    buffer.add(ConfigNotice(3), nodes=420)
    for _ in range(9):
        buffer.hear(ConfigNotice(3))
    assert not len(buffer)


@pytest.mark.parametrize('report', REPORTS)
def test_report_outlives_a_round_among_the_same_nodes(report):
    """Guards against a report that ends before all nodes heard it.

    Four of six nodes choose each other, so that the other two depend on the
    rounds after it.
    """
    buffers = [RumorBuffer(ManualClock()) for _ in range(4)]
    for buffer in buffers:
        buffer.add(report, nodes=6)
    for sender in buffers:
        for receiver in buffers:
            if receiver is not sender:
                sender.note_sent([report])
                receiver.hear(report)
    assert all(buffer.select() == [report] for buffer in buffers)


@pytest.mark.parametrize('report', REPORTS)
@pytest.mark.parametrize(('nodes', 'least'), [(6, 8), (32, 15), (420, 15)])
def test_heard_report_is_still_sent(report, nodes, least):
    """Guards against a report that nobody sends as all heard it often."""
    buffer = RumorBuffer(ManualClock())
    buffer.add(report, nodes)
    sends = 0
    while len(buffer):
        for _ in range(9):
            buffer.hear(report)
        buffer.note_sent([report])
        sends += 1
    assert sends == least


def count_missed(report, size, rng):
    """Spread a report in rounds and count the nodes that never hear it."""
    buffers = [RumorBuffer(ManualClock()) for _ in range(size)]
    buffers[0].add(report, size)
    missed = set(range(1, size))
    while any(len(buffer) for buffer in buffers):
        for sender in rng.sample(range(size), size):
            others = [index for index in range(size) if index != sender]
            for receiver in rng.sample(others, FAN_OUT):
                if not len(buffers[sender]):
                    break
                buffers[sender].note_sent([report])
                if receiver in missed:
                    missed.remove(receiver)
                    buffers[receiver].add(report, size)
                else:
                    buffers[receiver].hear(report)
    return len(missed)


@pytest.mark.parametrize(('size', 'spreads'), [(6, 1000), (20, 200), (60, 50)])
def test_report_reaches_every_node_in_each_of_many_spreads(size, spreads):
    """Guards against a report that now and then misses a node for good."""
    rng = random.Random(5)
    missed = [count_missed(REPORTS[0], size, rng) for _ in range(spreads)]
    assert sum(missed) == 0


def test_clearance_after_another_crash_is_news():
    """Guards against a request that stays refused after a success."""
    buffer = RumorBuffer(ManualClock())
    clearance = Clearance('booking', 1)
    assert buffer.is_first(clearance)
    assert not buffer.is_first(clearance)
    assert buffer.is_first(CrashReport('booking', 'a', 's', 1, (1,)))
    assert buffer.is_first(clearance)


def test_own_changes_in_a_row_are_sent_together():
    """Guards against a second transfer when one change overtakes another."""
    clock = ManualClock()
    servers = tuple(make_server(f's{index}') for index in range(16))
    record = make_record('a', servers=servers)
    changes = OwnChanges(record, clock)
    for index in range(2):
        state = ServerState.DRAINING
        changed = attrs.evolve(record.servers[index], state=state)
        moved = (
            *record.servers[:index],
            changed,
            *record.servers[index + 1 :],
        )
        version = record.version + 1
        record = attrs.evolve(record, version=version, servers=moved)
        made = changes.make(record)
    assert made[0].base == 1
    assert {each.name for each in made[0].record.servers} == {'s0', 's1'}


def test_budget_bounds_bytes_over_any_time():
    """Guards against a burst after a partition."""
    clock = ManualClock()
    budget = ByteBudget(clock, rate=1000, burst=8000)
    rng = random.Random(3)
    sent = 0
    for _ in range(1000):
        clock.advance(rng.random())
        for _ in range(5):
            size = rng.randrange(100, 1200)
            sent += size if budget.try_take(size) else 0
    assert sent <= 8000 + 1000 * (clock.now() - 1000)
    assert not budget.try_take(8001)
