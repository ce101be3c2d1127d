"""An ingress, sidecars and fake servers in one process, over real sockets."""

import contextlib
import itertools
import socket
import threading

from godwitknot.atmostonce.claims import ClaimManager
from godwitknot.atmostonce.issuedkeys import IssuedKeyRegistry
from godwitknot.atmostonce.keyedexecutor import KeyedExecutor, Sibling
from godwitknot.atmostonce.tickets import Owner, TicketIssuer
from godwitknot.clock import SystemClock
from godwitknot.control.records import (
    NodeRecord,
    NodeState,
    ServerRecord,
    ServerState,
)
from godwitknot.declarations.declaration import parse_declaration
from godwitknot.declarations.routes import RouteTable
from godwitknot.declarations.settings import ServerSection
from godwitknot.keys import FleetKeys
from godwitknot.metrics import Metrics
from godwitknot.proxying.attempts import AttemptLog
from godwitknot.proxying.balancer import LoadBalancer, Target
from godwitknot.proxying.dispatch import Dispatcher
from godwitknot.proxying.ingress import (
    Accounting,
    IngressApp,
    IngressConfiguration,
)
from godwitknot.proxying.keydispatch import KeyDispatcher, OwnerFinder
from godwitknot.proxying.peerapp import PeerApp
from godwitknot.proxying.peerlink import PeerLink
from godwitknot.proxying.sidecar import Sidecar
from godwitknot.servers.upstream import RunObserver, UpstreamServer
from godwitknot.storage.writebudget import WriteBudget
from godwitknot.units import Address
from godwitknot.web.httpserver import NodeServer
from standins.backend import FakeServer, FakeServerHost
from standins.memorystore import MemoryTables

DECLARATION = """
[fleet]
owner = tests

[service shop]
floor = 1

[class browse]
service = shop
match = GET,HEAD,POST,PUT /*
success = 99%
latency = 95% within 400ms
timeout = 5s

[class reserve]
service = shop
match = POST /reservations
success = 99%
latency = 95% within 400ms
timeout = 5s
never-repeat = yes
"""


def free_address() -> Address:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return Address(*probe.getsockname())


class RoundRobinBalancer(LoadBalancer):
    """Returns the untried targets in turn."""

    def __init__(self, targets):
        self.targets = list(targets)
        self._counter = itertools.count()

    def choose(self, query):
        start = next(self._counter) % len(self.targets)
        for target in self.targets[start:] + self.targets[:start]:
            if target.key not in query.tried:
                return target
        return None

    def locate(self, node_id, server):
        for target in self.targets:
            if target.key == (node_id, server):
                return target
        return None

    def record_sent(self, target):
        """Count nothing."""

    def record_ended(self, target, load):
        """Count nothing."""

    def record_refused(self, target):
        """Keep no state."""

    def record_link_failed(self, target):
        """Keep no state."""

    def record_bytes(self, target, amount):
        """Count nothing."""


class ResultCollector(RunObserver):
    """Appends the results of runs to a list."""

    def __init__(self, results):
        self._results = results

    def record_sent(self, request, *, fresh):
        """Keep nothing."""

    def record_result(self, result):
        self._results.append(result)


class EndCollector(Accounting):
    """Appends the ends of requests to a list."""

    def __init__(self, ends):
        self._end_records = ends

    def record_end(self, incoming, status, seconds, refusal):
        self._end_records.append((incoming, status, refusal))


