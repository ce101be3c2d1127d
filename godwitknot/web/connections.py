"""Pools of HTTP connections to servers and nodes.

urllib3's own pools retry requests by default and hide whether a connection
was reused. Requests here must not be repeated silently, so this module
pools urllib3's connections itself. A connection is used by one thread at a
time.
"""

import collections
import select
import socket
import threading

import attrs
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from godwitknot.clock import Clock
from godwitknot.strictresponses import StrictConnection
from godwitknot.units import Address
from godwitknot.web.relay import CHUNK_BYTES

CONNECT_TIMEOUT_SECONDS = 1.0
# Applies to each read or write, such as when a server stalls in a body.
_IO_TIMEOUT_SECONDS = 60.0
# Middleboxes drop state of idle connections, so older ones are not reused.
_MAX_IDLE_SECONDS = 20.0
_MILLISECONDS = 1000


class ConnectFailedError(OSError):
    """The connection could not be opened, so nothing was sent."""


@attrs.define(eq=False)
class Channel:
    """An open connection.

    :param opened: clock time at which it was opened, in seconds.
    :param reused: whether it carried an earlier request.
    :param identified: whether a response had the id of its request.
    :param idle_since: clock time of its last release, in seconds.
    """

    connection: HTTPConnection
    opened: float
    reused: bool = False
    identified: bool = False
    idle_since: float = 0

    def close(self) -> None:
        """Close the connection at once."""
        self.connection.close()


class ChannelPool:
    """Reusable connections to one address.

    :param address: the address they connect to.
    """

    def __init__(self, address: Address, clock: Clock, max_idle: int) -> None:
        """Create an empty pool.

        :param max_idle: most idle connections that are kept open.
        """
        self.address = address
        self._clock = clock
        self._max_idle = max_idle
        self._idle: collections.deque[Channel] = collections.deque()
        self._lock = threading.Lock()

    def acquire(self, *, fresh: bool = False) -> Channel:
        """Return a connection for one request.

        :param fresh: open a new connection instead of reusing one.
        :raises ConnectFailedError: if a new one cannot be opened.
        """
        if not fresh:
            channel = self._acquire_idle()
            if channel is not None:
                return channel
        connection = StrictConnection(
            self.address.host,
            self.address.port,
            timeout=CONNECT_TIMEOUT_SECONDS,
            blocksize=CHUNK_BYTES,
        )
        try:
            connection.connect()
        except (OSError, HTTPError) as error:
            connection.close()
            raise ConnectFailedError(str(self.address)) from error
        connection.timeout = _IO_TIMEOUT_SECONDS
        connection.sock.settimeout(_IO_TIMEOUT_SECONDS)
        return Channel(connection, self._clock.now())

    def release(self, channel: Channel) -> None:
        """Put back a connection whose response was read completely."""
        channel.reused = True
        channel.idle_since = self._clock.now()
        with self._lock:
            self._idle.append(channel)
            surplus = []
            while len(self._idle) > self._max_idle:
                surplus.append(self._idle.popleft())
        for oldest in surplus:
            oldest.close()

    def close_idle(self) -> None:
        """Close all idle connections, for example after one timed out."""
        with self._lock:
            idle = list(self._idle)
            self._idle.clear()
        for channel in idle:
            channel.close()

    def _acquire_idle(self) -> Channel | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                channel = self._idle.pop()
            idle_seconds = self._clock.now() - channel.idle_since
            # An idle connection is readable only if the peer closed it or
            # sent a late response.
            if idle_seconds < _MAX_IDLE_SECONDS and not _is_readable(channel):
                return channel
            channel.close()


def _is_readable(channel: Channel) -> bool:
    sock = channel.connection.sock
    if sock is None:
        return True
    return bool(poll_sockets([sock], 0))


def poll_sockets(socks: list[socket.socket], seconds: float) -> list[int]:
    """Wait until at least one socket is readable.

    ``poll`` is used because ``select`` fails for descriptors over 1023.

    :param socks: sockets to watch.
    :param seconds: longest time to wait.
    :returns: file descriptors that are readable or in an error state.
    """
    poller = select.poll()
    for sock in socks:
        poller.register(sock, select.POLLIN)
    return [fd for fd, _ in poller.poll(seconds * _MILLISECONDS)]


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer of a readable socket closed the connection."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
