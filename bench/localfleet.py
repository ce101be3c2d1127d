"""A fleet on this machine: real nodes, fake servers and a fake platform.

The nodes are processes of their own. The fake servers and the platform run
in threads of the caller, who can switch their faults on directly.
"""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence

import attrs
import urllib3

from godwitknot.units import Address
from standins.backend import FakeServer, FakeServerHost
from standins.platform import PlatformApplication, build_server

LOOPBACK = '127.0.0.1'
TOKEN = 'token-of-a-local-fleet'
_KEY = '00112233445566778899aabbccddeeff'
_WAIT_SECONDS = 60.0
_POLL_SECONDS = 0.1
_STOP_SECONDS = 30.0
_OK = 200
# Below the range that outgoing connections take their ports from.
_PORTS = iter(range(20000 + os.getpid() % 100 * 100, 32000))


class LocalFleetError(Exception):
    """Something did not happen in time."""


@attrs.frozen
class NodePlan:
    """One node to start.

    :param servers: services by server name.
    """

    node_id: str
    region: str
    failure_domain: str
    servers: dict[str, str]


@attrs.define(eq=False)
class RunningNode:
    """A node with its addresses; ``process`` is ``None`` if it is not up."""

    plan: NodePlan
    settings: pathlib.Path
    ingress: Address
    peer: Address
    operator: Address
    process: subprocess.Popen | None = None


@attrs.frozen
class Finished:
    """A command that has ended.

    :param code: exit code.
    :param text: standard output, then standard error.
    """

    code: int
    text: str


def wait_until(holds: Callable[[], bool], what: str) -> None:
    """Wait until something holds.

    :raises LocalFleetError: after 60 s, with ``what``.
    """
    deadline = time.monotonic() + _WAIT_SECONDS
    while not holds():
        if time.monotonic() > deadline:
            raise LocalFleetError(f'in vain: {what}')
        time.sleep(_POLL_SECONDS)


class LocalFleet:
    """Starts and ends everything; use as a context manager."""

    def __init__(
        self,
        directory: pathlib.Path,
        plans: Sequence[NodePlan],
        service_seconds: float = 0.005,
    ) -> None:
        """Prepare a fleet; nothing is started yet.

        :param directory: for settings and logs.
        :param service_seconds: mean service time of the fake servers.
        """
        self.directory = directory
        self.platform = PlatformApplication()
        self.servers = FakeServerHost()
        self.http = urllib3.PoolManager(retries=False, maxsize=32)
        self._service_seconds = service_seconds
        self._store = build_server(Address(LOOPBACK, 0), self.platform)
        self.nodes = {plan.node_id: self._prepare(plan) for plan in plans}

    def __enter__(self) -> 'LocalFleet':
        """Start the platform, the servers and all nodes."""
        self._store.prepare()
        threading.Thread(target=self._store.serve, daemon=True).start()
        for node in self.nodes.values():
            self._write_settings(node)
        for node_id in self.nodes:
            self.start_node(node_id)
        return self

    def __exit__(self, *_exception: object) -> None:
        """End all processes and servers."""
        for node_id in self.nodes:
            self.signal_node(node_id, signal.SIGTERM)
        for node in self.nodes.values():
            _end_process(node)
        self.servers.stop()
        self._store.stop()

    def start_node(self, node_id: str) -> None:
        """Start the process of a node and wait for its operator port."""
        node = self.nodes[node_id]
        with (self.directory / f'{node_id}.log').open('ab') as log:
            node.process = subprocess.Popen(
                [sys.executable, '-m', 'godwitknot', 'node', node.settings],
                stdout=log,
                stderr=log,
            )
        wait_until(
            lambda: self._answers(f'http://{node.operator}/status'),
            f'{node_id} serves its operator port',
        )

    def signal_node(self, node_id: str, number: signal.Signals) -> None:
        """Send a signal to the process of a node, if it is up."""
        process = self.nodes[node_id].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def wait_ready(self) -> None:
        """Wait until each node that is up takes requests of callers."""
        wait_until(
            lambda: all(map(self._is_ready, self.nodes.values())),
            'all nodes are ready',
        )

    def command(
        self,
        node_id: str,
        *arguments: str,
        name: str = 'mies',
    ) -> Finished:
        """Run ``godwitknot`` against the operator port of a node."""
        process = self.start_command(node_id, *arguments, name=name)
        out, err = process.communicate(timeout=_WAIT_SECONDS)
        return Finished(process.returncode, out + err)

    def start_command(
        self,
        node_id: str,
        *arguments: str,
        name: str = 'mies',
    ) -> subprocess.Popen:
        """Start ``godwitknot`` and do not wait for it."""
        environment = {
            **os.environ,
            'GODWITKNOT_OPERATOR': str(self.nodes[node_id].operator),
            'GODWITKNOT_TOKEN': TOKEN,
            'GODWITKNOT_NAME': name,
        }
        return subprocess.Popen(
            [sys.executable, '-m', 'godwitknot', *arguments],
            cwd=self.directory,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def request(
        self,
        node_id: str,
        method: str,
        path: str,
        **options: object,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request as a caller to the ingress of a node."""
        url = f'http://{self.nodes[node_id].ingress}{path}'
        return self.http.request(method, url, redirect=False, **options)

    def _is_ready(self, node: RunningNode) -> bool:
        if node.process is None or node.process.poll() is not None:
            return True
        return self._answers(f'http://{node.ingress}/.godwitknot/ready')

    def _answers(self, url: str) -> bool:
        headers = {'Authorization': f'Bearer {TOKEN}'}
        try:
            return self.http.request('GET', url, headers=headers).status == _OK
        except urllib3.exceptions.HTTPError:
            return False

    def _prepare(self, plan: NodePlan) -> RunningNode:
        settings = self.directory / f'{plan.node_id}.ini'
        return RunningNode(
            plan, settings, free_address(), free_address(), free_address()
        )

    def _write_settings(self, node: RunningNode) -> None:
        plan = node.plan
        seeds = [str(other.peer) for other in self.nodes.values()]
        seeds.remove(str(node.peer))
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
            'poll-interval = 1s',
            '[store]',
            f'tables = {LOOPBACK}:{self._store.bind_addr[1]}',
            f'objects = {LOOPBACK}:{self._store.bind_addr[1]}',
            '[keys]',
            'current = k1',
            f'k1 = {_KEY}',
        ]
        for name, service in plan.servers.items():
            address = free_address()
            server = FakeServer(name, service_seconds=self._service_seconds)
            self.servers.add(server, address)
            lines.extend(
                (
                    f'[server {name}]',
                    f'service = {service}',
                    f'address = {address}',
                )
            )
        node.settings.write_text('\n'.join(lines), encoding='utf-8')


def free_address() -> Address:
    """Find a port that is free for TCP and UDP, each time another one."""
    for port in _PORTS:
        if _is_free(port):
            return Address(LOOPBACK, port)
    raise LocalFleetError('no free port')


def _is_free(port: int) -> bool:
    with (
        socket.socket() as stream,
        socket.socket(type=socket.SOCK_DGRAM) as datagrams,
    ):
        try:
            stream.bind((LOOPBACK, port))
            datagrams.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def _end_process(node: RunningNode) -> None:
    if node.process is None:
        return
    try:
        node.process.wait(_STOP_SECONDS)
    except subprocess.TimeoutExpired:
        node.process.kill()
        node.process.wait()
