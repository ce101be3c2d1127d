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
    """Gives summaries with the longest names allowed."""

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
    """Guards against an exchange thread that ends at long names."""
    keys = FleetKeys('k1', {'k1': b'0123456789abcdef'})
    clock = ManualClock()
    metrics = Metrics()
    ours = Endpoint(ANY, keys, 'n1', 1, metrics)
    theirs = Endpoint(ANY, keys, 'n2', 1, metrics)
    directory = Directory(make_node('n1', ours.address), clock)
    directory.merge(make_node('n2', theirs.address))
    statistics = WideStatistics('n1', clock)
    exchange = SummaryExchange(directory, ours, statistics)
    exchange.send_round()
    assert metrics.snapshot()['control.messages_sent.summary'] == 2
    ours.stop()
    theirs.stop()
