"""The fleet of a soak run, and what its parts observed."""

import contextlib
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence

import urllib3

from bench.fleet import (
    Fleet,
    NodePlan,
    RunningNode,
    ServerPlan,
)
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
_FAST = (
    ('poll-interval = 2s', 'poll-interval = 500ms'),
    ('timeout = 1s', 'timeout = 500ms'),
)


class RecordingTables(MemoryTables):
    """Rows that note when a claim took effect."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self.claims: list[ClaimRecord] = []

    def write(self, writes: Sequence[Write]) -> None:
        """Apply writes and note the claims among them."""
        super().write(writes)
        for write in writes:
            if write.columns.get('state') == ClaimState.CLAIMED:
                key = write.key.rpartition('/')[2]
                self.claims.append(ClaimRecord(key, time.time()))


class SoakFleet(Fleet):
    """Three nodes; the ways to nodes, servers and the store can be cut.

    The servers and the platform run in threads of this process, which
    records what they do and switches their faults.
    """

    def __init__(self, variant: str) -> None:
        """Prepare the fleet.

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
        """Start everything and wait until each node knows all servers."""
        self._store.prepare()
        threading.Thread(target=self._store.serve, daemon=True).start()
        for node in self.nodes.values():
            for name, address in node.servers.items():
                server = FakeServer(name, service_seconds=_SERVICE_SECONDS)
                self.servers.add(server, address)
            self._cut_in(node)
            self._advertised[node.plan.node_id] = self._cut(node.peer)
            self.start_node(node.plan.node_id)
        self._wait(self._knows_all, 'all nodes know all servers')

    def start_node(self, node_id: str) -> None:
        """Start the process of a node; does not wait for it."""
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
        """End everything and remove the files."""
        for node_id in self.nodes:
            self.kill_node(node_id)
        codes = super().stop()
        self.servers.stop()
        self._store.stop()
        shutil.rmtree(self.folder)
        return codes

    def kill_node(self, node_id: str) -> None:
        """End a node at once."""
        process = self.nodes[node_id].process
        if process is not None:
            process.kill()
            process.wait()

    def signal_node(self, node_id: str, number: signal.Signals) -> None:
        """Send a signal to the process of a node, if it is up."""
        process = self.nodes[node_id].process
        if process.poll() is None:
            process.send_signal(number)

    def wait_ready(self) -> None:
        """Wait until each node takes requests of callers."""
        self._wait(self._is_ready, 'all nodes are ready')

    def list_all_runs(self) -> list[RunRecord]:
        """Give what all fake servers ran."""
        return [
            RunRecord(name, run.at, run.request_id, run.key, run.body)
            for name, server in self.servers.servers.items()
            for run in list(server.executions)
        ]

    def _wait(self, holds: Callable[[RunningNode], bool], what: str) -> None:
        deadline = time.monotonic() + _WAIT_SECONDS
        while not all(map(holds, self.nodes.values())):
            if time.monotonic() > deadline:
                raise TimeoutError(what)
            time.sleep(_POLL_SECONDS)

    def _knows_all(self, node: RunningNode) -> bool:
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

    def _cut_in(self, node: RunningNode) -> None:
        """Route the store and the server through faulty links."""
        text = node.settings.read_text(encoding='utf-8')
        for slow, fast in _FAST:
            text = text.replace(slow, fast)
        lines = []
        for line in text.splitlines():
            name, _, place = line.partition(' = ')
            if name in {'tables', 'address'}:
                lines.append(f'{name} = {self._cut(parse_address(place))}')
            else:
                lines.append(line)
        node.settings.write_text('\n'.join(lines), encoding='utf-8')

    def _cut(self, target: Address) -> Address:
        address = reserve_addresses(1)[0]
        link = FaultyLink(address, target)
        link.start()
        self.links.append(link)
        return address


def _plan_node(number: int) -> NodePlan:
    server = ServerPlan(f's{number}', SERVICE)
    domain = f'reykjanes-{number}'
    return NodePlan(f'n{number}', 'reykjanes', domain, (server,))
