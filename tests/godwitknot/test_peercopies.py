import contextlib
import threading

import pytest
from cheroot import wsgi
from fake_node import FakeFleet
from test_operatorapi import TEXT

from godwitknot.errors import ProtocolError
from godwitknot.peercopies import PATH, NoCopyError, PeerCopies
from godwitknot.units import Address


@contextlib.contextmanager
def serve_copy(payload, promised):
    def answer(environ, start_response):
        found = environ['PATH_INFO'] == PATH
        length = str(promised if found else 0)
        status = '200 OK' if found else '404 Not Found'
        start_response(status, [('Content-Length', length)])
        return [payload] if found else []

    server = wsgi.Server(('127.0.0.1', 0), answer, numthreads=2)
    server.shutdown_timeout = 1
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield Address('127.0.0.1', server.bind_addr[1])
    server.stop()
    thread.join()


def test_copy_of_a_peer_is_adopted():
    """Guards against a fleet that cannot start while the store is down."""
    fleet = FakeFleet()
    fleet.apply(TEXT, 0, 'a', 'mies')
    payload = fleet.keeper.serialize()
    started = fleet.make_keeper()
    with serve_copy(payload, len(payload)) as address:
        copy = PeerCopies(2).fetch(address)
    assert started.adopt_serialized(copy)
    assert started.version == 1


def test_cut_copy_is_not_adopted():
    """Guards against a truncated configuration in force."""
    fleet = FakeFleet()
    fleet.apply(TEXT, 0, 'a', 'mies')
    payload = fleet.keeper.serialize()[:-50]
    with serve_copy(payload, len(payload) + 50) as address:
        with pytest.raises(NoCopyError):
            PeerCopies(0.5).fetch(address)
    with pytest.raises(ProtocolError):
        fleet.make_keeper().adopt_serialized(payload)
    with pytest.raises(NoCopyError):
        PeerCopies(0.5).fetch(Address('127.0.0.1', 1))
