"""Directory: merge rules, tombstones, reachability and local record."""

import random
import threading

import attrs
import pytest
from fleet import make_record, make_server
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitknot.clock import ManualClock
from godwitknot.control.messages import RecordChange, Unreachable
from godwitknot.control.recordchanges import (
    MAX_CHANGE_BYTES,
    diff_records,
    encoded_size,
    split_record,
)
from godwitknot.control.records import NodeState, ServerState
from godwitknot.errors import SupersededError
from godwitknot.membership.directory import Directory, MergeResult
from godwitknot.membership.entries import TOMBSTONE_SECONDS
from godwitknot.units import Address


def make_directory(local_id='own', others=(), clock=None):
    directory = Directory(make_record(local_id), clock or ManualClock())
    for node_id in others:
        directory.merge(make_record(node_id))
    return directory


def report(watcher, node_id, incarnation=1, version=1):
    return Unreachable(watcher, node_id, incarnation, version)


class DirectoryMachine(RuleBasedStateMachine):
    """Nodes make versions that three directories receive in any order."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.directories = [
            make_directory(local_id, clock=self.clock) for local_id in 'xyz'
        ]
        self.latest = {}
        self.changes = []
        self.freshness_by_node = [{} for _ in self.directories]

    def _add_version(self, record):
        old = self.latest.get(record.node_id)
        self.latest[record.node_id] = record
        self.changes.extend(split_record(record))
        if old is not None and old.incarnation == record.incarnation:
            self.changes.extend(diff_records(old, record))

    @rule(node=st.sampled_from('abc'), names=st.sets(st.sampled_from('stuv')))
    def restart(self, node, names):
        old = self.latest.get(node)
        incarnation = old.incarnation + 1 if old else 1
        servers = [make_server(name) for name in sorted(names)]
        self._add_version(make_record(node, incarnation, 1, servers))

    @rule(
        node=st.sampled_from('abc'),
        state=st.sampled_from(list(ServerState)),
        server_index=st.integers(0, 3),
    )
    def change_server(self, node, state, server_index):
        old = self.latest.get(node)
        if old is None or not old.servers:
            return
        servers = list(old.servers)
        server_index %= len(servers)
        servers[server_index] = attrs.evolve(servers[server_index], state=state)
        version = old.version + 1
        self._add_version(
            attrs.evolve(old, version=version, servers=tuple(servers))
        )

    @rule(node=st.sampled_from('abc'))
    def leave(self, node):
        old = self.latest.get(node)
        if old is not None:
            version = old.version + 1
            gone = {'state': NodeState.GONE, 'servers': ()}
            self._add_version(attrs.evolve(old, version=version, **gone))

    @rule(
        deliveries=st.lists(st.tuples(st.integers(0, 2), st.integers(0, 999)))
    )
    def deliver(self, deliveries):
        for index, position in deliveries:
            if self.changes:
                change = self.changes[position % len(self.changes)]
                directory = self.directories[index]
                result = directory.merge_change(change)
                repeated = directory.merge_change(change)
                if result is MergeResult.APPLIED:
                    assert repeated is MergeResult.KNOWN

    @invariant()
    def versions_never_decrease(self):
        for directory, freshness_by_node in zip(
            self.directories, self.freshness_by_node, strict=True
        ):
            for node_id in self.latest:
                record = directory.node(node_id)
                if record is not None:
                    assert record.freshness >= freshness_by_node.get(
                        node_id, (0, 0)
                    )
                    freshness_by_node[node_id] = record.freshness

    @invariant()
    def records_equal_produced_versions(self):
        complete_records = {
            (change.record.node_id, change.record.freshness): change.record
            for change in self.changes
            if not change.base
        }
        for directory in self.directories:
            for node_id in self.latest:
                record = directory.node(node_id)
                if record is not None:
                    expected = complete_records[node_id, record.freshness]
                    assert set(record.servers) == set(expected.servers)
                    assert record.state is expected.state

    def teardown(self):
        rng = random.Random(len(self.changes))
        hashes = set()
        for directory in self.directories:
            rng.shuffle(self.changes)
            for change in self.changes:
                directory.merge_change(change)
            # The local records differ, so they are not compared.
            hashes.add(
                frozenset(
                    entry
                    for entry in directory.entries()
                    if entry.node_id in self.latest
                )
            )
        assert len(hashes) == 1


TestDirectoryMachine = DirectoryMachine.TestCase
TestDirectoryMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)


def test_old_incarnation_never_replaces_a_new_one():
    """Guards against a delayed message that undoes a restart."""
    directory = make_directory()
    assert directory.merge(make_record('a', incarnation=2, version=1))
    assert not directory.merge(make_record('a', incarnation=1, version=99))
    assert directory.node('a').incarnation == 2


def test_equal_records_give_equal_hashes_in_any_order():
    """Guards against equal directories whose hashes differ."""
    first = make_directory('a', ['b', 'c', 'd'])
    second = make_directory('d', ['c', 'a', 'b'])
    assert first.hash == second.hash
    assert first.buckets == second.buckets
    second.report_unreachable(report('a', 'b'))
    assert first.hash != second.hash


def test_servers_are_found_by_service():
    """Guards against an index that keeps servers of a changed service."""
    directory = make_directory()
    servers = [make_server('s1'), make_server('s2', 'archive')]
    directory.merge(make_record('a', servers=servers))
    assert [each.key for each in directory.servers('booking')] == [('a', 's1')]
    moved = [make_server('s1', 'archive')]
    directory.merge(make_record('a', version=2, servers=moved))
    assert not directory.servers('booking')
    assert [each.key for each in directory.servers('archive')] == [('a', 's1')]


def test_gone_node_is_a_tombstone_for_two_hours():
    """Guards against a record that returns after a long partition."""
    clock = ManualClock()
    directory = make_directory(clock=clock)
    live = make_record('a', servers=[make_server('s1')])
    directory.merge(live)
    directory.merge(make_record('a', version=2, state=NodeState.GONE))
    assert not directory.merge(live)
    assert not directory.servers('booking')
    assert [each.node_id for each in directory.nodes()] == ['own']
    clock.advance(TOMBSTONE_SECONDS + 1)
    directory.expire_and_refute()
    assert directory.count == 1
    assert not directory.merge(live), 'other nodes may still send the record'
    clock.advance(TOMBSTONE_SECONDS + 1)
    directory.expire_and_refute()
    assert directory.tombstone('a') is None


def test_node_unreachable_for_two_hours_is_forgotten():
    """Guards against a directory that grows with every failed instance."""
    clock = ManualClock()
    directory = make_directory(others='abcd', clock=clock)
    directory.report_unreachable(report('b', 'a'))
    directory.report_unreachable(report('c', 'a'))
    clock.advance(TOMBSTONE_SECONDS + 1)
    directory.expire_and_refute()
    assert directory.node('a') is None
    assert directory.tombstone('a').state is NodeState.GONE
    assert directory.merge(make_record('a', version=2))
    assert directory.is_reachable('a')


def test_two_watchers_make_a_node_unreachable():
    """Guards against a single broken link that makes a node unreachable."""
    directory = make_directory(others='abcd')
    changed = []
    directory.subscribe(lambda record: changed.append(record.node_id))
    assert directory.report_unreachable(report('b', 'a'))
    assert not directory.report_unreachable(report('b', 'a'))
    assert directory.is_reachable('a')
    assert directory.report_unreachable(report('c', 'a'))
    assert not directory.is_reachable('a')
    assert changed == ['a']
    directory.merge(make_record('a', version=2))
    assert directory.is_reachable('a')


def test_only_watcher_is_enough():
    """Guards against a fleet of two nodes that never detects a failure."""
    directory = make_directory(others='a')
    directory.report_unreachable(report('own', 'a'))
    assert not directory.is_reachable('a')


def test_single_report_counts_only_while_no_other_watcher_is_in_order():
    """Guards against a node that stays unreachable after a partition.

    At the node itself its single report is no longer enough for a quorum,
    so that it does not refute the report.
    """
    directory = make_directory(others='ab')
    directory.report_unreachable(report('b', 'own'))
    directory.report_unreachable(report('own', 'b'))
    directory.report_unreachable(report('b', 'a'))
    directory.report_unreachable(report('own', 'a'))
    unreachable = [each for each in 'ab' if not directory.is_reachable(each)]
    assert 'a' in unreachable
    for node_id in 'ab':
        directory.merge(make_record(node_id, version=2))
    directory.report_unreachable(report('own', 'a', 1, 2))
    assert directory.is_reachable('a')
    directory.report_unreachable(report('own', 'b', 1, 2))
    directory.merge(make_record('b', version=3))
    directory.expire_and_refute()
    assert directory.is_reachable('a')


def test_report_about_another_version_has_no_effect():
    """Guards against an outdated report that makes a live node unreachable."""
    directory = make_directory(others='abcd')
    directory.merge(make_record('a', version=2))
    assert not directory.report_unreachable(report('b', 'a', 1, 1))
    assert not directory.report_unreachable(report('c', 'a', 1, 1))
    assert directory.is_reachable('a')


def test_node_refutes_reports_about_itself_at_a_limited_pace():
    """Guards against a live node that never refutes, or refutes too often.

    Watchers whose messages arrive but that cannot be reached report each new
    version, so that refutations without a backoff would never end.
    """
    clock = ManualClock()
    directory = make_directory(others='abcd', clock=clock)
    versions = []
    for _ in range(600):
        for watcher in 'ab':
            version = directory.local_record.version
            directory.report_unreachable(report(watcher, 'own', 1, version))
        clock.advance(1)
        directory.expire_and_refute()
        versions.append(directory.local_record.version)
    assert versions[0] == 2
    assert versions[-1] <= 10


def test_refutation_that_had_to_wait_is_made():
    """Guards against reports that are not refuted after the backoff.

    No further report arrives then, because they are already known.
    """
    clock = ManualClock()
    directory = make_directory(others='abcd', clock=clock)
    for version in (1, 2):
        for watcher in 'ab':
            directory.report_unreachable(report(watcher, 'own', 1, version))
    assert directory.local_record.version == 2
    clock.advance(10)
    directory.expire_and_refute()
    assert directory.local_record.version == 3


def test_node_recorded_as_gone_refutes_it():
    """Guards against a live node that others keep as gone.

    They removed it while it was unreachable.
    """
    directory = make_directory()
    directory.merge(make_record('own', state=NodeState.GONE))
    assert directory.local_record.state is NodeState.READY
    assert directory.local_record.version == 2


def test_own_record_of_a_process_whose_clock_was_ahead():
    """Guards against a restarted node whose messages are all dropped.

    The clock of its last process was ahead, so that its own incarnation is
    lower than the recorded one.
    """
    directory = make_directory()
    directory.merge(make_record('own', incarnation=50, version=9))
    assert directory.local_record.incarnation > 50


def test_own_id_in_use_at_another_address_ends_this_process():
    """Guards against two processes that both use one node id."""
    directory = make_directory()
    other = make_record('own', incarnation=50, peer=Address('127.0.0.9', 2))
    with pytest.raises(SupersededError):
        directory.merge(other)


def test_most_seen_counts_unreachable_servers_for_two_hours():
    """Guards against a floor that decreases because servers disappear."""
    clock = ManualClock()
    directory = make_directory(clock=clock)
    for node_id in 'abc':
        record = make_record(node_id, servers=[make_server('s')])
        directory.merge(record)
    clock.advance(10)
    for version, node_id in enumerate('ab', start=2):
        gone = make_record(node_id, version=version, state=NodeState.GONE)
        directory.merge(gone)
    assert len(directory.servers('booking')) == 1
    assert directory.peak_server_count('booking') == 3
    clock.advance(TOMBSTONE_SECONDS + 1)
    assert directory.peak_server_count('booking') == 1


def test_watched_peers_include_another_failure_domain():
    """Guards against a failure domain that is watched only from within."""
    directory = make_directory(others=[f'n{index}' for index in range(40)])
    assert len(directory.watched()) == 6
    directory.merge(make_record('far', failure_domain='east-b'))
    assert 'far' in {each.node_id for each in directory.watched()}


def test_watching_is_mutual():
    """Guards against nodes that do not watch their own watchers."""
    names = [f'n{index}' for index in range(60)]
    watched = {
        name: {each.node_id for each in make_directory(name, names).watched()}
        for name in names
    }
    for name, peers in watched.items():
        assert all(name in watched[peer] for peer in peers)


def make_large_record(version=1):
    servers = [
        make_server(f'{index:02}-{"n" * 60}', 's' * 63) for index in range(16)
    ]
    return make_record('a', version=version, servers=servers)


def test_large_record_travels_in_parts():
    """Guards against a record that is lost as it exceeds a datagram."""
    record = make_large_record()
    parts = split_record(record)
    assert len(parts) > 1
    assert all(encoded_size(part) <= MAX_CHANGE_BYTES for part in parts)
    directory = make_directory()
    for part in reversed(parts[1:]):
        assert directory.merge_change(part) is MergeResult.INCOMPLETE
    assert directory.node('a') is None
    assert directory.merge_change(parts[0]) is MergeResult.APPLIED
    assert directory.node('a') == record


def test_parts_of_two_versions_are_not_mixed():
    """Guards against a record that is reassembled from two versions."""
    old = split_record(make_large_record(1))
    new = split_record(make_large_record(2))
    directory = make_directory()
    for part in (*old[:-1], new[-1], *old):
        directory.merge_change(part)
    assert directory.node('a') is None
    for part in new[:-1]:
        directory.merge_change(part)
    assert directory.node('a').version == 2


def test_change_without_its_base_is_asked_for():
    """Guards against a record that lacks the servers of a lost version."""
    servers = (make_server('s1'), make_server('s2'))
    first = make_record('a', servers=servers)
    second = attrs.evolve(first, version=2, servers=servers[:1])
    changed = make_server('s2', state=ServerState.DRAINING)
    third = attrs.evolve(first, version=3, servers=(servers[0], changed))
    change = diff_records(first, third)[0]
    assert [each.name for each in change.record.servers] == ['s2']
    directory = make_directory()
    assert directory.merge_change(change) is MergeResult.BASE_MISSING
    directory.merge(first)
    assert directory.merge_change(change) is MergeResult.APPLIED
    assert directory.node('a') == third
    removal = diff_records(first, second)[0]
    assert removal.base == 0


def test_subscribers_of_a_server_state_run_without_the_lock():
    """Guards against a deadlock when two servers start at the same time.

    Subscribers take their own locks and then read the directory.
    """
    directory = make_directory('x')
    directory.update_local_record(servers=(make_server('s1'),))
    hashes_read = []

    def read_from_another_thread(*_changed):
        reader = threading.Thread(
            target=lambda: hashes_read.append(directory.hash)
        )
        reader.start()
        reader.join(5)

    directory.subscribe(read_from_another_thread)
    directory.set_server_state('s1', ServerState.DRAINING)
    assert hashes_read == [directory.hash]


def test_server_that_is_as_before_is_part_of_the_change():
    """Guards against a recovered server that other nodes keep in probation.

    If a server is ready, ejected, in probation and ready again within 10 s,
    a delta without it leaves nodes that have an intermediate version at
    probation with the latest version.
    """
    states = (ServerState.READY, ServerState.PROBATION, ServerState.READY)
    first, second, third = (
        make_record('a', 1, version, [make_server('s1', state=state)])
        for version, state in enumerate(states, 1)
    )
    directory = make_directory()
    directory.merge(second)
    for change in diff_records(first, third, [second]):
        directory.merge_change(change)
    assert directory.node('a') == third


def test_change_of_another_incarnation_is_not_applied():
    """Guards against servers of an earlier process in a new record."""
    directory = make_directory()
    directory.merge(make_record('a', 1, 5, [make_server('s1')]))
    change = RecordChange(make_record('a', 2, 6), base=5)
    assert directory.merge_change(change) is MergeResult.BASE_MISSING
