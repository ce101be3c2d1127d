"""A link of limited bandwidth carries what is sent at that rate."""

import socket
import threading
import time

import pytest

from standins.faultylink import FaultyLink
from standins.ports import reserve_addresses

CONTENT = bytes(range(256)) * 256
BYTES_PER_SECOND = 200_000


@pytest.fixture
def link():
    address, target = reserve_addresses(2)
    server = socket.create_server(target.pair)

    def send_content():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            with connection:
                connection.sendall(CONTENT)

    threading.Thread(target=send_content, daemon=True).start()
    link = FaultyLink(address, target)
    link.start()
    yield link
    server.close()


def read_all(link):
    parts = []
    with socket.create_connection(link.address.pair, timeout=5) as connection:
        while True:
            part = connection.recv(65536)
            if not part:
                return b''.join(parts)
            parts.append(part)


def test_limited_link_needs_the_time_of_its_bandwidth(link):
    """Guards against tests over a narrow link that is not narrow."""
    link.bytes_per_second = BYTES_PER_SECOND
    started = time.monotonic()
    assert read_all(link) == CONTENT
    assert time.monotonic() - started > len(CONTENT) / BYTES_PER_SECOND


def test_connections_share_the_bandwidth(link):
    """Guards against a limit for each connection instead of the link."""
    link.bytes_per_second = BYTES_PER_SECOND
    started = time.monotonic()
    threads = [threading.Thread(target=read_all, args=(link,)) for _ in '123']
    for thread in threads:
        thread.start()
    for reading in threads:
        reading.join()
    seconds = time.monotonic() - started
    assert seconds > 3 * len(CONTENT) / BYTES_PER_SECOND
