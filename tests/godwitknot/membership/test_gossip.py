"""Control planes of several nodes over UDP on the loopback address."""

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
from godwitknot.membership.rumorsender import LocalChanges

REPORTS = (
    CrashReport('booking', 'n0', 's0', 1, (11, 12)),
    Clearance('booking', 11),
)


class Fleet:
    """A group of nodes that have joined each other."""

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
    started = Fleet(6)
    yield started
    started.stop()


def test_nodes_join_through_a_seed_and_leave(fleet):
    """Guards against a node that is known only to its seed."""
    joined = fleet.add('late', [make_server('x', 'archive')])
    wait_for(fleet.is_equal)
    assert joined.directory.servers('booking')
    joined.directory.update_local_record(state=NodeState.GONE)
    fleet.nodes.remove(joined)
    joined.stop()
    wait_for(
        lambda: (
            not any(node.directory.servers('archive') for node in fleet.nodes)
        )
    )


def test_change_of_a_server_reaches_every_node(fleet):
    """Guards against a change that is lost when a later one arrives first."""
    directory = fleet.nodes[3].directory
    for state in (ServerState.EJECTED, ServerState.PROBATION):
        directory.set_server_state('s1', state)
    wait_for(fleet.is_equal)
    for node in fleet.nodes:
        server = node.directory.node('n3').find_server('s1')
        assert server.state is ServerState.PROBATION


def test_killed_node_is_detected_and_its_restart_is_seen(fleet):
    """Guards against undetected failures and unnoticed restarts of nodes.

    A killed node must become unreachable, and its next process reachable.
    """
    killed = fleet.nodes.pop(2)
    killed.kill()
    wait_for(lambda: fleet.all_see('n2', reachable=False))
    fleet.add('n2', [make_server('s0')], incarnation=2)
    wait_for(lambda: fleet.all_see('n2', reachable=True))
    wait_for(fleet.is_equal)


def test_new_node_learns_who_is_unreachable(fleet):
    """Guards against a new node that takes an unreachable one for alive."""
    fleet.nodes.pop(4).kill()
    wait_for(lambda: fleet.all_see('n4', reachable=False))
    joined = fleet.add('late')
    wait_for(lambda: joined.directory.node('n4') is not None)
    wait_for(lambda: not joined.directory.is_reachable('n4'))


@pytest.mark.parametrize('inbound_cut', [True, False])
def test_one_way_cut_is_seen_at_both_ends(fleet, inbound_cut):
    """Guards against a node that stays reachable with one-way links.

    The links to all other nodes are cut in one direction.
    """
    subject, *others = fleet.nodes
    if inbound_cut:
        for node in others:
            node.endpoint.blocked = frozenset((subject.address,))
    else:
        subject.endpoint.blocked = frozenset(node.address for node in others)
    wait_for(lambda: fleet.all_see(subject.name, reachable=False))
    peer = others[0]
    # A node that was paused extends the timeouts of its peers by the pause,
    # so others may report the cut before it detects the cut itself.
    wait_for(lambda: not subject.gossip.link(peer.name).is_healthy)
    wait_for(lambda: not peer.gossip.link(subject.name).is_healthy)
    local_link = subject.gossip.link(peer.name)
    remote_link = peer.gossip.link(subject.name)
    assert not local_link.is_healthy
    assert not remote_link.is_healthy
    assert local_link.inbound_ok is not inbound_cut
    assert remote_link.inbound_ok is inbound_cut
    for node in fleet.nodes:
        node.endpoint.blocked = frozenset()
    wait_for(lambda: fleet.all_see(subject.name, reachable=True))
    wait_for(fleet.is_equal)


def test_one_cut_link_takes_no_node_out(fleet):
    """Guards against a single broken link that makes a node unreachable."""
    first, second = fleet.nodes[:2]
    first.endpoint.blocked = frozenset((second.address,))
    wait_for(lambda: not second.gossip.link(first.name).inbound_ok)
    wait_for(lambda: not first.gossip.link(second.name).outbound_ok)
    wait_for(lambda: first.directory.reports(second.name))
    assert fleet.all_see(first.name, reachable=True)
    assert fleet.all_see(second.name, reachable=True)


def test_partition_ends_without_help(fleet):
    """Guards against two sides of a partition that stay separated."""
    east, west = fleet.nodes[:3], fleet.nodes[3:]
    for side, other in ((east, west), (west, east)):
        for node in side:
            node.endpoint.blocked = frozenset(each.address for each in other)
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
        node.endpoint.blocked = frozenset()
    wait_for(fleet.is_equal)
    wait_for(
        lambda: all(
            fleet.all_see(node.name, reachable=True) for node in fleet.nodes
        )
    )