class AdmitAllSupervisor:
    """A supervisor that admits everything."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.health = self
        self.load = upstream.load

    def admit(self, request):
        """Admit it."""

    def record_unsent(self):
        """Keep no state."""


class DataPlane:
    """One ingress, and a node with one fake server for each name.

    :param local: whether the ingress calls the sidecars without a hop.
    :param via: returns the address to reach a fake server at, given its own.
    """

    def __init__(self, names=('s1', 's2'), local=False, via=None):
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.keys = FleetKeys('k1', {'k1': b'0123456789abcdef'})
        self.host = FakeServerHost()
        self.results = []
        self.tables = MemoryTables()
        self.issuer = TicketIssuer(self.keys, self.clock)
        self.nodes = {}
        self.registries = {}
        self.ended = []
        self.upstreams = {}
        self._servers = []
        self._stopped = threading.Event()
        targets = [self._add_node(name, local, via) for name in names]
        self.balancer = RoundRobinBalancer(targets)
        self.ingress_address = free_address()
        link = PeerLink(self.keys, self.clock, self.metrics)
        self.dispatcher = Dispatcher(
            self.balancer, link, self.sidecar, self.clock, self.metrics
        )
        declaration = parse_declaration(DECLARATION)
        configuration = IngressConfiguration(
            1, RouteTable(declaration), 'X-Account'
        )
        self.ingress = IngressApp(
            self.dispatcher,
            lambda: configuration,
            EndCollector(self.ended),
            self.clock,
            self.metrics,
            KeyDispatcher(
                self.dispatcher,
                self.issuer,
                OwnerFinder('n-ingress', self.nodes.get),
                self.clock,
            ),
        )
        self._serve(self.ingress_address, self.ingress)

    @property
    def url(self):
        return f'http://{self.ingress_address}'

    def fake(self, name):
        return self.host.servers[name]

    def start_housekeeping(self):
        """Start a thread that frees slots, like a node's housekeeping."""

        def run_housekeeping():
            while not self._stopped.wait(0.05):
                for upstream in self.upstreams.values():
                    upstream.free_slots()
                    upstream.cancel_abandoned()

        threading.Thread(target=run_housekeeping, daemon=True).start()

    def stop(self):
        self._stopped.set()
        for server in self._servers:
            server.stop()
        self.host.stop()

    def _add_node(self, name, local, via):
        fake_address = free_address()
        self.host.add(FakeServer(name), fake_address)
        upstream_address = fake_address
        if via is not None:
            upstream_address = via(fake_address)
        section = ServerSection(name, 'shop', upstream_address, 4)
        upstream = UpstreamServer(
            section, self.clock, ResultCollector(self.results)
        )
        self.upstreams[name] = upstream
        self.sidecar = Sidecar(
            1,
            {name: AdmitAllSupervisor(upstream)},
            AttemptLog(self.clock),
            self.metrics,
            self._make_executor(name),
        )
        address = free_address()
        self._add_record(name, address)
        self.peer_app = PeerApp(
            self.sidecar, self.keys, self.clock, self.metrics
        )
        self._serve(address, self.peer_app)
        return Target(f'n-{name}', 1, name, 'shop', address, local)

    def _add_record(self, name, address):
        server = ServerRecord(name, 'shop', 4, 1, ServerState.READY)
        self.nodes[f'n-{name}'] = NodeRecord(
            f'n-{name}',
            1,
            1,
            'region',
            'domain',
            address,
            address,
            NodeState.READY,
            (server,),
        )

    def _make_executor(self, name):
        owner = Owner(f'n-{name}', 1)
        registry = IssuedKeyRegistry(owner, self.clock)
        self.registries[name] = registry
        budget = WriteBudget(1000, self.clock)
        manager = ClaimManager(owner, self.tables, self.clock, budget)
        threading.Thread(
            target=manager.write_responses, args=(self._stopped,), daemon=True
        ).start()
        return KeyedExecutor(
            self.issuer,
            registry,
            manager,
            lambda service: self._find_sibling(name),
            self.clock,
        )

    def _find_sibling(self, name):
        for other in self.registries:
            if other != name:
                return Sibling(Owner(f'n-{other}', 1), other)
        return None

    def _serve(self, address, app):
        server = NodeServer(address, app)
        server.error_log = lambda *args, **kwargs: None
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self._servers.append(server)


@contextlib.contextmanager
def running_plane(**options):
    plane = DataPlane(**options)
    try:
        yield plane
    finally:
        plane.stop()


def exchange_bytes(address, payload, size=65536):
    """Send raw bytes and read until the other side closes."""
    with socket.create_connection(address.pair, timeout=10) as sock:
        sock.sendall(payload)
        parts = []
        while True:
            part = sock.recv(size)
            if not part:
                return b''.join(parts)
            parts.append(part)
