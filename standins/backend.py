"""Fake backend servers with faults that can be switched on over HTTP.

Paths that a fleet routes requests to:

``GET /blob/N``
    Streams N bytes.
``/die``
    Closes the connection without a response, as a crash does; so do all
    requests of the next half second.
any other path
    Echoes method, path, body and idempotency key as JSON.

Paths that a fleet never routes requests to: ``/health``, ``/load``,
``/_faults`` (PUT) and ``/_runs`` (the requests run, in order).
"""

import collections
import json
import random
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator

import attrs

from godwitknot.units import Address
from godwitknot.web.httpserver import SOCKET_KEY, NodeServer
from standins.faults import Faults, parse_faults

_CHUNK = bytes(65536)
_HANG_SECONDS = 600.0
_HANG_POLL_SECONDS = 0.05
_CRASH_SECONDS = 0.5
_MAX_EXECUTIONS = 100000


@attrs.frozen
class Execution:
    """One request that the server ran.

    :param at: wall-clock time at its start, in seconds.
    :param key: idempotency key.
    """

    at: float
    method: str
    path: str
    request_id: str
    key: str
    body: str


class FakeServer:
    """WSGI application of a backend server with slots and faults."""

    def __init__(
        self,
        name: str,
        slots: int = 4,
        service_seconds: float = 0.01,
        seed: int = 0,
    ) -> None:
        """Create a server without faults.

        :param slots: requests that run at once; others wait.
        :param service_seconds: mean service time.
        :param seed: seed of the service times and of the random choice of
            faulty requests.
        """
        self.name = name
        self.faults = Faults()
        self.executions: collections.deque[Execution] = collections.deque(
            maxlen=_MAX_EXECUTIONS,
        )
        self.started = time.monotonic()
        self._service_seconds = service_seconds
        self._slots = threading.BoundedSemaphore(slots)
        self._random = random.Random(f'{name}/{seed}')
        self._lock = threading.Lock()
        self._crashed_until = float(0)

    def __call__(
        self,
        environ: dict,
        start_response: Callable,
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ['PATH_INFO']
        if path.startswith('/_') or path in {'/health', '/load'}:
            return self._serve_control(environ, start_response, path)
        if path == '/die' or time.monotonic() < self._crashed_until:
            return self._crash(environ, path)
        if self.faults.shed:
            fields = [('X-Not-Run', 'true'), ('Content-Length', '0')]
            start_response('503 Service Unavailable', fields)
            return []
        return self._serve_request(environ, start_response, path)

    def _serve_request(
        self,
        environ: dict,
        start_response: Callable,
        path: str,
    ) -> Iterable[bytes]:
        body = _read_body(environ)
        with self._slots:
            self._record_execution(environ, path, body)
            faults = self._get_active_faults()
            self._simulate_work(faults)
        if self._draw(faults.error_share):
            start_response(
                '500 Internal Server Error', [('Content-Length', '0')]
            )
            return []
        if '/blob/' in path:
            content = _generate_body(int(path.rpartition('/')[2]))
            length = int(path.rpartition('/')[2])
        else:
            echo = self._echo(environ, path, body)
            content, length = iter([echo]), len(echo)
        request_id = environ.get('HTTP_X_REQUEST_ID', '')
        if self._draw(faults.wrong_id_share):
            request_id = f'{request_id}-other'
        fields = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(length)),
            ('X-Request-Id', request_id),
        ]
        start_response('200 OK', fields)
        if self._draw(faults.cut_share):
            return _truncate(content)
        return content

    def _echo(self, environ: dict, path: str, body: bytes) -> bytes:
        document = {
            'server': self.name,
            'method': environ['REQUEST_METHOD'],
            'path': path,
            'query': environ.get('QUERY_STRING', ''),
            'body': body.decode('latin-1'),
            'key': environ.get('HTTP_IDEMPOTENCY_KEY', ''),
            'request': environ.get('HTTP_X_REQUEST_ID', ''),
        }
        return json.dumps(document, sort_keys=True).encode()

    def _record_execution(self, environ: dict, path: str, body: bytes) -> None:
        self.executions.append(
            Execution(
                time.time(),
                environ['REQUEST_METHOD'],
                path,
                environ.get('HTTP_X_REQUEST_ID', ''),
                environ.get('HTTP_IDEMPOTENCY_KEY', ''),
                body.decode('latin-1'),
            ),
        )

    def _get_active_faults(self) -> Faults:
        faults = self.faults
        if faults.flap_seconds:
            period = int(time.monotonic() / faults.flap_seconds)
            if period % 2:
                return Faults()
        return faults

    def _simulate_work(self, faults: Faults) -> None:
        deadline = time.monotonic() + _HANG_SECONDS
        while self.faults.hang and time.monotonic() < deadline:
            time.sleep(_HANG_POLL_SECONDS)
        with self._lock:
            # A gamma distribution has the short left and long right tail
            # of service times.
            seconds = self._random.gammavariate(4, self._service_seconds / 4)
        if self._draw(faults.slow_share):
            seconds *= faults.slow_factor
        if time.monotonic() - self.started < faults.cold_seconds:
            seconds *= faults.cold_factor
        time.sleep(seconds)

    def _draw(self, share: float) -> bool:
        if share <= 0:
            return False
        with self._lock:
            return self._random.random() < share

    def _crash(self, environ: dict, path: str) -> Iterable[bytes]:
        if path == '/die':
            self._record_execution(environ, path, b'')
            self._crashed_until = time.monotonic() + _CRASH_SECONDS
        # Ends the connection without a response, as a crash does.
        environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
        raise ConnectionAbortedError(self.name)

    def _serve_control(
        self,
        environ: dict,
        start_response: Callable,
        path: str,
    ) -> Iterable[bytes]:
        if path == '/_faults':
            self.faults = parse_faults(json.loads(_read_body(environ)))
            return _respond_json(start_response, '200 OK', {})
        if path == '/_runs':
            runs = [attrs.asdict(run) for run in list(self.executions)]
            return _respond_json(start_response, '200 OK', runs)
        faults = self._get_active_faults()
        if path == '/load':
            document = {
                'running': 0 if faults.load_lies else self._count_executions()
            }
            return _respond_json(start_response, '200 OK', document)
        if time.monotonic() < self._crashed_until:
            return self._crash(environ, path)
        unhealthy = faults.health_fails or not faults.health_lies
        if unhealthy and faults != Faults(health_lies=False):
            return _respond_json(
                start_response, '500 Internal Server Error', {}
            )
        return _respond_json(start_response, '200 OK', {'server': self.name})

    def _count_executions(self) -> int:
        return len(self.executions)


