"""Stand-in of a backend server that speaks the platform's protocol."""

import json
import threading
import time
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler

import attrs

from standins.floods import send_flood
from standins.metadatastore import QuietHTTPServer

_MS_PER_SECOND = 1000


@attrs.define
class ServerFaults:
    """Faults of the server that are switched on.

    :param hang: never respond.
    :param cut: close the connection after half of the response body.
    :param cut_head: close the connection within the head of the response, one
        byte later each time.
    :param fail: respond with status 500.
    :param stale: send a response to another request first.
    :param replay: refuse the first request of each connection, and send the
        latest refusal again before each later response: ``with-id``, or
        ``without-id`` for refusals without the id of their request.
    :param endless: name of a flood to send instead of the response, until
        the client closes the connection.
    :param endless_health: send the flood in response to health checks too.
    """

    hang: bool = False
    cut: bool = False
    cut_head: bool = False
    fail: bool = False
    stale: bool = False
    replay: str = ''
    endless: str = ''
    endless_health: bool = False


@attrs.frozen
class Run:
    """A request that the server has begun to run.

    :param at: start time on the monotonic clock of this process, in seconds.
    :param server_id: id that the server had when it began the request.
    :param caller: service that the request came from.
    :param time_left: until the deadline, in milliseconds.
    :param fields: all header fields as they were received.
    """

    at: float
    server_id: str
    attempt_id: str
    method: str
    target: str
    body: bytes
    caller: str
    time_left: int
    fields: tuple[tuple[str, str], ...] = ()


