import threading

import attrs
import pytest

from godwitknot.storage.storeclient import HttpObjectStore, HttpTableService
from godwitknot.units import Address
from standins.platform import PlatformApplication, build_server


@attrs.define
class RunningPlatform:
    """A platform stand-in that a thread serves, with clients for it."""

    application: PlatformApplication
    address: Address
    tables: HttpTableService
    objects: HttpObjectStore


@pytest.fixture
def platform():
    """Serve an empty platform stand-in on a free port."""
    application = PlatformApplication()
    server = build_server(Address('127.0.0.1', 0), application)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    address = Address('127.0.0.1', server.bind_addr[1])
    yield RunningPlatform(
        application,
        address,
        HttpTableService(address, 1.0),
        HttpObjectStore(address, 1.0),
    )
    server.stop()
    thread.join(5)
