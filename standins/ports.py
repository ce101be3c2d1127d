"""Ports of the loopback interface, leased to one process at a time."""

import fcntl
import itertools
import os
import pathlib
import socket
import tempfile
from collections.abc import Iterator

from godwitknot.units import Address

LOOPBACK = '127.0.0.1'
# Below the range of ephemeral ports (32768 and up on Linux): an outgoing
# connection could occupy such a port while the process that listens on it is
# restarted.
_FIRST_PORT = 10000
_LAST_PORT = 32000
# Processes that start together begin their search at different ports.
_PORTS_PER_PROCESS = 64


class PortLeases:
    """Leases ports by file locks, which are held until this process ends.

    Between the choice of a port and its use, another test run on the same
    machine could bind it, unless both lease it from the same folder.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create leases without ports.

        :param folder: folder of the lock files, shared by all processes that
            lease ports.
        """
        self._folder = folder
        self._lock_descriptors: list[int] = []
        self._ports = _generate_ports()

    def lease(self, count: int) -> list[Address]:
        """Lease free ports; each call returns other ones.

        :returns: loopback addresses with these ports.
        :raises OSError: if the folder cannot be used.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        free = (
            Address(LOOPBACK, port)
            for port in self._ports
            if self._try_lock(port) and _is_free(port)
        )
        return list(itertools.islice(free, count))

    def _try_lock(self, port: int) -> bool:
        path = self._folder / str(port)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        self._lock_descriptors.append(descriptor)
        return True


def _generate_ports() -> Iterator[int]:
    port_count = _LAST_PORT - _FIRST_PORT
    for offset in itertools.count(os.getpid() * _PORTS_PER_PROCESS):
        yield _FIRST_PORT + offset % port_count


def _is_free(port: int) -> bool:
    with (
        socket.socket() as tcp_socket,
        socket.socket(type=socket.SOCK_DGRAM) as udp_socket,
    ):
        try:
            tcp_socket.bind((LOOPBACK, port))
            udp_socket.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


_LEASES = PortLeases(
    pathlib.Path(tempfile.gettempdir()) / f'godwitknot-ports-{os.getuid()}'
)


def reserve_addresses(count: int) -> list[Address]:
    """Lease free addresses on the loopback interface until the process ends.

    :returns: other addresses on each call.
    :raises OSError: if the folder of the lock files cannot be used.
    """
    return _LEASES.lease(count)
