"""Stand-in of the platform: a table service and an object store over HTTP.

Paths: ``GET /tables/row?key=``, ``GET /tables/scan?prefix=``,
``POST /tables/write``, ``GET`` and ``PUT /objects/NAME``, ``GET`` and
``POST /faults``, ``GET /stats`` (requests by method and path). A response
503 guarantees that nothing was applied.
"""

import collections
import errno
import json
import threading
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import parse_qs

import attrs
import cherrypy
from cheroot import wsgi
from cherrypy.process import servers

from godwitknot.errors import ConflictError, MissingObjectError
from godwitknot.storage.store import Write
from godwitknot.units import Address
from standins.memorystore import MemoryObjects, MemoryTables, PlatformFaults
from standins.signals import watch_signals

_THREADS = 40
_MS_PER_SECOND = 1000
_FLIPPED_BITS = 0xFF
_OBJECTS_PREFIX = '/objects/'
_CONTROL_PATHS = frozenset(('/faults', '/stats'))
_JSON = 'application/json'
_BINARY = 'application/octet-stream'


@attrs.frozen
class Reply:
    """An HTTP response.

    :param kind: content type.
    :param missing: bytes by which the body is shorter than its announced
        length.
    """

    body: bytes
    status: HTTPStatus = HTTPStatus.OK
    kind: str = _JSON
    missing: int = 0


def _build_json_reply(document: object) -> Reply:
    return Reply(json.dumps(document).encode())


