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
class _Link:
    """One relayed TCP connection.

    :param silent: discard both directions for good.
    :param broken: closed with a reset by order.
    """

    near: socket.socket
    far: socket.socket
    silent: bool = False
    broken: bool = False


class Cutter:
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
        self._links: list[_Link] = []
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

    def silence_open(self) -> None:
        """Make all open TCP connections silent for good."""
        with self._lock:
            for link in self._links:
                link.silent = True

    def reset_open(self) -> None:
        """Reset all open TCP connections on both sides."""
        with self._lock:
            links = tuple(self._links)
        for link in links:
            link.broken = True
            _prepare_reset(link.near)
            _prepare_reset(link.far)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            near, _ = listener.accept()
            try:
                far = socket.create_connection(self._target.pair, timeout=1)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            link = _Link(near, far)
            with self._lock:
                self._links.append(link)
            _run(self._pump, link, near, far)
            _run(self._pump, link, far, near)

    def _pump(
        self,
        link: _Link,
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        forward = source is link.near
        try:
            while True:
                content = source.recv(_CHUNK_BYTES)
                lost = self.cut_forward if forward else self.cut_backward
                if not content:
                    break
                time.sleep(self.delay)
                if not (link.silent or lost):
                    sink.sendall(content)
        except OSError:
            self._forget(link)
        if link.broken:
            self._forget(link)
            return
        # A lost direction loses the end of the connection too.
        if not link.silent:
            _close_write(sink)

    def _forget(self, link: _Link) -> None:
        with self._lock:
            if link in self._links:
                self._links.remove(link)
        link.near.close()
        link.far.close()

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

    def __init__(self, cutter: Cutter) -> None:
        self._cutter = cutter

    def __call__(
        self,
        environ: dict,
        start_response: Callable,
    ) -> Iterable[bytes]:
        """Follow one order."""
        order = json.loads(environ['wsgi.input'].read())
        self._cutter.cut_forward = bool(order.get('forward'))
        self._cutter.cut_backward = bool(order.get('backward'))
        if order.get('silence'):
            self._cutter.silence_open()
        start_response('200 OK', [('Content-Length', '0')])
        return []


def serve_control(cutter: Cutter, address: Address) -> None:
    """Take orders for a cutter at an address, in a thread."""
    server = NodeServer(address, _Control(cutter))
    server.prepare()
    _run(server.serve)
