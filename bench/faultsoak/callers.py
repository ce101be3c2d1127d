"""Callers and configuration probes of a fault soak, with their records."""

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
_MAX_PAUSE_SECONDS = 0.05
_PROBE_INTERVAL_SECONDS = 0.1
_REFUSED = 503
_MILLISECONDS = 1000
# Method and first part of the path of each kind of request.
_KINDS = (('GET', '/browse/'), ('POST', '/book/'), ('GET', '/docs/'))


@attrs.frozen
class Call:
    """A request as observed by its caller.

    :param process: process id of the node that it was sent to.
    :param start: monotonic time when it was sent, seconds.
    :param end: monotonic time of the response or the failure, seconds.
    :param status: 0 without a complete response.
    :param answered_id: attempt id in the response.
    :param sealed: whether the response carries a server seal.
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
        """Whether the request may run more than once."""
        return self.method == 'GET'


@attrs.frozen
class Probe:
    """A request for the route of one configuration version.

    :param process: process id of the node that it was sent to.
    """

    process: int
    version: int
    start: float
    end: float
    status: int


class ConnectionPool:
    """Reuses one persistent connection to each node until it closes."""

    def __init__(self) -> None:
        """Create a pool without connections."""
        self._connections_by_node: dict[str, HTTPConnection] = {}

    def send(
        self,
        machine: SoakMachine,
        request: tuple[str, str, bytes],
        attempt_id: str,
        seconds_left: float = _SECONDS_LEFT,
    ) -> tuple[int, str, bool, bytes, float]:
        """Send a request on the open connection, or on a new one.

        :param request: method, target and body.
        :param seconds_left: deadline that is sent to the node.
        :returns: status, attempt id of the response, whether it is signed,
            body, and seconds after which the caller may retry.
        :raises OSError: without a complete response.
        :raises HTTPException: without a complete response.
        """
        method, target, body = request
        open_connection = self._connections_by_node.pop(machine.name, None)
        connection = open_connection or HTTPConnection(
            machine.address(0), timeout=_TIMEOUT_SECONDS
        )
        deadline_ms = int(seconds_left * _MILLISECONDS)
        request_headers = {
            'Host': HOST,
            'Godwitknot-Attempt-Id': attempt_id,
            'Godwitknot-Deadline-Ms': str(deadline_ms),
        }
        try:
            connection.request(method, target, body or None, request_headers)
            response = connection.getresponse()
            content = response.read()
        except BaseException:
            connection.close()
            raise
        if not response.will_close:
            self._connections_by_node[machine.name] = connection
        return (
            response.status,
            response.headers.get('Godwitknot-Attempt-Id', ''),
            'Godwitknot-Server-Seal' in response.headers,
            content,
            float(response.headers.get('Retry-After', 0)),
        )


class Caller(threading.Thread):
    """Sends requests of all kinds to all nodes until it is stopped."""

    def __init__(
        self,
        fleet: SoakFleet,
        name: str,
        seed: str,
        fixed_machine: SoakMachine | None = None,
    ) -> None:
        """Create a caller.

        :param name: prefix of the attempt ids.
        :param seed: determines the requests and their nodes.
        :param fixed_machine: the only node to send to, regardless of its
            responses; random nodes if ``None``.
        """
        super().__init__(daemon=True)
        self.calls: list[Call] = []
        self.ended = threading.Event()
        self._fleet = fleet
        self._name = name
        self._fixed_machine = fixed_machine
        self._random = random.Random(seed)
        self._connections = ConnectionPool()
        self._attempt_numbers = itertools.count()

    def run(self) -> None:
        """Send one request after the other until stopped."""
        while not self.ended.is_set():
            retry_delay = self._send_one()
            jitter = self._random.uniform(0, _MAX_PAUSE_SECONDS)
            self.ended.wait(retry_delay + jitter)

    def _send_one(self) -> float:
        """Send one request.

        :returns: seconds to wait if the node refused and asked for a delay.
        """
        machine = self._fixed_machine or self._random.choice(
            self._fleet.machines
        )
        method, prefix = self._random.choice(_KINDS)
        attempt_id = f'{self._name}-{next(self._attempt_numbers)}'
        body = attempt_id.encode() if method == 'POST' else b''
        request = (method, f'{prefix}{attempt_id}', body)
        process = machine.process.pid
        start = time.monotonic()
        received: tuple = ()
        retry_delay = float(0)
        with contextlib.suppress(OSError, HTTPException):
            *received, retry_delay = self._connections.send(
                machine, request, attempt_id
            )
        call = Call(
            attempt_id,
            *request,
            machine.name,
            process,
            start,
            time.monotonic(),
            *received,
        )
        self.calls.append(call)
        if call.status == _REFUSED:
            return min(retry_delay, _SECONDS_LEFT / 3)
        return 0


class Prober(threading.Thread):
    """Requests the routes of the newest two versions from nodes in turn."""

    def __init__(self, fleet: SoakFleet) -> None:
        """Prepare."""
        super().__init__(daemon=True)
        self.probes: list[Probe] = []
        self.ended = threading.Event()
        self._fleet = fleet

    def run(self) -> None:
        """Probe one node after the other until stopped."""
        machines = itertools.cycle(self._fleet.machines)
        while not self.ended.wait(_PROBE_INTERVAL_SECONDS):
            machine = next(machines)
            newest = max(self._fleet.versions)
            for version in (newest, newest - 1):
                self._probe(machine, version)

    def _probe(self, machine: SoakMachine, version: int) -> None:
        process = machine.process.pid
        start = time.monotonic()
        attempt_id = f'probe-{time.monotonic_ns()}'
        with contextlib.suppress(OSError, HTTPException):
            response, _ = machine.send(f'/v{version}/x', attempt_id)
            end = time.monotonic()
            self.probes.append(
                Probe(process, version, start, end, response.status)
            )
