"""Cost of the control plane in bytes sent and peers watched, by fleet size."""

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
from godwitknot.membership.reconcile import (
    NEWCOMER_BYTES_PER_SECOND,
    Reconciler,
)
from godwitknot.units import Address

MAX_BYTES_PER_SECOND = 5000
IDLE_MESSAGE_KINDS = {'heartbeat', 'digest'}
# Far longer than a rumor takes from the buffer to the counters.
IDLE_CHECK_SECONDS = 1.0
INCARNATION = 1764800000000 * 65536


class SimulatedNetwork:
    """Delivers messages between reconcilers in order and counts their bytes."""

    def __init__(self):
        self.queue = collections.deque()
        self.handlers = {}
        self.sent = collections.Counter()

    def run(self):
        while self.queue:
            target, sender, source, message = self.queue.popleft()
            for handler in self.handlers[target, type(message)]:
                handler(sender, source, message)


class SimulatedEndpoint:
    """Implements the methods of an endpoint that a reconciler uses."""

    def __init__(self, network, name, address):
        self.network = network
        self.name = name
        self.address = address
        self.signer = MessageSigner(KEYS, name, INCARNATION)
        self.message = None

    def subscribe(self, message_type, handler):
        key = (self.address, message_type)
        self.network.handlers.setdefault(key, []).append(handler)

    def sign_message(self, message):
        self.message = message
        return self.signer.sign_message(message)

    def send_signed(self, address, datagram):
        self.network.sent[datagram.kind] += len(datagram.payload)
        self.network.queue.append(
            (address, self.name, self.address, self.message)
        )


def make_peer(network, name, port, records):
    address = Address('127.0.0.1', port)
    local_record = make_record(name, INCARNATION, peer=address)
    clock = ManualClock()
    directory = Directory(local_record, clock)
    for record in records:
        directory.merge(record)
    endpoint = SimulatedEndpoint(network, name, address)
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

    :param count: number of records in both.
    :param differing: number of records that the second one has only in an
        older version.
    """
    network = SimulatedNetwork()
    records = make_records(count)
    newer = [
        make_record(f'node-{index}', INCARNATION + index, 2)
        for index in range(differing)
    ]
    first, reconciler = make_peer(network, 'a', 1, [*records, *newer])
    second, _ = make_peer(network, 'b', 2, records)
    second.merge(first.local_record)
    first.merge(second.local_record)
    for _ in range(100):
        reconciler.compare_with(second.local_record.peer)
        network.run()
        if first.hash == second.hash:
            return sum(network.sent.values())
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
    heartbeat = Heartbeat(10**6, 10**6, 2**63, 10**5, 2**31)
    signer = MessageSigner(KEYS, 'reykjanes-a-420', INCARNATION)
    size = len(signer.sign_message(heartbeat).payload)
    rates = (
        gossip.RUMOR_BYTES_PER_SECOND
        + gossip.RECONCILE_BYTES_PER_SECOND
        + NEWCOMER_BYTES_PER_SECOND
    )
    # Seven peers if one is watched in another failure domain.
    assert 2 * (7 * size + rates) < MAX_BYTES_PER_SECOND


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
    """Guards against rumors that never end and other traffic while idle.

    Bytes are counted per round of heartbeats, which takes a second.
    """
    nodes = [Node(f'n{index}', [make_server('s')]) for index in range(10)]
    for node in nodes:
        node.start(*nodes[:1])
    wait_for(lambda: len({node.directory.hash for node in nodes}) == 1)
    wait_for(lambda: all(node.directory.count == 10 for node in nodes))
    wait_for(lambda: is_idle(nodes))
    before = [node.endpoint.bytes_sent.copy() for node in nodes]
    started = [count_heartbeats(node) for node in nodes]
    wait_for(
        lambda: all(
            count_heartbeats(node) - start >= 60
            for node, start in zip(nodes, started, strict=True)
        )
    )
    for node, old, start in zip(nodes, before, started, strict=True):
        sent = node.endpoint.bytes_sent - old
        assert set(sent) == IDLE_MESSAGE_KINDS
        rounds = (count_heartbeats(node) - start) / 6
        assert sum(sent.values()) / rounds < MAX_BYTES_PER_SECOND / 2
    for node in nodes:
        node.stop()


def count_heartbeats(node):
    counts = node.metrics.snapshot()
    return counts.get('control.messages_sent.heartbeat', 0)


def is_idle(nodes):
    """Return whether the nodes send only heartbeats and digests for a second.

    An empty buffer of rumors would not show it: the last ones may have been
    selected and not yet sent.
    """
    before = [node.endpoint.bytes_sent.copy() for node in nodes]
    time.sleep(IDLE_CHECK_SECONDS)
    return all(
        set(node.endpoint.bytes_sent - old) <= IDLE_MESSAGE_KINDS
        for node, old in zip(nodes, before, strict=True)
    )