def _read_body(environ: dict) -> bytes:
    length = environ.get('CONTENT_LENGTH')
    if length or environ.get('wsgi.input_terminated'):
        return environ['wsgi.input'].read()
    return b''


def _generate_body(length: int) -> Iterator[bytes]:
    while length > 0:
        chunk = _CHUNK[:length]
        length -= len(chunk)
        yield chunk


def _truncate(content: Iterator[bytes]) -> Iterator[bytes]:
    first = next(content, b'')
    yield first[: len(first) // 2]
    raise ConnectionAbortedError('response body truncated by an injected fault')


def _respond_json(
    start_response: Callable,
    status: str,
    document: object,
) -> list[bytes]:
    content = json.dumps(document).encode()
    fields = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(content))),
    ]
    start_response(status, fields)
    return [content]


class FakeServerHost:
    """Serves fake servers from threads of this process."""

    def __init__(self) -> None:
        """Create a host without servers."""
        self.servers: dict[str, FakeServer] = {}
        self._http: list[NodeServer] = []

    def add(self, server: FakeServer, address: Address) -> None:
        """Serve a fake server at an address."""
        http = NodeServer(address, server)
        http.error_log = _discard_log
        self.servers[server.name] = server
        self._http.append(http)
        http.prepare()
        threading.Thread(target=http.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop all servers."""
        for http in self._http:
            http.stop()


def _discard_log(*args: object, **kwargs: object) -> None:
    """Discard log lines: injected faults raise errors on purpose."""
