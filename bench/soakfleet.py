"""The fleet of a soak run, and what its parts observed."""

import signal
import subprocess
import sys
import time
from collections.abc import Sequence

from bench.histories import ClaimRecord, RunRecord
from bench.localfleet import (
    LOOPBACK,
    TOKEN,
    LocalFleet,
    NodePlan,
    RunningNode,
    free_address,
    wait_until,
)
from godwitknot.claimrows import ClaimState
from godwitknot.store import Write
from godwitknot.units import Address
from standins.cutter import Cutter
from standins.tables import MemoryTables

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
_PLANS = tuple(
    NodePlan(f'n{n}', 'reykjanes', f'reykjanes-{n}', {f's{n}': SERVICE})
    for n in range(3)
)
_SERVICE_SECONDS = 0.02


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


class SoakFleet(LocalFleet):
    """Three nodes whose ways to their server and to the store can be cut."""

    def __init__(self, directory: object, variant: str) -> None:
        """Prepare the fleet.

        :param variant: of the nodes, see :mod:`bench.soaknode`.
        """
        super().__init__(directory, _PLANS, _SERVICE_SECONDS)
        self.platform.tables = RecordingTables()
        self.cutters: list[Cutter] = []
        self._variant = variant

    def start_node(self, node_id: str) -> None:
        """Start the process of a node; does not wait for it."""
        node = self.nodes[node_id]
        words = ('-m', 'bench.soaknode', str(node.settings), self._variant)
        with (self.directory / f'{node_id}.log').open('ab') as log:
            node.process = subprocess.Popen(
                [sys.executable, *words], stdout=log, stderr=log
            )

    def kill_node(self, node_id: str) -> None:
        """End a node at once."""
        self.signal_node(node_id, signal.SIGKILL)
        self.nodes[node_id].process.wait()

    def wait_serving(self) -> None:
        """Wait until each node listens and knows all servers."""
        wait_until(
            lambda: all(map(self._knows_all, self.nodes.values())),
            'all nodes know all servers',
        )

    def list_runs(self) -> list[RunRecord]:
        """Give what all fake servers ran."""
        return [
            RunRecord(name, run.at, run.request_id, run.key, run.body)
            for name, server in self.servers.servers.items()
            for run in list(server.executions)
        ]

    def _knows_all(self, node: RunningNode) -> bool:
        if not self._answers(f'http://{node.operator}/status'):
            return False
        fields = {'Authorization': f'Bearer {TOKEN}'}
        url = f'http://{node.operator}/status'
        status = self.http.request('GET', url, headers=fields).json()
        states = [server['state'] for server in status['servers']]
        return states.count('ready') == len(_PLANS)

    def _write_settings(self, node: RunningNode) -> None:
        super()._write_settings(node)
        text = node.settings.read_text(encoding='utf-8')
        lines = text.replace('poll-interval = 1s', 'poll-interval = 500ms')
        settings = []
        for line in lines.splitlines():
            name, _, place = line.partition(' = ')
            if name in {'tables', 'address'}:
                settings.append(f'{name} = {self._cut(place)}')
            else:
                settings.append(line)
        settings.insert(settings.index('[keys]'), 'timeout = 500ms')
        node.settings.write_text('\n'.join(settings), encoding='utf-8')

    def _cut(self, place: str) -> Address:
        host, _, port = place.rpartition(':')
        address = free_address()
        cutter = Cutter(address, Address(host or LOOPBACK, int(port)))
        cutter.start()
        self.cutters.append(cutter)
        return address