class MeshServer:
    """A backend server that sends heartbeats and serves requests."""

    def __init__(
        self, server_id: str, service: str, work_seconds: float = 0
    ) -> None:
        """Start listening on a free port.

        :param work_seconds: service time of each request.
        """
        self.server_id = server_id
        self.service = service
        self.work_seconds = work_seconds
        self.faults = ServerFaults()
        self.runs: list[Run] = []
        self.cancelled_requests = 0
        # Bytes sent of the latest head that was cut.
        self.cut_position = 0
        # Header fields of the latest refusal.
        self.last_refusal: dict[str, str] = {}
        # Floods that are being sent at the moment.
        self.active_floods = 0
        self.draining = False
        # Set if other processes reach the server through a faulty link.
        self.announced_address = ''
        self.born = int(time.time() * _MS_PER_SECOND)
        self._sequence = 0
        self._lock = threading.Lock()
        handler = type('Handler', (_Handler,), {'owner': self})
        self._http = QuietHTTPServer(('127.0.0.1', 0), handler)
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Host and port that heartbeats announce."""
        return self.announced_address or self.listen_address

    @property
    def listen_address(self) -> str:
        """Host and port that the server listens on."""
        return '127.0.0.1:{0}'.format(self._http.server_address[1])

    def restart(self, server_id: str, born: int) -> None:
        """Act as a restarted server without state of the previous start.

        :param server_id: id of the new start.
        :param born: start time in Unix milliseconds by the clock of the
            server's instance.
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
        """Send a heartbeat.

        :param control: host and port of the control endpoint.
        :param changes: heartbeat fields that differ from the server's state.
        :returns: HTTP status.
        """
        with self._lock:
            heartbeat = self._build_heartbeat(changes)
        return self._send_call(control, 'instances.heartbeat', heartbeat)

    def _build_heartbeat(self, changes: dict[str, object]) -> dict[str, object]:
        """Build the next heartbeat; its sequence number orders the states."""
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
        """Report that the server shuts down.

        :param control: host and port of the control endpoint.
        :returns: HTTP status.
        """
        return self._send_call(
            control, 'instances.deregister', {'born': self.born}
        )

    def _send_call(self, control: str, call: str, fields: dict) -> int:
        connection = HTTPConnection(control, timeout=2)
        path = f'/api/rpc?call={call}&of={self.server_id}'
        connection.request('POST', path, json.dumps(fields))
        status = connection.getresponse().status
        connection.close()
        return status


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    owner: MeshServer
    is_first_request = True

    def do_GET(self) -> None:
        """Serve a request without a body."""
        self._serve_request(b'')

    def do_POST(self) -> None:
        """Serve a request with a body."""
        if 'Transfer-Encoding' in self.headers:
            self._serve_request(self._read_chunks())
            return
        length = int(self.headers.get('Content-Length', 0))
        self._serve_request(self.rfile.read(length))

    def _read_chunks(self) -> bytes:
        """Return a body of unstated length.

        :raises ValueError: if the connection ends within it.
        """
        chunks = []
        while size := int(self.rfile.readline(), 16):
            chunks.append(self.rfile.read(size))
            self.rfile.readline()
        self.rfile.readline()
        return b''.join(chunks)

    def log_message(self, *args: object) -> None:
        """Discard the log line."""

    def _serve_request(self, body: bytes) -> None:
        owner = self.owner
        if self.path == '/health':
            if owner.faults.endless_health:
                self._send_flood('')
                return
            status = 503 if owner.draining else 200
            self._respond(status, b'', {})
            return
        # A restart during the request does not change the id that ran it.
        server_id = owner.server_id
        attempt_id = self.headers['Godwitknot-Attempt-Id']
        if self.headers['Godwitknot-Expect-Instance'] != server_id:
            self._respond(421, b'', {'Godwitknot-Attempt-Id': attempt_id})
            return
        if owner.faults.replay and self._refuse_or_replay(attempt_id):
            return
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
                tuple(self.headers.items()),
            )
        )
        if owner.faults.hang:
            self.rfile.read(1)
            owner.cancelled_requests += 1
            self.close_connection = True
            return
        time.sleep(owner.work_seconds)
        if owner.faults.endless:
            self._send_flood(attempt_id)
            return
        seal = {'Godwitknot-Server-Seal': 'seal'}
        response = f'{server_id} ran {self.path}'.encode()
        if owner.faults.stale:
            self._respond(
                200, b'stale', {**seal, 'Godwitknot-Attempt-Id': 'other'}
            )
        status = 500 if owner.faults.fail else 200
        self._respond(
            status, response, {**seal, 'Godwitknot-Attempt-Id': attempt_id}
        )

    def _refuse_or_replay(self, attempt_id: str) -> bool:
        """Refuse a request, or send an earlier refusal before its response.

        :returns: whether the request was refused.
        """
        is_refused = self.is_first_request
        self.is_first_request = False
        if is_refused:
            refusal = {'Godwitknot-Not-Executed': 'true'}
            if self.owner.faults.replay == 'with-id':
                refusal['Godwitknot-Attempt-Id'] = attempt_id
            self.owner.last_refusal = refusal
        self._respond(503, b'', self.owner.last_refusal)
        return is_refused

    def _send_flood(self, attempt_id: str) -> None:
        owner = self.owner
        self.close_connection = True
        owner.active_floods += 1
        send_flood(self, owner.faults.endless, attempt_id)
        owner.active_floods -= 1

    def _cut_head(self) -> None:
        head = b''.join(self._headers_buffer)
        self._headers_buffer.clear()
        self.owner.cut_position = self.owner.cut_position % len(head) + 1
        self.wfile.write(head[: self.owner.cut_position])
        self.close_connection = True

    def _respond(self, status: int, body: bytes, fields: dict) -> None:
        self.send_response(status)
        for name, text in fields.items():
            self.send_header(name, text)
        self.send_header('Godwitknot-Instance-Id', self.owner.server_id)
        self.send_header('Content-Length', str(len(body)))
        if self.owner.faults.cut_head:
            self._cut_head()
            return
        self.end_headers()
        is_truncated = self.owner.faults.cut and body
        self.wfile.write(body[: len(body) // 2] if is_truncated else body)
        if is_truncated:
            self.close_connection = True
