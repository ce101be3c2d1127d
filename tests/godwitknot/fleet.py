"""Records and nodes for the tests of the control plane."""

import random
import time

import attrs

from godwitknot.clock import SystemClock
from godwitknot.control.records import (
    NodeRecord,
    NodeState,
    ServerRecord,
    ServerState,
)
from godwitknot.control.transport import Endpoint
from godwitknot.keys import FleetKeys
from godwitknot.membership.directory import Directory
from godwitknot.membership.gossip import Gossip
from godwitknot.metrics import Metrics
from godwitknot.units import Address

KEYS = FleetKeys('k1', {'k1': b'1' * 16})


def make_server(name, service='booking', state=ServerState.READY):
    return ServerRecord(name, service, 4, 1, state)


def make_record(node_id, incarnation=1, version=1, servers=(), **changes):
    record = NodeRecord(
        node_id=node_id,
        incarnation=incarnation,
        version=version,
        region='east',
        failure_domain='east-a',
        ingress=Address('127.0.0.1', 1),
        peer=Address('127.0.0.1', 2),
        state=NodeState.READY,
        servers=tuple(servers),
    )
    return attrs.evolve(record, **changes)


class PartitionedEndpoint(Endpoint):
    """An endpoint that loses its datagrams to the blocked addresses."""

    blocked: frozenset = frozenset()

    def send_signed(self, address, datagram):
        if address in self.blocked:
            return len(datagram.payload)
        return super().send_signed(address, datagram)


class Node:
    """A node's control plane over UDP on the loopback address."""

    def __init__(self, name, servers=(), incarnation=1, port=0, **changes):
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.endpoint = PartitionedEndpoint(
            Address('127.0.0.1', port), KEYS, name, incarnation, self.metrics
        )
        local_record = make_record(
            name,
            incarnation,
            servers=servers,
            peer=self.endpoint.address,
            **changes,
        )
        self.name = name
        self.directory = Directory(local_record, self.clock)
        self.gossip = Gossip(
            self.directory, self.endpoint, self.clock, random.Random(name)
        )

    @property
    def address(self):
        return self.endpoint.address

    def start(self, *seeds):
        self.gossip.set_seeds([seed.address for seed in seeds])
        self.endpoint.start()
        self.gossip.start()
        return self

    def stop(self):
        self.gossip.stop()
        self.endpoint.stop()

    def kill(self):
        """Stop without sending a final state, like a killed process."""
        self.endpoint.blocked = frozenset(
            record.peer for record in self.directory.nodes()
        )
        self.stop()


def wait_for(condition, seconds=60):
    """Wait until a condition holds.

    :raises AssertionError: if it does not hold after ``seconds``.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, 'condition never held'
        time.sleep(0.05)