def test_address_taken_over_by_another_node(fleet):
    """Guards against a node that is mistaken for the last at its address."""
    predecessor = fleet.nodes.pop(1)
    predecessor.kill()
    port = predecessor.address.port
    fleet.add('other', [make_server('y', 'archive')], port=port)
    wait_for(lambda: fleet.all_see('n1', reachable=False))
    wait_for(lambda: fleet.all_see('other', reachable=True))


def test_restart_with_a_clock_behind_continues(fleet):
    """Guards against a restarted node whose messages are all dropped.

    Its clock is behind, so that its incarnation is lower than the last one.
    """
    predecessor = fleet.nodes.pop(5)
    port = predecessor.address.port
    predecessor.kill()
    restarted = Node('n5', [make_server('s9')], incarnation=0, port=port)
    seed = fleet.nodes[0]
    fleet.nodes.append(restarted.start(seed))
    wait_for(fleet.is_equal)
    assert restarted.directory.local_record.incarnation > 1
    seen = seed.directory.node('n5')
    assert seen.find_server('s9')


def test_second_process_with_the_same_id_ends_the_first(fleet):
    """Guards against two processes that both use one node id."""
    errors = []
    listeners = fleet.nodes[1].gossip.listeners
    listeners.superseded.append(errors.append)
    twin = Node('n1', incarnation=2).start(fleet.nodes[0])
    wait_for(lambda: errors)
    assert isinstance(errors[0], SupersededError)
    twin.stop()


def test_reports_and_versions_reach_every_node_once(fleet):
    """Guards against a rumor that ends early or is delivered twice."""
    crash = CrashReport('booking', 'n0', 's0', 1, (11, 12))
    clearance = Clearance('booking', 11)
    received = {node.name: [] for node in fleet.nodes}
    for node in fleet.nodes:
        node.gossip.listeners.crash.append(received[node.name].append)
        node.gossip.listeners.clearance.append(received[node.name].append)
        node.gossip.listeners.config.append(
            lambda version, peer, address, gossip=node.gossip: (
                gossip.set_config_version(version)
            )
        )
    first = fleet.nodes[0].gossip
    first.spread(Rumors(crashes=(crash,), clearances=(clearance,)))
    first.set_config_version(7)
    other_received = [received[node.name] for node in fleet.nodes[1:]]
    wait_for(lambda: all(len(items) == 2 for items in other_received))
    wait_for(
        lambda: all(node.gossip.config_version == 7 for node in fleet.nodes)
    )
    assert all(set(items) == {crash, clearance} for items in other_received)


def test_record_of_many_servers_reaches_every_node(fleet):
    """Guards against a record that is lost as it exceeds a datagram."""
    servers = [
        make_server(f'{index:02}-{"n" * 50}', 's' * 50) for index in range(16)
    ]
    fleet.add('large', servers)
    wait_for(fleet.is_equal)
    assert all(
        len(node.directory.servers('s' * 50)) == 16 for node in fleet.nodes
    )


def test_replayed_heartbeat_is_no_sign_of_life():
    """Guards against replayed datagrams that keep a dead peer reachable."""
    clock = ManualClock()
    links = LinkTable(clock)
    links.next_counters('a')
    assert links.record_heartbeat('a', 1, Heartbeat(5, 1, 0, 0))
    clock.advance(10)
    assert not links.record_heartbeat('a', 1, Heartbeat(5, 1, 0, 0))
    assert not links.record_heartbeat('a', 1, Heartbeat(4, 1, 0, 0))
    assert not links.state('a').inbound_ok
    assert links.record_heartbeat('a', 2, Heartbeat(1, 1, 0, 0))
    assert links.state('a').inbound_ok
    assert not links.state('a').outbound_ok


def test_pause_of_the_watcher_is_no_silence_of_the_peer():
    """Guards against a process that reports all peers after a pause."""
    clock = ManualClock()
    links = LinkTable(clock)
    links.reset_timers('a')
    clock.advance(30)
    links.extend_timers('a', 30)
    assert links.state('a').is_healthy


