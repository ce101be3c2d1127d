"""A relay between two parties that can lose what they send.

It stands for the network: a one-way partition discards one direction, and
a middlebox that forgets connections makes the open ones silent while new
ones work. TCP and UDP on one port are relayed to one target.
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
_UDP_BYTES = 65535
_BACKLOG = 128
# Linger for no time: the kernel sends a reset.
_RESET = struct.pack('ii', 1, 0)


@attrs.define(eq=False)
class _Connection:
    """One relayed TCP connection.

    :param silent: discard both directions for good.
    :param broken: closed with a reset by order.
    """

    near: socket.socket
    far: socket.socket
    silent: bool = False
    broken: bool = False


class FaultyLink:
    """Relays one port and discards what it is told to."""

    def __init__(self, address: Address, target: Address) -> None:
        """Prepare to relay.

        :param address: where the near party connects to.
        :param target: the far party.
        """
        self.cut_forward = False
        self.cut_backward = False
        # Seconds that each piece of a TCP connection is held up.
        self.delay = float(0)
        self.address = address
        self._target = target
        self._connections: list[_Connection] = []
        self._lock = threading.Lock()
        self._senders: dict[tuple, socket.socket] = {}

    def start(self) -> None:
        """Listen on TCP and UDP."""
        listener = socket.create_server(
            self.address.pair,
            backlog=_BACKLOG,
            reuse_port=False,
        )
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.bind(self.address.pair)
        _run(self._accept, listener)
        _run(self._relay_datagrams, datagrams)

    def blackhole_open_connections(self) -> None:
        """Make all open TCP connections silent for good."""
        with self._lock:
            for connection in self._connections:
                connection.silent = True

    def reset_open_connections(self) -> None:
        """Reset all open TCP connections on both sides."""
        with self._lock:
            connections = tuple(self._connections)
        for connection in connections:
            connection.broken = True
            _prepare_reset(connection.near)
            _prepare_reset(connection.far)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            near, _ = listener.accept()
            try:
                far = socket.create_connection(self._target.pair, timeout=1)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            connection = _Connection(near, far)
            with self._lock:
                self._connections.append(connection)
            _run(self._pump, connection, near, far)
            _run(self._pump, connection, far, near)

    def _pump(
        self,
        connection: _Connection,
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        forward = source is connection.near
        try:
            while True:
                content = source.recv(_CHUNK_BYTES)
                lost = self.cut_forward if forward else self.cut_backward
                if not content:
                    break
                time.sleep(self.delay)
                if not (connection.silent or lost):
                    sink.sendall(content)
        except OSError:
            self._forget(connection)
        if connection.broken:
            self._forget(connection)
            return
        # A lost direction loses the end of the connection too.
        if not connection.silent:
            _close_write(sink)

    def _forget(self, connection: _Connection) -> None:
        with self._lock:
            if connection in self._connections:
                self._connections.remove(connection)
        connection.near.close()
        connection.far.close()

    def _relay_datagrams(self, near: socket.socket) -> None:
        while True:
            content, origin = near.recvfrom(_UDP_BYTES)
            if self.cut_forward:
                continue
            sender = self._senders.get(origin)
            if sender is None:
                sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sender.connect(self._target.pair)
                self._senders[origin] = sender
                _run(self._relay_answers, near, sender, origin)
            with contextlib.suppress(OSError):
                sender.send(content)

    def _relay_answers(
        self,
        near: socket.socket,
        sender: socket.socket,
        origin: tuple,
    ) -> None:
        while True:
            try:
                content = sender.recv(_UDP_BYTES)
            except OSError:
                continue
            if not self.cut_backward:
                near.sendto(content, origin)


def _prepare_reset(sock: socket.socket) -> None:
    """Let the next close send a reset, and wake the thread that reads."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        sock.shutdown(socket.SHUT_RD)


def _close_write(sink: socket.socket) -> None:
    try:
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        sink.close()


def _run(target: object, *args: object) -> None:
    threading.Thread(target=target, args=args, daemon=True).start()


class _Control:
    """Takes orders over HTTP: a JSON object with what is to be lost."""

    def __init__(self, link: FaultyLink) -> None:
        self._link = link

    def __call__(
        self,
        environ: dict,
        start_response: Callable,
    ) -> Iterable[bytes]:
        """Follow one order."""
        order = json.loads(environ['wsgi.input'].read())
        self._link.cut_forward = bool(order.get('forward'))
        self._link.cut_backward = bool(order.get('backward'))
        if order.get('silence'):
            self._link.blackhole_open_connections()
        start_response('200 OK', [('Content-Length', '0')])
        return []


def serve_control(link: FaultyLink, address: Address) -> None:
    """Take orders for a faulty link at an address, in a thread."""
    server = NodeServer(address, _Control(link))
    server.prepare()
    _run(server.serve)
