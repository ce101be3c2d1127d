"""HTTP servers of a node: cheroot with strict framing, run by cherrypy."""

import collections
import contextlib
import re
import socket
from collections.abc import Callable

import attrs
import cherrypy
from cheroot import server as cheroot_server
from cheroot import wsgi
from cherrypy.process.servers import ServerAdapter

from godwitknot.units import Address
from godwitknot.web.connections import poll_sockets
from godwitknot.web.socketfiles import Writer, make_file
from godwitknot.web.threadpool import GrowingPool

SOCKET_KEY = 'godwitknot.socket'
MAX_HEADER_BYTES = 16384

_MIN_THREADS = 16
_MAX_THREADS = 1000
_BACKLOG = 512
# A slow client may need this long to drain a full send buffer.
_SOCKET_TIMEOUT_SECONDS = 120
# Covers the gap between two requests of a busy connection. It delays the
# shutdown of the server by at most this time.
_KEEP_ALIVE_POLL_SECONDS = 0.5
# Bounds the memory that one slow reader holds in the kernel.
_SEND_BUFFER_BYTES = 262144
_CONTENT_LENGTH = b'Content-Length'
_TRANSFER_ENCODING = b'Transfer-Encoding'
_DIGITS = re.compile(rb'^\d{1,18}$')
_HEADER_NAME = re.compile(rb"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")


class _StrictFields(collections.UserDict):
    """Rejects repeated framing fields, which hops may interpret differently."""

    def __setitem__(self, name: bytes, text: bytes) -> None:
        if name in {_CONTENT_LENGTH, _TRANSFER_ENCODING} and name in self:
            raise ValueError('Repeated framing header.')
        if not _HEADER_NAME.match(name):
            raise ValueError('Illegal header name.')
        super().__setitem__(name, text)


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Rejects messages whose length is ambiguous.

    :raises ValueError: if the framing is invalid; cheroot then responds
        with status 400.
    """

    def __call__(self, rfile: object, hdict: dict | None = None) -> dict:
        """Read the header fields of one message."""
        fields = super().__call__(rfile, _StrictFields())
        length = fields.get(_CONTENT_LENGTH)
        if length is not None and not _DIGITS.match(length):
            raise ValueError('Malformed Content-Length Header.')
        encoding = fields.get(_TRANSFER_ENCODING)
        if encoding is not None:
            if length is not None:
                raise ValueError('Both length and transfer encoding.')
            if encoding.strip().lower() != b'chunked':
                raise ValueError('Unknown transfer encoding.')
        target = {} if hdict is None else hdict
        target.update(fields)
        return target

    def _transform_key(self, key_name: bytes) -> bytes:
        # Whitespace before the colon is invalid and must not be stripped, so
        # only the case changes.
        return key_name.title()

    def _allow_header(self, key_name: bytes) -> bool:
        # "A_B" and "A-B" have the same name in a WSGI environment.
        return b'_' not in key_name


class _Request(cheroot_server.HTTPRequest):
    header_reader = StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Reject chunked bodies of HTTP/1.0, which cheroot would ignore."""
        if not super().read_request_headers():
            return False
        if self.inheaders.get(_TRANSFER_ENCODING) and not self.chunked_read:
            self.simple_response('400 Bad Request')
            return False
        return True

    def respond(self) -> None:
        """Send the response, and flush a head that has no body."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.conn.wfile.flush)
            super().respond()

    def send_headers(self) -> None:
        """Buffer the head, so that it is sent with the first body bytes.

        cheroot calls this right before it writes the first chunk.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(setattr, self.conn, 'wfile', self.conn.wfile)
            self.conn.wfile = _HeadBuffer(self.conn.wfile)
            super().send_headers()


@attrs.frozen
class _HeadBuffer:
    """Replaces the writer while cheroot writes the head."""

    writer: Writer

    def write(self, head: bytes) -> None:
        """Buffer the head."""
        self.writer.buffer_head(head)


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server: object, sock: socket.socket, *_: object):
        """Wrap an accepted socket."""
        super().__init__(server, sock, make_file)

    def communicate(self) -> bool:
        """Serve requests as long as the next one follows shortly.

        The thread keeps the connection for a moment after each response,
        because returning it to the selector and the queue costs two thread
        switches per request.

        :returns: whether the connection returns to the selector.
        """
        while super().communicate():
            if not self._has_next_request():
                return True
        return False

    def _has_next_request(self) -> bool:
        if self.rfile.has_data():
            return True
        if not (self.server.ready and self.server.requests.has_spare_threads):
            return False
        return bool(poll_sockets([self.socket], _KEEP_ALIVE_POLL_SECONDS))


class _Gateway(wsgi.Gateway_10):
    """Passes the socket to the application, to detect closed connections."""

    def get_environ(self) -> dict:
        """Return the WSGI environment with the caller's socket."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ

    def respond(self) -> None:
        """Send the application's response, and always close it.

        cheroot does not close it if the head cannot be sent, and then the
        slot of the request would never be released.
        """
        response = self.req.server.wsgi_app(self.env, self.start_response)
        with contextlib.ExitStack() as stack:
            close = getattr(response, 'close', None)
            if close is not None:
                stack.callback(close)
            stack.callback(self.req.ensure_headers_sent)
            for chunk in filter(None, response):
                self.write(chunk)


class NodeServer(wsgi.Server):
    """An HTTP server for one WSGI application of the node."""

    ConnectionClass = _Connection

    def __init__(self, address: Address, application: Callable) -> None:
        """Create the server; it listens once it is started.

        :param address: address to listen on.
        :param application: WSGI application.
        """
        super().__init__(
            address.pair,
            application,
            numthreads=_MIN_THREADS,
            request_queue_size=_BACKLOG,
            timeout=_SOCKET_TIMEOUT_SECONDS,
            shutdown_timeout=1,
        )
        self.gateway = _Gateway
        self.max_request_header_size = MAX_HEADER_BYTES
        self.nodelay = True
        self.keep_alive_conn_limit = _MAX_THREADS
        self.requests = GrowingPool(self, _MIN_THREADS, _MAX_THREADS)

    @classmethod
    def prepare_socket(cls, *args: object, **kwargs: object) -> socket.socket:
        """Limit the send buffer; accepted sockets inherit the limit."""
        listener = super().prepare_socket(*args, **kwargs)
        listener.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_SNDBUF,
            _SEND_BUFFER_BYTES,
        )
        return listener

    def close_listener(self) -> None:
        """Stop accepting connections; open ones continue.

        cheroot can only be stopped as a whole, so the listener is
        unregistered from its selector.
        """
        listener = self.socket
        if listener is None:
            return
        with contextlib.suppress(KeyError, ValueError, OSError):
            self._connections._selector.unregister(listener.fileno())
        with contextlib.suppress(OSError):
            listener.close()


def prepare_engine() -> None:
    """Disable the parts of the cherrypy engine that a node does not use.

    These are the default server on port 8080, automatic reloading, and the
    log lines for each step of the engine. cherrypy's signal handlers are
    inactive anyway, since nothing subscribes them.
    """
    cherrypy.server.unsubscribe()
    cherrypy.engine.autoreload.unsubscribe()
    cherrypy.log.screen = False
    cherrypy.log.error_log.propagate = False
    cherrypy.log.access_log.propagate = False


def subscribe_server(server: NodeServer) -> ServerAdapter:
    """Let the cherrypy engine start and stop a server.

    :param server: the server to manage.
    :returns: the server's adapter, subscribed to the engine's bus.
    """
    adapter = ServerAdapter(cherrypy.engine, server, server.bind_addr)
    adapter.subscribe()
    return adapter