class PlatformApplication:
    """WSGI application that serves the stores with their faults."""

    def __init__(self) -> None:
        """Create empty stores without faults."""
        self.tables = MemoryTables()
        self.objects = MemoryObjects()
        self.faults = PlatformFaults()
        self.counts: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()
        self._routes: dict[tuple[str, str], Callable[..., Reply]] = {
            ('GET', '/tables/row'): self._read_row,
            ('GET', '/tables/scan'): self._scan_rows,
            ('POST', '/tables/write'): self._write_rows,
            ('GET', _OBJECTS_PREFIX): self._get_object,
            ('PUT', _OBJECTS_PREFIX): self._put_object,
            ('GET', '/faults'): self._report_faults,
            ('POST', '/faults'): self._set_faults,
            ('GET', '/stats'): self._report_counts,
        }

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Serve one request.

        :raises ConnectionResetError: to close the connection without a
            response; cheroot sends nothing then.
        """
        reply = self._handle(environ)
        length = len(reply.body) + reply.missing
        headers = [
            ('Content-Type', reply.kind),
            ('Content-Length', str(length)),
        ]
        if reply.missing:
            headers.append(('Connection', 'close'))
        start_response(f'{reply.status.value} {reply.status.phrase}', headers)
        return [reply.body]

    def _handle(self, environ: dict[str, object]) -> Reply:
        path = str(environ['PATH_INFO'])
        method = str(environ['REQUEST_METHOD'])
        if path not in _CONTROL_PATHS:
            self._count(method, path)
            time.sleep(self.faults.slow_ms / _MS_PER_SECOND)
            if self.faults.down:
                return Reply(b'down', HTTPStatus.SERVICE_UNAVAILABLE)
        name = path
        if path.startswith(_OBJECTS_PREFIX):
            name = _OBJECTS_PREFIX
        handler = self._routes.get((method, name))
        if handler is None:
            return Reply(b'no such path', HTTPStatus.NOT_FOUND)
        size = int(str(environ.get('CONTENT_LENGTH') or 0))
        return handler(environ, environ['wsgi.input'].read(size))

    def _count(self, method: str, path: str) -> None:
        kind = 'objects' if path.startswith(_OBJECTS_PREFIX) else path
        with self._lock:
            self.counts[f'{method} {kind}'] += 1

    def _read_row(self, environ: dict[str, object], _body: bytes) -> Reply:
        row = self.tables.read(_parse_query(environ, 'key'))
        return _build_json_reply(attrs.asdict(row))

    def _scan_rows(self, environ: dict[str, object], _body: bytes) -> Reply:
        rows = self.tables.scan(_parse_query(environ, 'prefix'))
        return _build_json_reply({'rows': [attrs.asdict(row) for row in rows]})

    def _write_rows(self, _environ: dict[str, object], body: bytes) -> Reply:
        writes = [Write(**fields) for fields in json.loads(body)['writes']]
        try:
            self.tables.write(writes)
        except ConflictError as error:
            return Reply(str(error).encode(), HTTPStatus.CONFLICT)
        self._maybe_drop_response()
        return _build_json_reply({})

    def _get_object(self, environ: dict[str, object], _body: bytes) -> Reply:
        name = str(environ['PATH_INFO']).removeprefix(_OBJECTS_PREFIX)
        try:
            content = self.objects.get(name)
        except MissingObjectError:
            return Reply(b'missing', HTTPStatus.NOT_FOUND)
        with self._lock:
            if content and self.faults.consume('corrupt_reads'):
                content = bytes([content[0] ^ _FLIPPED_BITS]) + content[1:]
            if self.faults.consume('truncate_reads'):
                first_half = content[: len(content) // 2]
                missing = len(content) - len(first_half)
                return Reply(first_half, kind=_BINARY, missing=missing)
        return Reply(content, kind=_BINARY)

    def _put_object(self, environ: dict[str, object], body: bytes) -> Reply:
        name = str(environ['PATH_INFO']).removeprefix(_OBJECTS_PREFIX)
        self.objects.put(name, body)
        self._maybe_drop_response()
        return _build_json_reply({})

    def _maybe_drop_response(self) -> None:
        with self._lock:
            is_dropped = self.faults.consume('lose_writes')
        if is_dropped:
            raise ConnectionResetError(
                errno.ECONNRESET, 'response dropped by an injected fault'
            )

    def _report_faults(
        self, _environ: dict[str, object], _body: bytes
    ) -> Reply:
        return _build_json_reply(attrs.asdict(self.faults))

    def _set_faults(self, environ: dict[str, object], body: bytes) -> Reply:
        changes = json.loads(body)
        known = attrs.asdict(self.faults)
        if not changes.keys() <= known.keys():
            return Reply(b'unknown fault', HTTPStatus.BAD_REQUEST)
        with self._lock:
            for name, setting in changes.items():
                setattr(self.faults, name, setting)
        return self._report_faults(environ, b'')

    def _report_counts(
        self, _environ: dict[str, object], _body: bytes
    ) -> Reply:
        with self._lock:
            return _build_json_reply(dict(self.counts))


def _parse_query(environ: dict[str, object], name: str) -> str:
    pairs = parse_qs(str(environ['QUERY_STRING']), keep_blank_values=True)
    return pairs[name][0]


def build_server(
    address: Address, application: PlatformApplication
) -> wsgi.Server:
    """Build the HTTP server; port 0 selects a free port."""
    server = wsgi.Server(
        (address.host, address.port), application, numthreads=_THREADS
    )
    server.error_log = _discard_log
    return server


def _discard_log(*_args: object, **_options: object) -> None:
    """Discard log lines: injected faults raise errors on purpose."""


def serve_platform(address: Address) -> None:
    """Serve until the process receives SIGTERM or SIGINT."""
    engine = cherrypy.engine
    server = build_server(address, PlatformApplication())
    bound_address = (address.host, address.port)
    servers.ServerAdapter(engine, server, bound_address).subscribe()
    engine.autoreload.unsubscribe()
    cherrypy.server.unsubscribe()
    # On a signal during its start the engine exits with status 70, and the
    # server already responds before the start is complete. So this process
    # handles signals itself.
    stop_requested = watch_signals()
    engine.start()
    stop_requested.wait()
    engine.exit()