def test_rumor_ends_and_newer_news_replaces_it():
    """Guards against rumors that are sent forever."""
    buffer = RumorBuffer(ManualClock())
    record = make_record('a')
    buffer.add(RecordChange(record), nodes=420)
    newer = RecordChange(attrs.evolve(record, version=2))
    buffer.add(newer, nodes=420)
    assert buffer.select() == [newer]
    sends = 0
    while len(buffer):
        buffer.record_sent(buffer.select())
        sends += 1
    assert sends == 27
    buffer.add(ConfigNotice(3), nodes=420)
    for _ in range(9):
        buffer.record_duplicate(ConfigNotice(3))
    assert not len(buffer)


@pytest.mark.parametrize('report', REPORTS)
def test_report_outlives_a_round_among_the_same_nodes(report):
    """Guards against a report that ends before it reached all nodes.

    Four of six nodes choose only each other in the first round, so that the
    other two depend on later rounds.
    """
    buffers = [RumorBuffer(ManualClock()) for _ in range(4)]
    for buffer in buffers:
        buffer.add(report, nodes=6)
    for sender in buffers:
        for receiver in buffers:
            if receiver is not sender:
                sender.record_sent([report])
                receiver.record_duplicate(report)
    assert all(buffer.select() == [report] for buffer in buffers)


@pytest.mark.parametrize('report', REPORTS)
@pytest.mark.parametrize(
    ('nodes', 'expected_sends'), [(6, 8), (32, 15), (420, 15)]
)
def test_heard_report_is_still_sent(report, nodes, expected_sends):
    """Guards against a report that ends because of duplicates alone."""
    buffer = RumorBuffer(ManualClock())
    buffer.add(report, nodes)
    sends = 0
    while len(buffer):
        for _ in range(9):
            buffer.record_duplicate(report)
        buffer.record_sent([report])
        sends += 1
    assert sends == expected_sends


def count_missed(report, size, rng):
    """Spread a report in rounds and count the nodes that never receive it."""
    buffers = [RumorBuffer(ManualClock()) for _ in range(size)]
    buffers[0].add(report, size)
    missed = set(range(1, size))
    while any(len(buffer) for buffer in buffers):
        for sender in rng.sample(range(size), size):
            others = [index for index in range(size) if index != sender]
            for receiver in rng.sample(others, FAN_OUT):
                if not len(buffers[sender]):
                    break
                buffers[sender].record_sent([report])
                if receiver in missed:
                    missed.remove(receiver)
                    buffers[receiver].add(report, size)
                else:
                    buffers[receiver].record_duplicate(report)
    return len(missed)


@pytest.mark.parametrize(('size', 'spreads'), [(6, 1000), (20, 200), (60, 50)])
def test_report_reaches_every_node_in_each_of_many_spreads(size, spreads):
    """Guards against a report that occasionally never reaches a node."""
    rng = random.Random(5)
    missed = [count_missed(REPORTS[0], size, rng) for _ in range(spreads)]
    assert sum(missed) == 0


def test_clearance_after_another_crash_is_news():
    """Guards against a request that stays refused after a success.

    The clearance must spread again if another crash came in between.
    """
    buffer = RumorBuffer(ManualClock())
    clearance = Clearance('booking', 1)
    assert buffer.mark_seen(clearance)
    assert not buffer.mark_seen(clearance)
    assert buffer.mark_seen(CrashReport('booking', 'a', 's', 1, (1,)))
    assert buffer.mark_seen(clearance)


def test_own_changes_in_a_row_are_sent_together():
    """Guards against a second transfer when one change overtakes another."""
    clock = ManualClock()
    servers = tuple(make_server(f's{index}') for index in range(16))
    record = make_record('a', servers=servers)
    changes = LocalChanges(record, clock)
    for index in range(2):
        state = ServerState.DRAINING
        changed = attrs.evolve(record.servers[index], state=state)
        servers_after = (
            *record.servers[:index],
            changed,
            *record.servers[index + 1 :],
        )
        version = record.version + 1
        record = attrs.evolve(record, version=version, servers=servers_after)
        delta = changes.make_delta(record)
    assert delta[0].base == 1
    assert {each.name for each in delta[0].record.servers} == {'s0', 's1'}


def test_budget_bounds_bytes_over_any_time():
    """Guards against a burst above the budget, such as after a partition."""
    clock = ManualClock()
    budget = ByteBudget(clock, rate=1000, burst=8000)
    rng = random.Random(3)
    sent = 0
    for _ in range(1000):
        clock.advance(rng.random())
        for _ in range(5):
            size = rng.randrange(100, 1200)
            sent += size if budget.try_consume(size) else 0
    assert sent <= 8000 + 1000 * (clock.now() - 1000)
    assert not budget.try_consume(8001)
