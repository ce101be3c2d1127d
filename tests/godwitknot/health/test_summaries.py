import random
import string

from godwitknot.clock import ManualClock
from godwitknot.control.messages import ServerSummary, Summary
from godwitknot.control.records import (
    NodeRecord,
    NodeState,
    ServerRecord,
    ServerState,
)
from godwitknot.control.transport import Endpoint
from godwitknot.health.siblings import SiblingStatistics
from godwitknot.health.summaries import SummaryExchange
from godwitknot.keys import FleetKeys
from godwitknot.membership.directory import Directory
from godwitknot.metrics import Metrics
from godwitknot.units import Address

ANY = Address('127.0.0.1', 0)
LETTERS = f'{string.ascii_letters}{string.digits}-_'
SERVICE = 's' * 63


def make_node(node_id, peer):
    server = ServerRecord('a' * 63, SERVICE, 4, 1, ServerState.READY)
    return NodeRecord(
        node_id, 1, 1, 'r', 'd', ANY, peer, NodeState.READY, (server,)
    )


class WideStatistics(SiblingStatistics):
    """Returns summaries with the longest names allowed."""

    def compose(self, service):
        # Random names, since messages are compressed.
        source = random.Random(1)

        def draw():
            return ''.join(source.choices(LETTERS, k=63))

        return Summary(
            tuple(
                ServerSummary(
                    SERVICE, draw(), draw(), draw(), 9, 0.1, 0.1, 0.1, 0.1
                )
                for _ in range(8)
            ),
        )


def test_summary_too_large_for_a_datagram_is_sent_in_parts():
    """Guards against long names that end the exchange thread.

    They make a summary too large for one datagram.
    """
    keys = FleetKeys('k1', {'k1': b'0123456789abcdef'})
    clock = ManualClock()
    metrics = Metrics()
    sender = Endpoint(ANY, keys, 'n1', 1, metrics)
    receiver = Endpoint(ANY, keys, 'n2', 1, metrics)
    directory = Directory(make_node('n1', sender.address), clock)
    directory.merge(make_node('n2', receiver.address))
    statistics = WideStatistics('n1', clock)
    exchange = SummaryExchange(directory, sender, statistics)
    exchange.send_round()
    assert metrics.snapshot()['control.messages_sent.summary'] == 2
    sender.stop()
    receiver.stop()
