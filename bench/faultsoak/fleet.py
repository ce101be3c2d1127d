"""The fleet of a fault soak: each path between two parties can be broken."""

import contextlib
import itertools
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
BEAT_SECONDS = 0.5
# From SIGTERM to SIGKILL, as the platform does it.
GRACE_SECONDS = 6.0
_WORK_SECONDS = 0.03
_MILLISECONDS = 1000
_PAUSE_SECONDS = 0.3


@attrs.frozen
class Departure:
    """A server whose leaving was acknowledged."""

    at: float
    server_id: str


@attrs.frozen
class Exit:
    """The end of a node process.

    :param expected: statuses that the signals sent explain.
    """

    node: str
    status: int
    expected: frozenset[int] = frozenset()


class SoakMachine(Machine):
    """A node behind relays to the store, to its server and from others."""

    def __init__(self, fleet: 'SoakFleet', number: int, service: str) -> None:
        """Start the relays and the server."""
        super().__init__(fleet, number, service)
        self.server.work_seconds = _WORK_SECONDS
        # The path to the server, to the store, and from other nodes.
        self.server_path = self._relay_to(self.server.listen_address)
        self.server.announced_address = str(self.server_path.address)
        self.store_path = self._relay_to(fleet.store_address)
        self.relay_path = self._relay_to(self.address(1))
        self.lock = threading.Lock()
        # A server that leaves without draining sends no more heartbeats.
        self.server_silent = False

    @property
    def paths(self) -> tuple[FaultyLink, ...]:
        """All relays of this machine."""
        return (self.server_path, self.store_path, self.relay_path)

    def send_signal(self, number: int) -> None:
        """Signal the process if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def reload(self) -> None:
        """Send SIGHUP, once the interpreter runs our program."""
        if self._handles(signal.SIGHUP):
            self.send_signal(signal.SIGHUP)

    def expect_exit(self, number: int) -> frozenset[int]:
        """Give the exit statuses that a signal explains.

        A process that still loads has no work to finish, and ends at once.
        """
        if number == signal.SIGTERM and self._handles(number):
            return frozenset((0,))
        return frozenset((0, -number))

    def _handles(self, number: int) -> bool:
        """Tell whether the process ignores or catches a signal."""
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

    def _own_settings(self) -> str:
        own = super()._own_settings()
        return f'{own}[relay]\nlisten = {self.address(1)}\n'

    def _settings(self) -> dict:
        settings = super()._settings()
        settings['listen']['inbound'] = str(self.relay_path.address)
        settings['platform']['address'] = str(self.store_path.address)
        return settings


class SoakFleet(Fleet):
    """Machines, the store, and the heartbeats of all servers."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Prepare the machines; nothing runs yet."""
        super().__init__(folder)
        self.departures: list[Departure] = []
        self.exits: list[Exit] = []
        # Times at which the store acknowledged each version.
        self.versions: dict[int, float] = {}
        self._starts = itertools.count(1)
        self._ended = threading.Event()
        for number, service in enumerate(SERVICES, 1):
            self.machines.append(SoakMachine(self, number, service))

    def start(self) -> None:
        """Start everything and wait until all nodes know all servers."""
        self.change_configuration()
        for machine in self.machines:
            machine.start()
        for each in self.machines:
            wait_until(each.is_ready)
            threading.Thread(
                target=self._send_heartbeats, args=(each,), daemon=True
            ).start()
        wait_until(self._serves_all)

    def stop(self) -> None:
        """End what this fleet has started."""
        self._ended.set()
        super().stop()

    def change_configuration(self) -> None:
        """Put a version whose number is the name of its only new route."""
        version = max(self.versions, default=4) + 1
        self.configure(
            version,
            probe=make_route(f'/v{version}/', 'idempotent', 'booking'),
        )
        self.versions[version] = time.monotonic()

    def restart_node(self, machine: SoakMachine, number: int) -> None:
        """End a node by a signal, and start it anew as the platform does."""
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
            time.sleep(_PAUSE_SECONDS)
            machine.start()

    def note_own_exits(self) -> None:
        """Record nodes that have ended by themselves."""
        for machine in self.machines:
            status = machine.process.poll()
            if status is not None:
                self.exits.append(Exit(machine.name, status))

    def drain_server(self, machine: SoakMachine, *, abrupt: bool) -> None:
        """Let a server leave, serve on for a while, and start anew.

        :param abrupt: it never reports that it drains.
        """
        server = machine.server
        server.draining = True
        machine.server_silent = abrupt
        for _ in range(6):
            if self._say_leaving(machine, abrupt=abrupt):
                self.departures.append(
                    Departure(time.monotonic(), server.server_id)
                )
                break
            time.sleep(BEAT_SECONDS)

    def replace_server(self, machine: SoakMachine, skew: float) -> None:
        """Start a server anew under a new id.

        :param skew: seconds by which its clock is off.
        """
        born = int((time.time() + skew) * _MILLISECONDS)
        number = next(self._starts)
        machine.server.restart(f'{machine.name}-start-{number}', born)
        machine.server_silent = False

    def is_recovered(self) -> bool:
        """Tell whether each node is ready and serves each kind."""
        return all(map(Machine.is_ready, self.machines)) and self._serves_all()

    def _serves_all(self) -> bool:
        return all(
            machine.send(path, f'check-{time.monotonic_ns()}')[0].status == 200
            for machine in self.machines
            for path in ('/browse/check', '/docs/check')
        )

    def _say_leaving(self, machine: SoakMachine, *, abrupt: bool) -> bool:
        with contextlib.suppress(OSError, HTTPException):
            if abrupt:
                return machine.server.deregister(machine.control) == 200
            return machine.server.send_heartbeat(machine.control) == 200
        return False

    def _send_heartbeats(self, machine: SoakMachine) -> None:
        while not self._ended.wait(BEAT_SECONDS):
            if machine.server_silent:
                continue
            with contextlib.suppress(OSError, HTTPException):
                machine.server.send_heartbeat(machine.control)
