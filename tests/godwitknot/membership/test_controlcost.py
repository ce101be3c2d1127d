"""Counting checks: what the control plane sends and holds, by size."""

import collections
import random
import time

import pytest
from fleet import KEYS, Node, make_record, make_server, wait_for

from godwitknot.clock import ManualClock
from godwitknot.control.bytebudget import ByteBudget
from godwitknot.control.messages import Heartbeat, Records
from godwitknot.control.signing import MessageSigner
from godwitknot.membership import gossip
from godwitknot.membership.directory import Directory
from godwitknot.membership.reconcile import WELCOME_RATE, Reconciler
from godwitknot.units import Address

LIMIT_BYTES_PER_SECOND = 5000
IDLE_KINDS = {'heartbeat', 'digest'}
# Far longer than a rumour takes from its buffer to the counters.
ROUND_SECONDS = 1.0
INCARNATION = 1764800000000 * 65536


class Wire:
    """Delivers messages between reconcilers in order and counts them."""

    def __init__(self):
        self.queue = collections.deque()
        self.handlers = {}
        self.sent = collections.Counter()

    def run(self):
        while self.queue:
            target, sender, source, message = self.queue.popleft()
            for handler in self.handlers[target, type(message)]:
                handler(sender, source, message)


class WireEndpoint:
    """Has the part of the endpoint's interface that a reconciler uses."""

    def __init__(self, wire, name, address):
        self.wire = wire
        self.name = name
        self.address = address
        self.signer = MessageSigner(KEYS, name, INCARNATION)
        self.message = None

    def subscribe(self, message_type, handler):
        key = (self.address, message_type)
        self.wire.handlers.setdefault(key, []).append(handler)

    def sign_message(self, message):
        self.message = message
        return self.signer.sign_message(message)

    def send_signed(self, address, datagram):
        self.wire.sent[datagram.kind] += len(datagram.payload)
        self.wire.queue.append((address, self.name, self.address, self.message))


def make_peer(wire, name, port, records):
    address = Address('127.0.0.1', port)
    own = make_record(name, INCARNATION, peer=address)
    clock = ManualClock()
    directory = Directory(own, clock)
    for record in records:
        directory.merge(record)
    endpoint = WireEndpoint(wire, name, address)
    reconciler = Reconciler(
        directory,
        endpoint,
        clock,
        ByteBudget(clock, 0, 10**6),
        random.Random(port),
    )
    endpoint.subscribe(
        Records,
        lambda sender, source, message: [
            directory.merge_change(change) for change in message.changes
        ],
    )
    return directory, reconciler


def make_records(count):
    return [
        make_record(
            f'node-{index}',
            INCARNATION + index,
            servers=[make_server(f's-{number}') for number in range(16)],
        )
        for index in range(count)
    ]


def exchange(count, differing):
    """Reconcile two directories and count the bytes sent.

    :param differing: records that only the first one holds in the last
        version.
    """
    wire = Wire()
    records = make_records(count)
    newer = [
        make_record(f'node-{index}', INCARNATION + index, 2)
        for index in range(differing)
    ]
    first, reconciler = make_peer(wire, 'a', 1, [*records, *newer])
    second, _ = make_peer(wire, 'b', 2, records)
    second.merge(first.local_record)
    first.merge(second.local_record)
    for _ in range(100):
        reconciler.compare_with(second.local_record.peer)
        wire.run()
        if first.hash == second.hash:
            return sum(wire.sent.values())
    raise AssertionError('the directories never became equal')


def test_one_difference_costs_the_same_at_any_size():
    """Guards against an exchange that grows with the fleet."""
    small = exchange(40, 1)
    large = exchange(420, 1)
    assert large < small + 600
    assert large < 2500


def test_many_differences_cost_in_proportion():
    """Guards against an exchange that sends what does not differ."""
    few = exchange(420, 10)
    many = exchange(420, 100)
    assert many < 12 * few


def test_equal_directories_exchange_one_digest():
    """Guards against traffic while nothing differs."""
    assert exchange(420, 0) < 100


def test_all_budgets_and_heartbeats_together_keep_the_limit():
    """Guards against a storm of changes that exceeds 5 KB/s."""
    beat = Heartbeat(10**6, 10**6, 2**63, 10**5, 2**31)
    signer = MessageSigner(KEYS, 'reykjanes-a-420', INCARNATION)
    size = len(signer.sign_message(beat).payload)
    bursts = gossip.RUMOR_RATE + gossip.RECONCILE_RATE + WELCOME_RATE
    # Seven peers if one is watched in another failure domain.
    assert 2 * (7 * size + bursts) < LIMIT_BYTES_PER_SECOND


@pytest.mark.parametrize('count', [40, 420])
def test_number_of_watched_peers_does_not_grow(count):
    """Guards against threads and heartbeats that grow with the fleet."""
    directory = Directory(make_record('own'), ManualClock())
    for record in make_records(count):
        directory.merge(record)
    assert len(directory.watched()) == 6
    assert directory.count == count + 1
    assert len(directory.servers('booking')) == 16 * count


def test_idle_nodes_send_heartbeats_and_digests_only():
    """Guards against rumours that never end and against idle chatter.

    Counted for each round of heartbeats, of which there is one a second.
    """
    nodes = [Node(f'n{index}', [make_server('s')]) for index in range(10)]
    for node in nodes:
        node.start(*nodes[:1])
    wait_for(lambda: len({node.directory.hash for node in nodes}) == 1)
    wait_for(lambda: all(node.directory.count == 10 for node in nodes))
    wait_for(lambda: is_quiet(nodes))
    before = [node.endpoint.bytes_sent.copy() for node in nodes]
    started = [count_beats(node) for node in nodes]
    wait_for(
        lambda: all(
            count_beats(node) - start >= 60
            for node, start in zip(nodes, started, strict=True)
        )
    )
    for node, old, start in zip(nodes, before, started, strict=True):
        sent = node.endpoint.bytes_sent - old
        assert set(sent) == IDLE_KINDS
        rounds = (count_beats(node) - start) / 6
        assert sum(sent.values()) / rounds < LIMIT_BYTES_PER_SECOND / 2
    for node in nodes:
        node.stop()


def count_beats(node):
    counts = node.metrics.snapshot()
    return counts.get('control.messages_sent.heartbeat', 0)


def is_quiet(nodes):
    """Tell whether the nodes send nothing else for a round of digests.

    An empty buffer of rumours does not tell: the last ones may have been
    taken from it and not yet sent.
    """
    before = [node.endpoint.bytes_sent.copy() for node in nodes]
    time.sleep(ROUND_SECONDS)
    return all(
        set(node.endpoint.bytes_sent - old) <= IDLE_KINDS
        for node, old in zip(nodes, before, strict=True)
    )
