"""The fleet of a fault soak, with relays on the paths between processes."""

import contextlib
import itertools
import json
import pathlib
import signal
import subprocess
import threading
import time
from http.client import HTTPException

import attrs

from bench.meshfleet import Fleet, Machine, make_route, wait_until
from godwitknot.units import parse_address
from standins.faultylink import FaultyLink
from standins.ports import reserve_addresses

SERVICES = ('booking', 'booking', 'booking', 'documents', 'documents')
HEARTBEAT_SECONDS = 0.5
# From SIGTERM to SIGKILL, as on the platform.
GRACE_SECONDS = 6.0
_SERVICE_SECONDS = 0.03
_MILLISECONDS = 1000
_RESTART_DELAY_SECONDS = 0.3
_DROPPED_ROWS = 10
# Time in which the feeds of calm nodes deliver a change.
_FEED_SECONDS = 1.0


@attrs.frozen
class Departure:
    """A server whose departure a node acknowledged.

    :param at: monotonic time of the acknowledgement, seconds.
    """

    at: float
    server_id: str


@attrs.frozen
class Exit:
    """The exit of a node process.

    :param expected: exit statuses that the sent signal accounts for.
    """

    node: str
    status: int
    expected: frozenset[int] = frozenset()


class SoakMachine(Machine):
    """A node with relays to the store, to its server and from other nodes."""

    def __init__(self, fleet: 'SoakFleet', number: int, service: str) -> None:
        """Start the relays and the server."""
        super().__init__(fleet, number, service)
        self.server.work_seconds = _SERVICE_SECONDS
        # The path to the server, to the store, and from other nodes.
        self.server_path = self._relay_to(self.server.listen_address)
        self.server.announced_address = str(self.server_path.address)
        self.store_path = self._relay_to(fleet.store_address)
        self.relay_path = self._relay_to(self.address(1))
        self.lock = threading.Lock()
        # A server that leaves without draining sends no more heartbeats.
        self.heartbeats_stopped = False

    @property
    def paths(self) -> tuple[FaultyLink, ...]:
        """The relays to the server, to the store and from other nodes."""
        return (self.server_path, self.store_path, self.relay_path)

    def send_signal(self, number: int) -> None:
        """Signal the process if it is still running."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def reload(self) -> None:
        """Send SIGHUP if the node already handles it.

        It would kill a process that is still loading the program.
        """
        if self._handles_signal(signal.SIGHUP):
            self.send_signal(signal.SIGHUP)

    def expect_exit(self, number: int) -> frozenset[int]:
        """Return the exit statuses that a signal accounts for.

        A process that is still loading the program has no work to finish,
        and the signal kills it.
        """
        if number == signal.SIGTERM and self._handles_signal(number):
            return frozenset((0,))
        return frozenset((0, -number))

    def _handles_signal(self, number: int) -> bool:
        """Return whether the process ignores or catches a signal."""
        path = pathlib.Path(f'/proc/{self.process.pid}/status')
        masks = dict(
            line.split(':', 1) for line in path.read_text().splitlines()
        )
        handled = int(masks['SigIgn'], 16) | int(masks['SigCgt'], 16)
        return bool(handled >> (number - 1) & 1)

    def _relay_to(self, target: str) -> FaultyLink:
        address = reserve_addresses(1)[0]
        link = FaultyLink(address, parse_address(target))
        link.start()
        return link

    def _local_settings(self) -> str:
        local_settings = super()._local_settings()
        return f'{local_settings}[relay]\nlisten = {self.address(1)}\n'

    def _settings(self) -> dict:
        settings = super()._settings()
        settings['listen']['inbound'] = str(self.relay_path.address)
        settings['platform']['address'] = str(self.store_path.address)
        return settings


class SoakFleet(Fleet):
    """Machines, the store, and the heartbeats of all servers."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Set up the machines; no node runs yet."""
        super().__init__(folder)
        self.departures: list[Departure] = []
        self.exits: list[Exit] = []
        # Monotonic time at which the store acknowledged each version.
        self.versions: dict[int, float] = {}
        self._operator_lock = threading.Lock()
        self._restart_numbers = itertools.count(1)
        self._stopped = threading.Event()
        for number, service in enumerate(SERVICES, 1):
            self.machines.append(SoakMachine(self, number, service))

    def start(self) -> None:
        """Start all nodes and wait until each serves both services."""
        self.change_configuration()
        for machine in self.machines:
            machine.start()
        for each in self.machines:
            wait_until(each.is_ready)
            threading.Thread(
                target=self._send_heartbeats, args=(each,), daemon=True
            ).start()
        wait_until(self._all_nodes_serve)

    def stop(self) -> None:
        """Stop the heartbeats and all parts of the fleet."""
        self._stopped.set()
        super().stop()

    def change_configuration(self) -> None:
        """Store a new version with one extra route, named after its number."""
        with self._operator_lock:
            version = max(self.versions, default=4) + 1
            self._write_configuration(version)
            self.versions[version] = time.monotonic()

    def rewrite_lost_configurations(self) -> None:
        """Store the versions again that a restore dropped, in their order."""
        with self._operator_lock:
            stored = self._read_stored_version()
            for version in sorted(self.versions):
                if version > stored:
                    self._write_configuration(version)

    def change_configuration_after_restore(self) -> None:
        """Store a new version in place of rows that a restore dropped.

        The feeds of the nodes have reached a later version of the store,
        which the store passes before they are open again.
        """
        moment = time.monotonic()
        self._write_other_rows(_DROPPED_ROWS)
        self.change_configuration()
        time.sleep(_FEED_SECONDS)
        self.store.restore(time.monotonic() - moment)
        self.rewrite_lost_configurations()
        self.change_configuration()
        self._write_other_rows(2 * _DROPPED_ROWS)

    def _write_other_rows(self, count: int) -> None:
        for number in range(count):
            self.store.put('status', f'row-{number}', b'content')

    def _write_configuration(self, version: int) -> None:
        self.configure(
            version,
            probe=make_route(f'/v{version}/', 'idempotent', 'booking'),
        )

    def _read_stored_version(self) -> int:
        content = self.store.read_value('op', 'config')
        if content is None:
            return 0
        return int(json.loads(content)['version'].removeprefix('r'))

    def restart_node(self, machine: SoakMachine, number: int) -> None:
        """Stop a node by a signal and restart it, as the platform does."""
        with machine.lock:
            process = machine.process
            expected = machine.expect_exit(number)
            machine.send_signal(signal.SIGCONT)
            machine.send_signal(number)
            try:
                status = process.wait(GRACE_SECONDS)
            except subprocess.TimeoutExpired:
                machine.send_signal(signal.SIGKILL)
                status = process.wait()
            self.exits.append(Exit(machine.name, status, expected))
            time.sleep(_RESTART_DELAY_SECONDS)
            machine.start()

    def record_unexpected_exits(self) -> None:
        """Record nodes that exited without being signalled."""
        for machine in self.machines:
            status = machine.process.poll()
            if status is not None:
                self.exits.append(Exit(machine.name, status))

    def drain_server(self, machine: SoakMachine, *, abrupt: bool) -> None:
        """Announce the departure of a server, which keeps serving.

        :param abrupt: leave without reporting that it drains.
        """
        server = machine.server
        server.draining = True
        machine.heartbeats_stopped = abrupt
        for _ in range(6):
            if self._announce_departure(machine, abrupt=abrupt):
                self.departures.append(
                    Departure(time.monotonic(), server.server_id)
                )
                break
            time.sleep(HEARTBEAT_SECONDS)

    def replace_server(self, machine: SoakMachine, skew: float) -> None:
        """Restart a server under a new id.

        :param skew: seconds by which its clock is off.
        """
        born = int((time.time() + skew) * _MILLISECONDS)
        number = next(self._restart_numbers)
        machine.server.restart(f'{machine.name}-start-{number}', born)
        machine.heartbeats_stopped = False

    def is_recovered(self) -> bool:
        """Return whether each node is ready and serves both services."""
        return (
            all(map(Machine.is_ready, self.machines))
            and self._all_nodes_serve()
        )

    def _all_nodes_serve(self) -> bool:
        return all(
            machine.send(path, f'check-{time.monotonic_ns()}')[0].status == 200
            for machine in self.machines
            for path in ('/browse/check', '/docs/check')
        )

    def _announce_departure(
        self, machine: SoakMachine, *, abrupt: bool
    ) -> bool:
        with contextlib.suppress(OSError, HTTPException):
            if abrupt:
                return machine.server.deregister(machine.control) == 200
            return machine.server.send_heartbeat(machine.control) == 200
        return False

    def _send_heartbeats(self, machine: SoakMachine) -> None:
        while not self._stopped.wait(HEARTBEAT_SECONDS):
            if machine.heartbeats_stopped:
                continue
            with contextlib.suppress(OSError, HTTPException):
                machine.server.send_heartbeat(machine.control)
