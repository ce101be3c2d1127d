"""Stand-in of a backend server that speaks the platform's protocol."""

import json
import threading
import time
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler

import attrs

from standins.floods import send_flood
from standins.metadatastore import QuietHTTPServer

_MILLISECONDS = 1000


@attrs.define
class ServerFaults:
    """What the server does wrong.

    :param hang: do not answer.
    :param cut: close after part of the answer.
    :param fail: answer 500.
    :param stale: answer with another request's id first.
    :param endless: send this flood until the caller closes.
    :param endless_health: send it to health checks as well.
    """

    hang: bool = False
    cut: bool = False
    fail: bool = False
    stale: bool = False
    endless: str = ''
    endless_health: bool = False


@attrs.frozen
class Run:
    """A request that the server has begun to run.

    :param at: when it began, on the monotonic clock of this process.
    :param server_id: of the start of the server that ran it.
    """

    at: float
    server_id: str
    attempt_id: str
    method: str
    target: str
    body: bytes
    caller: str
    time_left: int


class MeshServer:
    """One backend server with its heartbeats."""

    def __init__(
        self, server_id: str, service: str, work_seconds: float = 0
    ) -> None:
        """Start listening on a free port.

        :param work_seconds: seconds for each request.
        """
        self.server_id = server_id
        self.service = service
        self.work_seconds = work_seconds
        self.faults = ServerFaults()
        self.runs: list[Run] = []
        self.cancelled_requests = 0
        # Floods that are being sent.
        self.active_floods = 0
        self.draining = False
        # Set where others reach it through a relay.
        self.announced_address = ''
        self.born = int(time.time() * _MILLISECONDS)
        self._sequence = 0
        self._lock = threading.Lock()
        handler = type('Handler', (_Handler,), {'owner': self})
        self._http = QuietHTTPServer(('127.0.0.1', 0), handler)
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Host and port, as the server announces them."""
        return self.announced_address or self.listen_address

    @property
    def listen_address(self) -> str:
        """Host and port of the listener."""
        return '127.0.0.1:{0}'.format(self._http.server_address[1])

    def restart(self, server_id: str, born: int) -> None:
        """Begin a new start, which knows nothing of the one before.

        :param born: Unix milliseconds by the clock of its instance.
        """
        with self._lock:
            self.server_id = server_id
            self.born = born
            self.draining = False
            self._sequence = 0

    def stop(self) -> None:
        """Stop listening."""
        self._http.shutdown()
        self._http.server_close()

    def send_heartbeat(self, control: str, **changes: object) -> int:
        """Send a heartbeat; give the status."""
        with self._lock:
            beat = self._compose(changes)
        return self._call(control, 'instances.heartbeat', beat)

    def _compose(self, changes: dict[str, object]) -> dict[str, object]:
        """Give the next heartbeat; the sequence orders the states told."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 4,
            'state': 'draining' if self.draining else 'ready',
            'cold_left_ms': 0,
            'seq': self._sequence,
            'born': self.born,
            **changes,
        }

    def deregister(self, control: str) -> int:
        """Say that the server leaves; give the status."""
        return self._call(control, 'instances.deregister', {'born': self.born})

    def _call(self, control: str, call: str, fields: dict) -> int:
        connection = HTTPConnection(control, timeout=2)
        path = f'/api/rpc?call={call}&of={self.server_id}'
        connection.request('POST', path, json.dumps(fields))
        status = connection.getresponse().status
        connection.close()
        return status


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    owner: MeshServer

    def do_GET(self) -> None:
        """Serve a request without a body."""
        self._serve(b'')

    def do_POST(self) -> None:
        """Serve a request with a body."""
        length = int(self.headers.get('Content-Length', 0))
        self._serve(self.rfile.read(length))

    def log_message(self, *args: object) -> None:
        """Print nothing."""

    def _serve(self, body: bytes) -> None:
        owner = self.owner
        if self.path == '/health':
            if owner.faults.endless_health:
                self._flood('')
                return
            status = 503 if owner.draining else 200
            self._reply(status, b'', {})
            return
        # A restart meanwhile does not change who runs the request.
        server_id = owner.server_id
        if self.headers['Godwitknot-Expect-Instance'] != server_id:
            self._reply(421, b'', {})
            return
        attempt_id = self.headers['Godwitknot-Attempt-Id']
        owner.runs.append(
            Run(
                time.monotonic(),
                server_id,
                attempt_id,
                self.command,
                self.path,
                body,
                self.headers['Godwitknot-Caller-Service'],
                int(self.headers['Godwitknot-Deadline-Ms']),
            )
        )
        if owner.faults.hang:
            self.rfile.read(1)
            owner.cancelled_requests += 1
            self.close_connection = True
            return
        time.sleep(owner.work_seconds)
        if owner.faults.endless:
            self._flood(attempt_id)
            return
        seal = {'Godwitknot-Server-Seal': 'seal'}
        answer = f'{server_id} ran {self.path}'.encode()
        if owner.faults.stale:
            self._reply(
                200, b'stale', {**seal, 'Godwitknot-Attempt-Id': 'other'}
            )
        status = 500 if owner.faults.fail else 200
        self._reply(
            status, answer, {**seal, 'Godwitknot-Attempt-Id': attempt_id}
        )

    def _flood(self, attempt_id: str) -> None:
        owner = self.owner
        self.close_connection = True
        owner.active_floods += 1
        send_flood(self, owner.faults.endless, attempt_id)
        owner.active_floods -= 1

    def _reply(self, status: int, body: bytes, fields: dict) -> None:
        self.send_response(status)
        for name, text in fields.items():
            self.send_header(name, text)
        self.send_header('Godwitknot-Instance-Id', self.owner.server_id)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        cut = self.owner.faults.cut and body
        self.wfile.write(body[: len(body) // 2] if cut else body)
        if cut:
            self.close_connection = True
