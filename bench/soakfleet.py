"""The fleet of a soak run, which records the runs and claims that it saw."""

import contextlib
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence

import urllib3

from bench.fleet import Fleet, NodePlan, RunningNode, ServerPlan
from bench.histories import ClaimRecord, RunRecord
from godwitknot.atmostonce.claimrows import ClaimState
from godwitknot.storage.store import Write
from godwitknot.units import Address, parse_address
from standins.backend import FakeServer, FakeServerHost
from standins.faultylink import FaultyLink
from standins.memorystore import MemoryTables
from standins.platform import PlatformApplication, build_server
from standins.ports import reserve_addresses

SERVICE = 'booking'
DECLARATION = """
[fleet]
owner = soak

[service booking]
floor = 1

[class lookup]
service = booking
match = GET /slots/*
success = 99%
latency = 95% within 400ms
timeout = 4s

[class book]
service = booking
match = POST /bookings
success = 99%
latency = 95% within 400ms
timeout = 4s
never-repeat = yes
"""
_NODES = 3
_SERVICE_SECONDS = 0.02
_WAIT_SECONDS = 60.0
_POLL_SECONDS = 0.1
_OK = 200
_SHORTER_INTERVALS = (
    ('poll-interval = 2s', 'poll-interval = 500ms'),
    ('timeout = 1s', 'timeout = 500ms'),
)


class RecordingTables(MemoryTables):
    """In-memory tables that record when each claim took effect."""

    def __init__(self) -> None:
        """Create empty tables without recorded claims."""
        super().__init__()
        self.claims: list[ClaimRecord] = []

    def write(self, writes: Sequence[Write]) -> None:
        """Apply writes and record the claims among them."""
        super().write(writes)
        for write in writes:
            if write.columns.get('state') == ClaimState.CLAIMED:
                key = write.key.rpartition('/')[2]
                self.claims.append(ClaimRecord(key, time.time()))


class SoakFleet(Fleet):
    """Three nodes; links to nodes, servers and the store can be cut.

    The servers and the platform run in threads of this process, so that it
    can record their activity and switch their faults.
    """

    def __init__(self, variant: str) -> None:
        """Set up the fleet; nothing runs yet.

        :param variant: of the nodes, see :mod:`bench.soaknode`.
        """
        super().__init__([_plan_node(number) for number in range(_NODES)])
        self.application = PlatformApplication()
        self.tables = RecordingTables()
        self.application.tables = self.tables
        self.servers = FakeServerHost()
        self.links: list[FaultyLink] = []
        self._advertised: dict[str, Address] = {}
        self._variant = variant
        self._store = build_server(self.platform, self.application)

    def start(self) -> None:
        """Start everything and wait until each node lists all servers."""
        self._store.prepare()
        threading.Thread(target=self._store.serve, daemon=True).start()
        for node in self.nodes.values():
            for name, address in node.servers.items():
                server = FakeServer(name, service_seconds=_SERVICE_SECONDS)
                self.servers.add(server, address)
            self._insert_cutters(node)
            self._advertised[node.plan.node_id] = self._start_cutter(node.peer)
            self.start_node(node.plan.node_id)
        self._wait(
            self._lists_all_servers, 'not all nodes list all servers as ready'
        )

    def start_node(self, node_id: str) -> None:
        """Start the process of a node without waiting for it."""
        node = self.nodes[node_id]
        words = (
            '-m',
            'bench.soaknode',
            str(node.settings),
            str(self._advertised[node_id]),
            self._variant,
        )
        with self.log_path.open('ab') as log:
            node.process = subprocess.Popen(
                [sys.executable, *words], stdout=log, stderr=log
            )

    def stop(self) -> list[int]:
        """Stop all processes and threads and remove the files.

        :returns: exit codes of the nodes.
        """
        for node_id in self.nodes:
            self.kill_node(node_id)
        codes = super().stop()
        self.servers.stop()
        self._store.stop()
        shutil.rmtree(self.folder)
        return codes

    def kill_node(self, node_id: str) -> None:
        """Kill the process of a node and wait for its exit."""
        process = self.nodes[node_id].process
        if process is not None:
            process.kill()
            process.wait()

    def signal_node(self, node_id: str, number: signal.Signals) -> None:
        """Send a signal to the process of a node, if it is running."""
        process = self.nodes[node_id].process
        if process.poll() is None:
            process.send_signal(number)

    def wait_ready(self) -> None:
        """Wait until each node accepts requests from callers."""
        self._wait(self._is_ready, 'not all nodes are ready')

    def list_all_runs(self) -> list[RunRecord]:
        """Return the executions of all fake servers."""
        return [
            RunRecord(name, run.at, run.request_id, run.key, run.body)
            for name, server in self.servers.servers.items()
            for run in list(server.executions)
        ]

    def _wait(
        self, condition: Callable[[RunningNode], bool], failure: str
    ) -> None:
        deadline = time.monotonic() + _WAIT_SECONDS
        while not all(map(condition, self.nodes.values())):
            if time.monotonic() > deadline:
                raise TimeoutError(failure)
            time.sleep(_POLL_SECONDS)

    def _lists_all_servers(self, node: RunningNode) -> bool:
        with contextlib.suppress(urllib3.exceptions.HTTPError, KeyError):
            status = self.status(node.plan.node_id)
            states = [server['state'] for server in status['servers']]
            return states.count('ready') == _NODES
        return False

    def _is_ready(self, node: RunningNode) -> bool:
        url = f'http://{node.ingress}/.godwitknot/ready'
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.http.request('GET', url).status == _OK
        return False

    def _insert_cutters(self, node: RunningNode) -> None:
        """Route the links to the store and to the server through cutters."""
        text = node.settings.read_text(encoding='utf-8')
        for default, shorter in _SHORTER_INTERVALS:
            text = text.replace(default, shorter)
        lines = []
        for line in text.splitlines():
            name, _, value = line.partition(' = ')
            if name in {'tables', 'address'}:
                lines.append(
                    f'{name} = {self._start_cutter(parse_address(value))}'
                )
            else:
                lines.append(line)
        node.settings.write_text('\n'.join(lines), encoding='utf-8')

    def _start_cutter(self, target: Address) -> Address:
        address = reserve_addresses(1)[0]
        link = FaultyLink(address, target)
        link.start()
        self.links.append(link)
        return address


def _plan_node(number: int) -> NodePlan:
    server = ServerPlan(f's{number}', SERVICE)
    domain = f'reykjanes-{number}'
    return NodePlan(f'n{number}', 'reykjanes', domain, (server,))
