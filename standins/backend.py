"""Fake backend servers with faults that can be switched on over HTTP.

Paths of the work itself:

``GET /blob/N``
    N bytes, streamed.
``/die``
    The server drops all its connections, as if it crashed, and is back
    after half a second.
anything else
    Echoes method, path, body and idempotency key as JSON.

Paths of the stand-in, which no fleet routes to: ``/health``, ``/load``,
``/_faults`` (PUT) and ``/_runs`` (what was run, in order).
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
_DEAD_SECONDS = 0.5
_RUNS_KEPT = 100000


@attrs.frozen
class Execution:
    """One request that the server ran.

    :param at: wall-clock time at its start, seconds.
    """

    at: float
    method: str
    path: str
    request_id: str
    key: str
    body: str


class FakeServer:
    """A backend server with slots, a service time and faults."""

    def __init__(
        self,
        name: str,
        slots: int = 4,
        service_seconds: float = 0.01,
        seed: int = 0,
    ) -> None:
        """Start healthy.

        :param service_seconds: mean service time.
        :param seed: of the random numbers that pick faulty requests.
        """
        self.name = name
        self.faults = Faults()
        self.executions: collections.deque[Execution] = collections.deque(
            maxlen=_RUNS_KEPT,
        )
        self.started = time.monotonic()
        self._service_seconds = service_seconds
        self._slots = threading.BoundedSemaphore(slots)
        self._random = random.Random(f'{name}/{seed}')
        self._lock = threading.Lock()
        self._dead_until = float(0)

    def __call__(
        self,
        environ: dict,
        start_response: Callable,
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ['PATH_INFO']
        if path.startswith('/_') or path in {'/health', '/load'}:
            return self._serve_own(environ, start_response, path)
        if path == '/die' or time.monotonic() < self._dead_until:
            return self._die(environ, path)
        if self.faults.shed:
            fields = [('X-Not-Run', 'true'), ('Content-Length', '0')]
            start_response('503 Service Unavailable', fields)
            return []
        return self._serve_work(environ, start_response, path)

    def _serve_work(
        self,
        environ: dict,
        start_response: Callable,
        path: str,
    ) -> Iterable[bytes]:
        body = _read_body(environ)
        with self._slots:
            self._note(environ, path, body)
            faults = self._present_faults()
            self._work(faults)
        if self._hits(faults.error_share):
            start_response(
                '500 Internal Server Error', [('Content-Length', '0')]
            )
            return []
        if '/blob/' in path:
            content = _stream(int(path.rpartition('/')[2]))
            length = int(path.rpartition('/')[2])
        else:
            echo = self._echo(environ, path, body)
            content, length = iter([echo]), len(echo)
        request_id = environ.get('HTTP_X_REQUEST_ID', '')
        if self._hits(faults.wrong_id_share):
            request_id = f'{request_id}-other'
        fields = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(length)),
            ('X-Request-Id', request_id),
        ]
        start_response('200 OK', fields)
        if self._hits(faults.cut_share):
            return _cut(content)
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

    def _note(self, environ: dict, path: str, body: bytes) -> None:
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

    def _present_faults(self) -> Faults:
        faults = self.faults
        if faults.flap_seconds:
            period = int(time.monotonic() / faults.flap_seconds)
            if period % 2:
                return Faults()
        return faults

    def _work(self, faults: Faults) -> None:
        give_up = time.monotonic() + _HANG_SECONDS
        while self.faults.hang and time.monotonic() < give_up:
            time.sleep(_HANG_POLL_SECONDS)
        with self._lock:
            # A gamma distribution has the short left and long right flank
            # of service times.
            seconds = self._random.gammavariate(4, self._service_seconds / 4)
        if self._hits(faults.slow_share):
            seconds *= faults.slow_factor
        if time.monotonic() - self.started < faults.cold_seconds:
            seconds *= faults.cold_factor
        time.sleep(seconds)

    def _hits(self, share: float) -> bool:
        if share <= 0:
            return False
        with self._lock:
            return self._random.random() < share

    def _die(self, environ: dict, path: str) -> Iterable[bytes]:
        if path == '/die':
            self._note(environ, path, b'')
            self._dead_until = time.monotonic() + _DEAD_SECONDS
        # Ends the connection without an answer, as a crash does.
        environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
        raise ConnectionAbortedError(self.name)

    def _serve_own(
        self,
        environ: dict,
        start_response: Callable,
        path: str,
    ) -> Iterable[bytes]:
        if path == '/_faults':
            self.faults = parse_faults(json.loads(_read_body(environ)))
            return _respond(start_response, '200 OK', {})
        if path == '/_runs':
            runs = [attrs.asdict(run) for run in list(self.executions)]
            return _respond(start_response, '200 OK', runs)
        faults = self._present_faults()
        if path == '/load':
            document = {'running': 0 if faults.load_lies else self._count()}
            return _respond(start_response, '200 OK', document)
        if time.monotonic() < self._dead_until:
            return self._die(environ, path)
        sick = faults.health_fails or not faults.health_lies
        if sick and faults != Faults(health_lies=False):
            return _respond(start_response, '500 Internal Server Error', {})
        return _respond(start_response, '200 OK', {'server': self.name})

    def _count(self) -> int:
        return len(self.executions)


def _read_body(environ: dict) -> bytes:
    length = environ.get('CONTENT_LENGTH')
    if length or environ.get('wsgi.input_terminated'):
        return environ['wsgi.input'].read()
    return b''


def _stream(length: int) -> Iterator[bytes]:
    while length > 0:
        piece = _CHUNK[:length]
        length -= len(piece)
        yield piece


def _cut(content: Iterator[bytes]) -> Iterator[bytes]:
    first = next(content, b'')
    yield first[: len(first) // 2]
    raise ConnectionAbortedError('cut on purpose')


def _respond(
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
    """Runs fake servers in threads of this process."""

    def __init__(self) -> None:
        """Start without servers."""
        self.servers: dict[str, FakeServer] = {}
        self._http: list[NodeServer] = []

    def add(self, server: FakeServer, address: Address) -> None:
        """Serve a fake server at an address."""
        http = NodeServer(address, server)
        http.error_log = _ignore_log
        self.servers[server.name] = server
        self._http.append(http)
        http.prepare()
        threading.Thread(target=http.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop all servers."""
        for http in self._http:
            http.stop()


def _ignore_log(*args: object, **kwargs: object) -> None:
    """Drop the errors that faults raise on purpose."""
