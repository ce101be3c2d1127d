"""The platform stand-in: a table service and an object store over HTTP.

Paths: ``GET /tables/row?key=``, ``GET /tables/scan?prefix=``,
``POST /tables/write``, ``GET`` and ``PUT /objects/NAME``, ``GET`` and
``POST /faults``, ``GET /stats``. A 503 says that nothing was applied.
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
_NOT_COUNTED = frozenset(('/faults', '/stats'))
_JSON = 'application/json'
_BINARY = 'application/octet-stream'


@attrs.frozen
class Reply:
    """An HTTP response.

    :param missing: bytes that the length promises and the body lacks.
    """

    body: bytes
    status: HTTPStatus = HTTPStatus.OK
    kind: str = _JSON
    missing: int = 0


def _reply_json(document: object) -> Reply:
    return Reply(json.dumps(document).encode())


class PlatformApplication:
    """WSGI application with the data, the faults and the counters."""

    def __init__(self) -> None:
        """Start empty and without faults."""
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
            ('GET', '/faults'): self._show_faults,
            ('POST', '/faults'): self._set_faults,
            ('GET', '/stats'): self._show_counts,
        }

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Answer one request.

        :raises ConnectionResetError: to close the connection without an
            answer; cheroot sends nothing then.
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
        if path not in _NOT_COUNTED:
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
        row = self.tables.read(_query(environ, 'key'))
        return _reply_json(attrs.asdict(row))

    def _scan_rows(self, environ: dict[str, object], _body: bytes) -> Reply:
        rows = self.tables.scan(_query(environ, 'prefix'))
        return _reply_json({'rows': [attrs.asdict(row) for row in rows]})

    def _write_rows(self, _environ: dict[str, object], body: bytes) -> Reply:
        writes = [Write(**one) for one in json.loads(body)['writes']]
        try:
            self.tables.write(writes)
        except ConflictError as error:
            return Reply(str(error).encode(), HTTPStatus.CONFLICT)
        self._lose_answer()
        return _reply_json({})

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
                half = content[: len(content) // 2]
                missing = len(content) - len(half)
                return Reply(half, kind=_BINARY, missing=missing)
        return Reply(content, kind=_BINARY)

    def _put_object(self, environ: dict[str, object], body: bytes) -> Reply:
        name = str(environ['PATH_INFO']).removeprefix(_OBJECTS_PREFIX)
        self.objects.put(name, body)
        self._lose_answer()
        return _reply_json({})

    def _lose_answer(self) -> None:
        with self._lock:
            lost = self.faults.consume('lose_writes')
        if lost:
            raise ConnectionResetError(
                errno.ECONNRESET, 'answer lost on purpose'
            )

    def _show_faults(self, _environ: dict[str, object], _body: bytes) -> Reply:
        return _reply_json(attrs.asdict(self.faults))

    def _set_faults(self, environ: dict[str, object], body: bytes) -> Reply:
        changes = json.loads(body)
        known = attrs.asdict(self.faults)
        if not changes.keys() <= known.keys():
            return Reply(b'unknown fault', HTTPStatus.BAD_REQUEST)
        with self._lock:
            for name, setting in changes.items():
                setattr(self.faults, name, setting)
        return self._show_faults(environ, b'')

    def _show_counts(self, _environ: dict[str, object], _body: bytes) -> Reply:
        with self._lock:
            return _reply_json(dict(self.counts))


def _query(environ: dict[str, object], name: str) -> str:
    pairs = parse_qs(str(environ['QUERY_STRING']), keep_blank_values=True)
    return pairs[name][0]


def build_server(
    address: Address, application: PlatformApplication
) -> wsgi.Server:
    """Build the HTTP server; port 0 takes a free one."""
    server = wsgi.Server(
        (address.host, address.port), application, numthreads=_THREADS
    )
    server.error_log = _ignore_log
    return server


def _ignore_log(*_args: object, **_options: object) -> None:
    """Drop the errors that faults raise on purpose."""


def serve_platform(address: Address) -> None:
    """Serve until the process is told to end."""
    engine = cherrypy.engine
    server = build_server(address, PlatformApplication())
    bound = (address.host, address.port)
    servers.ServerAdapter(engine, server, bound).subscribe()
    engine.autoreload.unsubscribe()
    cherrypy.server.unsubscribe()
    # The engine exits with status 70 on a signal while it still starts, and
    # the server answers before that is over.
    ended = watch_signals()
    engine.start()
    ended.wait()
    engine.exit()
