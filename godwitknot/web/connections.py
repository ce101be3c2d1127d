"""Client connections to servers and nodes, each used by one thread.

urllib3's pools send a request again by themselves unless told not to, and
hide whether a connection was reused. Both matter here, so the connections
of urllib3 are pooled by this module.
"""

import collections
import select
import socket
import threading
from http.client import CONTINUE, OK, HTTPResponse

import attrs
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from godwitknot.clock import Clock
from godwitknot.units import Address
from godwitknot.web.relay import CHUNK_BYTES

CONNECT_SECONDS = 1.0
# A server that stalls in the middle of a body is given up after this time.
_BODY_STALL_SECONDS = 60.0
# Middleboxes forget idle connections; younger ones are safe to reuse.
_MAX_IDLE_SECONDS = 20.0
_MILLISECONDS = 1000


class _FinalResponse(HTTPResponse):
    """Skips all interim responses, of which the library knows only 100."""

    def _read_status(self) -> tuple[str, int, str]:
        version, status, reason = super()._read_status()
        if status < OK:
            # The caller of this method skips a 100 and its header fields.
            status = CONTINUE
        return version, status, reason


class _Connection(HTTPConnection):
    response_class = _FinalResponse


class ConnectFailedError(OSError):
    """No connection was made, so nothing was sent."""


@attrs.define(eq=False)
class Channel:
    """An open connection.

    :param reused: whether it carried an earlier request.
    :param opened: when it was opened, seconds.
    """

    connection: HTTPConnection
    opened: float
    reused: bool = False
    idle_since: float = 0

    def close(self) -> None:
        """Close the connection at once."""
        self.connection.close()


class ChannelPool:
    """Idle connections to one address.

    :param address: where they lead.
    """

    def __init__(self, address: Address, clock: Clock, max_idle: int) -> None:
        """Start without connections.

        :param max_idle: idle connections kept at most.
        """
        self.address = address
        self._clock = clock
        self._max_idle = max_idle
        self._idle: collections.deque[Channel] = collections.deque()
        self._lock = threading.Lock()

    def acquire(self, *, fresh: bool = False) -> Channel:
        """Get a connection for one request.

        :param fresh: do not reuse one.
        :raises ConnectFailedError: if none could be opened.
        """
        if not fresh:
            channel = self._take_idle()
            if channel is not None:
                return channel
        connection = _Connection(
            self.address.host,
            self.address.port,
            timeout=CONNECT_SECONDS,
            blocksize=CHUNK_BYTES,
        )
        try:
            connection.connect()
        except (OSError, HTTPError) as error:
            connection.close()
            raise ConnectFailedError(str(self.address)) from error
        connection.timeout = _BODY_STALL_SECONDS
        connection.sock.settimeout(_BODY_STALL_SECONDS)
        return Channel(connection, self._clock.now())

    def release(self, channel: Channel) -> None:
        """Return a connection whose answer was read to its end."""
        channel.reused = True
        channel.idle_since = self._clock.now()
        with self._lock:
            self._idle.append(channel)
            surplus = []
            while len(self._idle) > self._max_idle:
                surplus.append(self._idle.popleft())
        for old in surplus:
            old.close()

    def close_idle(self) -> None:
        """Drop all idle connections, for example after one went silent."""
        with self._lock:
            idle = list(self._idle)
            self._idle.clear()
        for channel in idle:
            channel.close()

    def _take_idle(self) -> Channel | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                channel = self._idle.pop()
            age = self._clock.now() - channel.idle_since
            # Bytes on an idle connection are a late answer or its end.
            if age < _MAX_IDLE_SECONDS and not _is_readable(channel):
                return channel
            channel.close()


def _is_readable(channel: Channel) -> bool:
    sock = channel.connection.sock
    if sock is None:
        return True
    return bool(poll_sockets([sock], 0))


def poll_sockets(socks: list[socket.socket], seconds: float) -> list[int]:
    """Wait until a socket is readable.

    ``poll`` is used because ``select`` fails for descriptors over 1023.

    :param socks: sockets to watch.
    :param seconds: longest wait.
    :returns: descriptors that are readable or broken.
    """
    poller = select.poll()
    for sock in socks:
        poller.register(sock, select.POLLIN)
    return [fd for fd, _ in poller.poll(seconds * _MILLISECONDS)]


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Tell whether the peer of a readable socket closed it."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
