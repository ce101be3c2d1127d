"""One control-plane process of ``bench.slopes``.

It reads commands from standard input, one a line, and answers each with a
line of JSON on standard output. It ends when its input closes.
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
SERVERS = 16
SERVICES = 260
DOMAINS = 12
REGIONS = 3
# Servers start within 10 minutes of their node; 65,536 to the millisecond.
_START_SPREAD = 600_000 * 65536


def make_record(
    index: int, address: Address, incarnation: int, servers: int = SERVERS
) -> NodeRecord:
    """Make a record as it is at the design size.

    :param index: number of the node; gives region, domain and services.
    """
    rng = random.Random(index)
    made = tuple(
        ServerRecord(
            name=f'booking-{number}',
            service=f'service-{(index * servers + number) % SERVICES}',
            slots=4,
            incarnation=incarnation + rng.randrange(_START_SPREAD),
            state=ServerState.READY,
        )
        for number in range(servers)
    )
    return NodeRecord(
        node_id=f'reykjanes-a-{index}',
        incarnation=incarnation,
        version=1,
        region=f'region-{index % REGIONS}',
        failure_domain=f'domain-{index % DOMAINS}',
        ingress=attrs.evolve(address, port=address.port + 1),
        peer=address,
        state=NodeState.READY,
        servers=made,
    )


class PartitionedEndpoint(Endpoint):
    """An endpoint that loses datagrams to one part of the fleet."""

    def __init__(self, address: Address, *others: object) -> None:
        """Start with all addresses in reach."""
        super().__init__(address, *others)
        self.cut: frozenset[Address] = frozenset()

    def send_signed(self, address: Address, datagram: object) -> int:
        """Send, unless the address is cut off."""
        if address in self.cut:
            return len(datagram.payload)
        return super().send_signed(address, datagram)


class Worker:
    """A node's directory, endpoint and gossip."""

    def __init__(self, index: int, base_port: int, incarnation: int) -> None:
        """Build the node; it listens on ``base_port + index``."""
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
        self.gossip.listeners.config.append(self._adopt)
        self.directory.subscribe(self._note_reach)
        self._adopted: dict[int, float] = {}
        self._lost: dict[str, float] = {}

    def run(self) -> None:
        """Answer commands until the input ends."""
        seeds = range(3)
        self.gossip.set_seeds(
            Address('127.0.0.1', self._base_port + seed) for seed in seeds
        )
        self.endpoint.start()
        self.gossip.start()
        for line in sys.stdin:
            name, *numbers = line.split()
            answer = getattr(self, f'do_{name}')(*map(int, numbers))
            sys.stdout.write(f'{json.dumps(answer)}\n')
            sys.stdout.flush()

    def do_stats(self) -> dict[str, object]:
        """Give counters since the start and the state of the directory."""
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
        """Adopt a version as its first node; give the time."""
        self.gossip.set_config_version(version)
        return time.monotonic()

    def do_adopted(self, version: int) -> float | None:
        """Give the time at which a version was adopted."""
        return self._adopted.get(version)

    def do_lost(self, index: int) -> float | None:
        """Give the time at which a node became unreachable here."""
        return self._lost.get(f'reykjanes-a-{index}')

    def do_cut(self, first: int, last: int) -> None:
        """Lose all datagrams to some nodes; to none if there are none."""
        self.endpoint.cut = frozenset(
            Address('127.0.0.1', self._base_port + index)
            for index in range(first, last)
        )

    def do_change(self, number: int) -> None:
        """Change the state of a server."""
        name = f'booking-{number % SERVERS}'
        state = self.directory.local_record.find_server(name).state
        ready = state is ServerState.READY
        self.directory.set_server_state(
            name, ServerState.EJECTED if ready else ServerState.READY
        )

    def _adopt(self, version: int, peer: str, address: Address) -> None:
        self._adopted[version] = time.monotonic()
        self.gossip.set_config_version(version)

    def _note_reach(self, record: NodeRecord) -> None:
        if self.directory.is_reachable(record.node_id):
            self._lost.pop(record.node_id, None)
        else:
            self._lost.setdefault(record.node_id, time.monotonic())


def _read_resident() -> int:
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize()


if __name__ == '__main__':
    Worker(*map(int, sys.argv[1:])).run()
