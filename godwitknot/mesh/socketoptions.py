"""Options and state of TCP sockets, as far as the kernel has them."""

import array
import contextlib
import fcntl
import socket
import struct
import termios

from godwitknot.mesh.sendprogress import SentState

# Keep-alive probes detect a dead idle connection after 4 s.
_PROBE_IDLE_SECONDS = 2
_PROBE_INTERVAL_SECONDS = 1
_PROBE_COUNT = 2
# Data that stays unacknowledged this long means that the path is broken, where
# the kernel does not tell a slow reader from a broken path.
_USER_TIMEOUT_MS = 4000
# Longest time between two probes of a closed window, in ms; the smallest value
# that the option allows. Lost probes are thus no sign of a cut. Linux has the
# option since 6.15; the socket module of Python 3.11 has no name for it.
_TCP_RTO_MAX_MS = 44
_PROBE_GAP_MS = 1000
_DEFAULT_RTO_MAX_MS = 120000
# Fields of struct tcp_info: tcpi_unacked and tcpi_last_ack_recv (ms).
_INFO_UNACKED = struct.Struct('24xI')
_INFO_LAST_ACK = struct.Struct('56xI')
_INFO_BYTES = 60
_MS_PER_SECOND = 1000

# An older kernel may lack any of the options.
_OPTION_ERRORS = (OSError, AttributeError)


def set_options(sock: socket.socket) -> bool:
    """Set the options of a new connection.

    :returns: whether :func:`read_sent_state` works on it. Otherwise the kernel
        closes it once data stays unacknowledged, which also ends slow readers.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    _set_option(sock, 'TCP_KEEPIDLE', _PROBE_IDLE_SECONDS)
    _set_option(sock, 'TCP_KEEPINTVL', _PROBE_INTERVAL_SECONDS)
    _set_option(sock, 'TCP_KEEPCNT', _PROBE_COUNT)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if read_sent_state(sock) is not None:
        return True
    _set_option(sock, 'TCP_USER_TIMEOUT', _USER_TIMEOUT_MS)
    return False


def _set_option(sock: socket.socket, name: str, setting: int) -> None:
    with contextlib.suppress(*_OPTION_ERRORS):
        sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), setting)


def read_sent_state(sock: socket.socket) -> SentState | None:
    """Return the state of the sent data, ``None`` if it is not known."""
    try:
        unacknowledged = _count_unacknowledged(sock)
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except _OPTION_ERRORS:
        return None
    if len(info) < _INFO_BYTES:
        return None
    (in_flight,) = _INFO_UNACKED.unpack_from(info)
    (silent_ms,) = _INFO_LAST_ACK.unpack_from(info)
    return SentState(
        unacknowledged, bool(in_flight), silent_ms / _MS_PER_SECOND
    )


def _count_unacknowledged(sock: socket.socket) -> int:
    count = array.array('i', (0,))
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return count[0]


def limit_probe_gap(sock: socket.socket, *, limited: bool) -> None:
    """Limit the time between probes of a peer that accepts no more data.

    It is not limited otherwise, since it also bounds the time until a
    retransmission, which may have to be longer on a full link.
    """
    setting = _PROBE_GAP_MS if limited else _DEFAULT_RTO_MAX_MS
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, setting)
