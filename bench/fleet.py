"""Runs a fleet on this machine as separate processes."""

import contextlib
import json
import pathlib
import secrets
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence

import attrs
import urllib3

from godwitknot.units import Address
from standins.ports import reserve_addresses

TOKEN = 'operator-token-for-benches'
_HOST = '127.0.0.1'
_KEY = secrets.token_hex(16)
_START_SECONDS = 30.0
_STOP_SECONDS = 20.0
_POLL_SECONDS = 0.1


@attrs.frozen
class ServerPlan:
    """The settings of a fake backend server.

    :param service_ms: service time of each request.
    """

    name: str
    service: str
    slots: int = 4
    service_ms: float = 10


@attrs.frozen
class NodePlan:
    """The settings of a node and of its servers."""

    node_id: str
    region: str
    failure_domain: str
    servers: tuple[ServerPlan, ...]


@attrs.define(eq=False)
class RunningNode:
    """The addresses and the process of a node.

    :param servers: address of each fake server by name.
    """

    plan: NodePlan
    ingress: Address
    peer: Address
    operator: Address
    servers: dict[str, Address]
    settings: pathlib.Path
    process: subprocess.Popen | None = None


class Fleet:
    """A platform stand-in, fake servers and nodes as processes."""

    def __init__(self, plans: Sequence[NodePlan], poll: str = '2s') -> None:
        """Write the settings; nothing runs yet.

        :param poll: interval at which nodes poll the store.
        """
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='godwitknot-'))
        self.http = urllib3.PoolManager(retries=False, maxsize=64)
        self.platform = reserve_addresses(1)[0]
        self._poll = poll
        self._stand_ins: list[subprocess.Popen] = []
        self._log_file = (self.folder / 'processes.log').open('ab')
        addresses = iter(reserve_addresses(_count_ports(plans)))
        self.nodes = {
            plan.node_id: self._plan_node(plan, addresses) for plan in plans
        }
        seeds = [str(node.peer) for node in self.nodes.values()][:3]
        for node in self.nodes.values():
            node.settings.write_text(self._format_settings(node, seeds))

    @property
    def log_path(self) -> pathlib.Path:
        """Standard output and standard error of all processes."""
        return self.folder / 'processes.log'

    def start(self) -> None:
        """Start everything and wait until the nodes listen."""
        self._stand_ins.append(
            self._run(
                'standins.commands',
                'platform',
                '--address',
                str(self.platform),
            ),
        )
        for node in self.nodes.values():
            self._stand_ins.extend(self._start_servers(node))
        self.wait_for(self.platform)
        for node in self.nodes.values():
            self.start_node(node.plan.node_id)
        for node in self.nodes.values():
            self.wait_for(node.operator)

    def start_node(self, node_id: str) -> None:
        """Start one node."""
        node = self.nodes[node_id]
        node.process = self._run('godwitknot', 'node', str(node.settings))

    def __enter__(self) -> 'Fleet':
        """Start the fleet; stop it if that fails."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop."""
        self.stop()

    def stop(self) -> list[int]:
        """Stop everything.

        :returns: exit codes of the nodes.
        """
        running = [node.process for node in self.nodes.values()]
        codes = _end_processes([each for each in running if each])
        _end_processes(self._stand_ins)
        self._log_file.close()
        return codes

    def apply(self, path: pathlib.Path, node_id: str) -> None:
        """Apply a declaration with the command-line client."""
        self.command(node_id, 'apply', str(path), '--wait')

    def command(self, node_id: str, *words: str) -> str:
        """Run an operator command against a node.

        :returns: its standard output.
        :raises subprocess.CalledProcessError: if it fails.
        """
        done = self.try_command(node_id, *words)
        done.check_returncode()
        return done.stdout

    def try_command(
        self,
        node_id: str,
        *words: str,
    ) -> subprocess.CompletedProcess:
        """Run an operator command and return its result, failed or not."""
        access = self.folder / f'{node_id}-access.ini'
        operator = self.nodes[node_id].operator
        access.write_text(
            f'[operator]\naddress = {operator}\ntoken = {TOKEN}\nname = bench\n'
        )
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'godwitknot',
                '--access',
                str(access),
                *words,
            ],
            capture_output=True,
            text=True,
        )

    def request(
        self,
        node_id: str,
        method: str,
        path: str,
        **options: object,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the ingress of a node."""
        url = f'http://{self.nodes[node_id].ingress}{path}'
        return self.http.request(method, url, **options)

    def set_faults(self, node_id: str, server: str, **faults: object) -> None:
        """Replace the faults of a fake server; none without arguments."""
        address = self.nodes[node_id].servers[server]
        body = json.dumps(faults).encode()
        self.http.request('PUT', f'http://{address}/_faults', body=body)

    def list_runs(self, node_id: str, server: str) -> list[dict]:
        """Return the executions of a fake server, in order."""
        address = self.nodes[node_id].servers[server]
        return self.http.request('GET', f'http://{address}/_runs').json()

    def set_platform_faults(self, **faults: object) -> None:
        """Change faults of the platform stand-in."""
        body = json.dumps(faults).encode()
        self.http.request('POST', f'http://{self.platform}/faults', body=body)

    def status(self, node_id: str) -> dict:
        """Return the data that ``godwitknot status`` shows."""
        url = f'http://{self.nodes[node_id].operator}/status'
        fields = {'Authorization': f'Bearer {TOKEN}'}
        return self.http.request('GET', url, headers=fields).json()

    def wait_for(self, address: Address) -> None:
        """Wait until something listens at an address.

        :raises TimeoutError: if nothing listens in time.
        """
        deadline = time.monotonic() + _START_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                socket.create_connection(address.pair, timeout=1).close()
                return
            time.sleep(_POLL_SECONDS)
        raise TimeoutError(str(address))

    def _plan_node(
        self,
        plan: NodePlan,
        addresses: Iterator[Address],
    ) -> RunningNode:
        return RunningNode(
            plan,
            next(addresses),
            next(addresses),
            next(addresses),
            {server.name: next(addresses) for server in plan.servers},
            self.folder / f'{plan.node_id}.ini',
        )

    def _start_servers(self, node: RunningNode) -> list[subprocess.Popen]:
        """Start one process for each service time of the node's servers."""
        started = []
        service_times = {each.service_ms for each in node.plan.servers}
        for milliseconds in service_times:
            words = ['backend', '--service-ms', str(milliseconds)]
            for server in node.plan.servers:
                if server.service_ms == milliseconds:
                    address = node.servers[server.name]
                    words.extend(['--server', f'{server.name}={address}'])
            started.append(self._run('standins.commands', *words))
        return started

    def _run(self, module: str, *words: str) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, '-m', module, *words],
            stdout=self._log_file,
            stderr=self._log_file,
        )

    def _format_settings(self, node: RunningNode, seeds: list[str]) -> str:
        plan = node.plan
        lines = [
            '[node]',
            f'id = {plan.node_id}',
            f'region = {plan.region}',
            f'failure-domain = {plan.failure_domain}',
            f'ingress = {node.ingress}',
            f'peer = {node.peer}',
            f'operator = {node.operator}',
            f'operator-token = {TOKEN}',
            f'seeds = {", ".join(seeds)}',
            f'poll-interval = {self._poll}',
            'log-format = json',
            '[store]',
            f'tables = {self.platform}',
            f'objects = {self.platform}',
            'timeout = 1s',
            '[keys]',
            'current = k1',
            f'k1 = {_KEY}',
        ]
        for server in plan.servers:
            lines.extend(
                [
                    f'[server {server.name}]',
                    f'service = {server.service}',
                    f'address = {node.servers[server.name]}',
                    f'slots = {server.slots}',
                ],
            )
        return '\n'.join(lines)


def _count_ports(plans: Sequence[NodePlan]) -> int:
    return sum(3 + len(plan.servers) for plan in plans)


def _end_processes(processes: list[subprocess.Popen]) -> list[int]:
    for process in processes:
        process.terminate()
    deadline = time.monotonic() + _STOP_SECONDS
    for process in processes:
        try:
            process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
    return [process.returncode for process in processes]
