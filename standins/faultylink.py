"""A network link with faults: a relay that drops, delays or resets traffic.

It can also have a limited bandwidth, which its connections share. It can drop one direction, as a one-way partition does, or all traffic of the
TCP connections that are open while new ones work, as a middlebox does that
lost its connection table. It relays TCP and UDP of one port to one target.
"""

import contextlib
import json
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable

import attrs

from godwitknot.units import Address
from godwitknot.web.httpserver import NodeServer

_CHUNK_BYTES = 65536
_MAX_DATAGRAM_BYTES = 65535
_BACKLOG = 128
# On a link of limited bandwidth, a chunk takes at most this long, so that the
# connections take turns.
_CHUNK_SECONDS = 0.02
_MIN_CHUNK_BYTES = 256
# With a linger time of zero, closing a socket sends a reset.
_ZERO_LINGER = struct.pack('ii', 1, 0)


@attrs.define(eq=False)
class _Connection:
    """One relayed TCP connection.

    :param blackholed: drop the traffic of both directions from now on.
    :param reset: being closed with a TCP reset.
    """

    client: socket.socket
    upstream: socket.socket
    blackholed: bool = False
    reset: bool = False


class _Pacer:
    """Spaces the chunks that all connections send in one direction."""

    def __init__(self) -> None:
        self._free_at = float(0)
        self._lock = threading.Lock()

    def wait(self, size: int, bytes_per_second: float) -> None:
        """Wait until the link has carried a chunk."""
        with self._lock:
            start = max(time.monotonic(), self._free_at)
            self._free_at = start + size / bytes_per_second
            end = self._free_at
        time.sleep(max(0, end - time.monotonic()))


class FaultyLink:
    """Relays one port to a target, with faults that can be switched on."""

    def __init__(self, address: Address, target: Address) -> None:
        """Create a link without faults; :meth:`start` makes it listen.

        :param address: where clients connect; forward is from them to the
            target.
        :param target: the upstream address.
        """
        self.cut_forward = False
        self.cut_backward = False
        # Seconds by which each chunk of a TCP connection is delayed.
        self.delay = float(0)
        # Bandwidth of each direction of all TCP connections; 0 is unlimited.
        self.bytes_per_second = float(0)
        self.address = address
        self._target = target
        self._forward_pacer = _Pacer()
        self._backward_pacer = _Pacer()
        self._connections: list[_Connection] = []
        self._lock = threading.Lock()
        self._upstream_sockets: dict[tuple, socket.socket] = {}

    def start(self) -> None:
        """Listen on TCP and UDP."""
        listener = socket.create_server(
            self.address.pair,
            backlog=_BACKLOG,
            reuse_port=False,
        )
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.bind(self.address.pair)
        _start_thread(self._accept, listener)
        _start_thread(self._relay_datagrams, datagrams)

    def blackhole_open_connections(self) -> None:
        """Drop all further traffic of the TCP connections that are open."""
        with self._lock:
            for connection in self._connections:
                connection.blackholed = True

    def reset_open_connections(self) -> None:
        """Reset the open TCP connections, to the client and upstream."""
        with self._lock:
            connections = tuple(self._connections)
        for connection in connections:
            connection.reset = True
            _prepare_reset(connection.client)
            _prepare_reset(connection.upstream)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            client, _ = listener.accept()
            try:
                upstream = socket.create_connection(
                    self._target.pair, timeout=1
                )
            except OSError:
                client.close()
                continue
            upstream.settimeout(None)
            connection = _Connection(client, upstream)
            with self._lock:
                self._connections.append(connection)
            _start_thread(self._forward_stream, connection, client, upstream)
            _start_thread(self._forward_stream, connection, upstream, client)

    def _forward_stream(
        self,
        connection: _Connection,
        source: socket.socket,
        destination: socket.socket,
    ) -> None:
        forward = source is connection.client
        try:
            while True:
                content = source.recv(self._get_chunk_bytes())
                dropped = self.cut_forward if forward else self.cut_backward
                if not content:
                    break
                self._wait_for_link(len(content), forward=forward)
                if not (connection.blackholed or dropped):
                    destination.sendall(content)
        except OSError:
            self._discard(connection)
        if connection.reset:
            self._discard(connection)
            return
        # A blackholed connection does not pass on its end either.
        if not connection.blackholed:
            _close_write(destination)

    def _get_chunk_bytes(self) -> int:
        if not self.bytes_per_second:
            return _CHUNK_BYTES
        size = int(self.bytes_per_second * _CHUNK_SECONDS)
        return min(_CHUNK_BYTES, max(_MIN_CHUNK_BYTES, size))

    def _wait_for_link(self, size: int, *, forward: bool) -> None:
        """Wait as long as a chunk of a TCP connection is under way."""
        time.sleep(self.delay)
        rate = self.bytes_per_second
        if rate:
            pacer = self._forward_pacer if forward else self._backward_pacer
            pacer.wait(size, rate)

    def _discard(self, connection: _Connection) -> None:
        with self._lock:
            if connection in self._connections:
                self._connections.remove(connection)
        connection.client.close()
        connection.upstream.close()

    def _relay_datagrams(self, udp_socket: socket.socket) -> None:
        while True:
            content, client_address = udp_socket.recvfrom(_MAX_DATAGRAM_BYTES)
            if self.cut_forward:
                continue
            upstream_socket = self._upstream_sockets.get(client_address)
            if upstream_socket is None:
                upstream_socket = socket.socket(
                    socket.AF_INET, socket.SOCK_DGRAM
                )
                upstream_socket.connect(self._target.pair)
                self._upstream_sockets[client_address] = upstream_socket
                _start_thread(
                    self._relay_replies,
                    udp_socket,
                    upstream_socket,
                    client_address,
                )
            with contextlib.suppress(OSError):
                upstream_socket.send(content)

    def _relay_replies(
        self,
        udp_socket: socket.socket,
        upstream_socket: socket.socket,
        client_address: tuple,
    ) -> None:
        while True:
            try:
                content = upstream_socket.recv(_MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            if not self.cut_backward:
                udp_socket.sendto(content, client_address)


def _prepare_reset(sock: socket.socket) -> None:
    """Make the next close send a reset, and wake the reading thread."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
        sock.shutdown(socket.SHUT_RD)


def _close_write(destination: socket.socket) -> None:
    try:
        destination.shutdown(socket.SHUT_WR)
    except OSError:
        destination.close()


def _start_thread(target: object, *args: object) -> None:
    threading.Thread(target=target, args=args, daemon=True).start()


class _Control:
    """WSGI application that switches faults of a link on and off.

    A request carries a JSON object: ``forward`` and ``backward`` tell whether
    to drop that direction, ``silence`` whether to drop all further traffic of
    the open TCP connections.
    """

    def __init__(self, link: FaultyLink) -> None:
        self._link = link

    def __call__(
        self,
        environ: dict,
        start_response: Callable,
    ) -> Iterable[bytes]:
        """Apply one command."""
        command = json.loads(environ['wsgi.input'].read())
        self._link.cut_forward = bool(command.get('forward'))
        self._link.cut_backward = bool(command.get('backward'))
        if command.get('silence'):
            self._link.blackhole_open_connections()
        start_response('200 OK', [('Content-Length', '0')])
        return []


def serve_control(link: FaultyLink, address: Address) -> None:
    """Serve fault commands for a link at an address, in a thread."""
    server = NodeServer(address, _Control(link))
    server.prepare()
    _start_thread(server.serve)
