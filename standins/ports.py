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
# Below the range that outgoing connections use (32768 and up on Linux), from
# which a port may be taken while its process is restarted.
_FIRST_PORT = 10000
_LAST_PORT = 32000
# Processes that start together begin to search at different ports.
_PORTS_PER_PROCESS = 64


class PortLeases:
    """Leases ports by locks on files, held until this process ends.

    A port that is bound later than it was chosen can be taken meanwhile by
    another test run on the same machine, unless both ask here.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Take the folder of the lock files.

        :param folder: shared by all processes that lease.
        """
        self._folder = folder
        self._locks: list[int] = []
        self._ports = _draw_ports()

    def lease(self, count: int) -> list[Address]:
        """Lease ports that nobody listens on, each time other ones.

        :raises OSError: if the folder cannot be used.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        free = (
            Address(LOOPBACK, port)
            for port in self._ports
            if self._lock(port) and _is_free(port)
        )
        return list(itertools.islice(free, count))

    def _lock(self, port: int) -> bool:
        path = self._folder / str(port)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        self._locks.append(descriptor)
        return True


def _draw_ports() -> Iterator[int]:
    span = _LAST_PORT - _FIRST_PORT
    for number in itertools.count(os.getpid() * _PORTS_PER_PROCESS):
        yield _FIRST_PORT + number % span


def _is_free(port: int) -> bool:
    with (
        socket.socket() as stream,
        socket.socket(type=socket.SOCK_DGRAM) as datagrams,
    ):
        try:
            stream.bind((LOOPBACK, port))
            datagrams.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


_LEASES = PortLeases(
    pathlib.Path(tempfile.gettempdir()) / f'godwitknot-ports-{os.getuid()}'
)


def reserve_addresses(count: int) -> list[Address]:
    """Give addresses on the loopback interface, each time other ones."""
    return _LEASES.lease(count)
