"""A control-plane process for ``bench.slopes`` and ``bench.restarts``.

Reads commands from standard input, one per line, and replies to each with a
line of JSON on standard output. Exits when its input closes.
"""

import json
import random
import resource
import sys
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

KEYS = FleetKeys('k1', {'k1': b'bench-fleet-key-0'})
SERVERS_PER_NODE = 16
SERVICE_COUNT = 260
FAILURE_DOMAIN_COUNT = 12
REGION_COUNT = 3
# Servers start within 10 minutes of their node. Incarnations count 1/65,536 ms.
_MAX_START_DELAY = 600_000 * 65536


def make_record(
    index: int,
    address: Address,
    incarnation: int,
    servers: int = SERVERS_PER_NODE,
) -> NodeRecord:
    """Return the record of a node in a fleet of the design size.

    :param index: number of the node; determines region, failure domain and
        services.
    :param address: peer address of the node; its ingress has the next port.
    :param incarnation: of the node; those of its servers are later.
    :param servers: number of servers.
    """
    rng = random.Random(index)
    records = tuple(
        ServerRecord(
            name=f'booking-{number}',
            service=f'service-{(index * servers + number) % SERVICE_COUNT}',
            slots=4,
            incarnation=incarnation + rng.randrange(_MAX_START_DELAY),
            state=ServerState.READY,
        )
        for number in range(servers)
    )
    return NodeRecord(
        node_id=f'reykjanes-a-{index}',
        incarnation=incarnation,
        version=1,
        region=f'region-{index % REGION_COUNT}',
        failure_domain=f'domain-{index % FAILURE_DOMAIN_COUNT}',
        ingress=attrs.evolve(address, port=address.port + 1),
        peer=address,
        state=NodeState.READY,
        servers=records,
    )


class PartitionedEndpoint(Endpoint):
    """An endpoint that drops datagrams to blocked addresses."""

    def __init__(self, address: Address, *arguments: object) -> None:
        """Create an endpoint without blocked addresses."""
        super().__init__(address, *arguments)
        self.blocked_addresses: frozenset[Address] = frozenset()

    def send_signed(self, address: Address, datagram: object) -> int:
        """Send a datagram, or drop it if the address is blocked.

        :returns: bytes of the datagram, or of its payload if it was dropped.
        """
        if address in self.blocked_addresses:
            return len(datagram.payload)
        return super().send_signed(address, datagram)


class ControlPlaneNode:
    """A node with only a directory, an endpoint and gossip."""

    def __init__(self, index: int, base_port: int, incarnation: int) -> None:
        """Create the node with port ``base_port + index``."""
        self._base_port = base_port
        address = Address('127.0.0.1', base_port + index)
        record = make_record(index, address, incarnation)
        self.endpoint = PartitionedEndpoint(
            address, KEYS, record.node_id, incarnation, Metrics()
        )
        self.directory = Directory(record, SystemClock())
        self.gossip = Gossip(
            self.directory, self.endpoint, SystemClock(), random.Random(index)
        )
        self.gossip.listeners.config.append(self._adopt_version)
        self.directory.subscribe(self._record_reachability)
        self._adopted_at: dict[int, float] = {}
        self._unreachable_since: dict[str, float] = {}

    def run(self) -> None:
        """Execute commands until the input closes."""
        seeds = range(3)
        self.gossip.set_seeds(
            Address('127.0.0.1', self._base_port + seed) for seed in seeds
        )
        self.endpoint.start()
        self.gossip.start()
        for line in sys.stdin:
            name, *numbers = line.split()
            reply = getattr(self, f'do_{name}')(*map(int, numbers))
            sys.stdout.write(f'{json.dumps(reply)}\n')
            sys.stdout.flush()

    def do_stats(self) -> dict[str, object]:
        """Return counters since the start and the state of the directory."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            'at': time.monotonic(),
            'cpu': usage.ru_utime + usage.ru_stime,
            'resident': _read_resident(),
            'sent': dict(self.endpoint.bytes_sent),
            'received': dict(self.endpoint.bytes_received),
            'count': self.directory.count,
            'hash': self.directory.hash,
            'unreachable': sum(
                not self.directory.is_reachable(each.node_id)
                for each in self.directory.nodes()
            ),
        }

    def do_configure(self, version: int) -> float:
        """Adopt a version before any other node does.

        :returns: time of the adoption, monotonic seconds.
        """
        self.gossip.set_config_version(version)
        return time.monotonic()

    def do_adopted(self, version: int) -> float | None:
        """Return the monotonic time at which a version was adopted."""
        return self._adopted_at.get(version)

    def do_lost(self, index: int) -> float | None:
        """Return the monotonic time since which a node is unreachable."""
        return self._unreachable_since.get(f'reykjanes-a-{index}')

    def do_cut(self, first: int, last: int) -> None:
        """Drop datagrams to nodes ``first`` up to, not including, ``last``.

        Replaces the former range; an empty range blocks no node.
        """
        self.endpoint.blocked_addresses = frozenset(
            Address('127.0.0.1', self._base_port + index)
            for index in range(first, last)
        )

    def do_change(self, number: int) -> None:
        """Switch a server between ready and ejected."""
        name = f'booking-{number % SERVERS_PER_NODE}'
        state = self.directory.local_record.find_server(name).state
        ready = state is ServerState.READY
        self.directory.set_server_state(
            name, ServerState.EJECTED if ready else ServerState.READY
        )

    def _adopt_version(self, version: int, peer: str, address: Address) -> None:
        self._adopted_at[version] = time.monotonic()
        self.gossip.set_config_version(version)

    def _record_reachability(self, record: NodeRecord) -> None:
        if self.directory.is_reachable(record.node_id):
            self._unreachable_since.pop(record.node_id, None)
        else:
            self._unreachable_since.setdefault(record.node_id, time.monotonic())


def _read_resident() -> int:
    with open('/proc/self/statm', encoding='ascii') as statm:
        page_count = int(statm.read().split()[1])
    return page_count * resource.getpagesize()


if __name__ == '__main__':
    ControlPlaneNode(*map(int, sys.argv[1:])).run()
