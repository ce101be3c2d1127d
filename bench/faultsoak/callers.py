"""Callers of a fault soak, and what they saw."""

import contextlib
import itertools
import random
import threading
import time
from http.client import HTTPConnection, HTTPException

import attrs

from bench.faultsoak.fleet import SoakFleet, SoakMachine
from bench.meshfleet import HOST

_SECONDS_LEFT = 3.0
_TIMEOUT_SECONDS = 5.0
_MOST_PAUSE_SECONDS = 0.05
_PROBE_SECONDS = 0.1
_REFUSED = 503
_MILLISECONDS = 1000
# Method and first part of the path of each kind of request.
_KINDS = (('GET', '/browse/'), ('POST', '/book/'), ('GET', '/docs/'))


@attrs.frozen
class Call:
    """A request as its caller saw it.

    :param process: process id of the node that it was sent to.
    :param start: when it was sent, on the monotonic clock.
    :param status: 0 if no complete answer came.
    """

    attempt_id: str
    method: str
    target: str
    body: bytes
    node: str
    process: int
    start: float
    end: float
    status: int = 0
    answered_id: str = ''
    sealed: bool = False
    content: bytes = b''

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.method == 'GET'


@attrs.frozen
class Probe:
    """A request on the route of one version of the configuration."""

    process: int
    version: int
    start: float
    end: float
    status: int


class ConnectionPool:
    """One kept connection to each node, used until it ends."""

    def __init__(self) -> None:
        """Start without connections."""
        self._open: dict[str, HTTPConnection] = {}

    def send(
        self,
        machine: SoakMachine,
        request: tuple[str, str, bytes],
        attempt_id: str,
        seconds_left: float = _SECONDS_LEFT,
    ) -> tuple[int, str, bool, bytes, float]:
        """Send a request on the kept connection.

        :param seconds_left: how long the node may take.
        :returns: status, id in the answer, whether it is signed, body, and
            seconds after which the caller may come back.
        :raises OSError: if no complete answer came.
        :raises HTTPException: the same.
        """
        method, target, body = request
        kept = self._open.pop(machine.name, None)
        connection = kept or HTTPConnection(
            machine.address(0), timeout=_TIMEOUT_SECONDS
        )
        left = int(seconds_left * _MILLISECONDS)
        fields = {
            'Host': HOST,
            'Godwitknot-Attempt-Id': attempt_id,
            'Godwitknot-Deadline-Ms': str(left),
        }
        try:
            connection.request(method, target, body or None, fields)
            response = connection.getresponse()
            content = response.read()
        except BaseException:
            connection.close()
            raise
        if not response.will_close:
            self._open[machine.name] = connection
        return (
            response.status,
            response.headers.get('Godwitknot-Attempt-Id', ''),
            'Godwitknot-Server-Seal' in response.headers,
            content,
            float(response.headers.get('Retry-After', 0)),
        )


class Caller(threading.Thread):
    """Sends requests of all kinds to all nodes until told to end."""

    def __init__(
        self,
        fleet: SoakFleet,
        name: str,
        seed: str,
        home: SoakMachine | None = None,
    ) -> None:
        """Prepare; the seed decides what is sent where.

        :param home: the only node to send to, whatever it answers.
        """
        super().__init__(daemon=True)
        self.calls: list[Call] = []
        self.ended = threading.Event()
        self._fleet = fleet
        self._name = name
        self._home = home
        self._random = random.Random(seed)
        self._connections = ConnectionPool()
        self._numbers = itertools.count()

    def run(self) -> None:
        """Send one request after the other."""
        while not self.ended.is_set():
            pause = self._send_one()
            spread = self._random.uniform(0, _MOST_PAUSE_SECONDS)
            self.ended.wait(pause + spread)

    def _send_one(self) -> float:
        """Send one request; give the seconds to wait as told."""
        machine = self._home or self._random.choice(self._fleet.machines)
        method, prefix = self._random.choice(_KINDS)
        attempt_id = f'{self._name}-{next(self._numbers)}'
        body = attempt_id.encode() if method == 'POST' else b''
        request = (method, f'{prefix}{attempt_id}', body)
        process = machine.process.pid
        start = time.monotonic()
        seen: tuple = ()
        pause = float(0)
        with contextlib.suppress(OSError, HTTPException):
            *seen, pause = self._connections.send(machine, request, attempt_id)
        call = Call(
            attempt_id,
            *request,
            machine.name,
            process,
            start,
            time.monotonic(),
            *seen,
        )
        self.calls.append(call)
        if call.status == _REFUSED:
            return min(pause, _SECONDS_LEFT / 3)
        return 0


class Prober(threading.Thread):
    """Asks the nodes in turn for the routes of the newest two versions."""

    def __init__(self, fleet: SoakFleet) -> None:
        """Prepare."""
        super().__init__(daemon=True)
        self.probes: list[Probe] = []
        self.ended = threading.Event()
        self._fleet = fleet

    def run(self) -> None:
        """Ask one node after the other."""
        machines = itertools.cycle(self._fleet.machines)
        while not self.ended.wait(_PROBE_SECONDS):
            machine = next(machines)
            newest = max(self._fleet.versions)
            for version in (newest, newest - 1):
                self._ask(machine, version)

    def _ask(self, machine: SoakMachine, version: int) -> None:
        process = machine.process.pid
        start = time.monotonic()
        attempt_id = f'probe-{time.monotonic_ns()}'
        with contextlib.suppress(OSError, HTTPException):
            response, _ = machine.send(f'/v{version}/x', attempt_id)
            end = time.monotonic()
            self.probes.append(
                Probe(process, version, start, end, response.status)
            )
