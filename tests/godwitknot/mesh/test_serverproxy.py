"""What the sidecar records as evidence against the local server."""

import asyncio
import contextlib
import random
import socket
import struct

import attrs
import pytest
from test_admissioncontrol import SLOTS, make_offer

from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.keepalive import DEFAULT_MAX_IDLE_SECONDS
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.model import Heartbeat, ResponseMetadata, ServerState
from godwitknot.mesh.retrybudget import RetryBudget
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

_RESET = struct.pack('ii', 1, 0)
_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_PARTIAL_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Le'


class ResettingServer:
    """Resets each connection at its second request.

    :param partial_response: sent before the reset.
    """

    def __init__(self, partial_response=b''):
        self.partial_response = partial_response
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_RESPONSE)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.partial_response)
        await writer.drain()
        await asyncio.sleep(0.01)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.transport.abort()


class FloodingServer:
    """Sends endless data after each response.

    :param pause: seconds between the response and the data.
    """

    def __init__(self, pause):
        self.pause = pause
        self.flooding = 0

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_RESPONSE)
        await asyncio.sleep(self.pause)
        self.flooding += 1
        with contextlib.suppress(OSError):
            while True:
                writer.write(b'x' * 65536)
                await writer.drain()
        self.flooding -= 1


class PlainDialect:
    """Reads no header fields."""

    def build_server_fields(self, fields, **facts):
        return [('Host', 'booking'), *fields]

    def read_response(self, fields):
        return ResponseMetadata(
            attempt_id='',
            server_id='',
            sealed=True,
            not_executed=False,
            waiting=0,
        )


@pytest.fixture
def build(placement, bounds, clock, log):
    def build_one(port):
        address = Address('127.0.0.1', port)
        local = LocalServer(
            attrs.evolve(placement, server=address), log, started=1
        )
        local.apply_heartbeat(
            Heartbeat(
                's1', 'booking', address, SLOTS, ServerState.READY, 1, 1, 0
            )
        )
        health = ServerHealth(clock, log)
        budget = RetryBudget(bounds, clock)
        admission = AdmissionControl(
            local, health, budget, Shutdown(clock), clock
        )
        return Sidecar(
            local,
            admission,
            health,
            PlainDialect(),
            HttpClient(DEFAULT_MAX_IDLE_SECONDS),
            Runtime(clock, log, Telemetry(), random.Random(1)),
        )

    return build_one


async def run_with_idle_periods(server, build, count):
    """Send requests with an idle period after each."""
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    sidecar = build(listener.sockets[0].getsockname()[1])
    results = []
    for number in range(count):
        offer = make_offer(attempt_id=f'a{number}', caller_zone='z1')
        reservation = await sidecar.admission.admit(offer)
        try:
            results.append(await sidecar.run(reservation))
        except RefusalError as refusal:
            results.append(refusal)
        await asyncio.sleep(0.1)
    listener.close()
    return sidecar, results


def test_forgotten_connection_is_no_evidence(build):
    """Guards against the ejection of servers that drop idle connections."""
    server = ResettingServer()
    sidecar, results = asyncio.run(run_with_idle_periods(server, build, 8))
    lost = [each for each in results if isinstance(each, RefusalError)]
    assert [each.code for each in lost] == [Code.CONNECTION_LOST]
    assert lost[0].outcome is Outcome.MAY_HAVE_RUN
    assert not sidecar.admission._health.ejection_seconds_left('z1')
    # From then on, no connection is idle long enough to be dropped.
    assert server.connections == 7


def test_answer_that_breaks_off_is_evidence(build):
    """Guards against truncated responses that do not count as evidence."""
    server = ResettingServer(_PARTIAL_RESPONSE)
    sidecar, results = asyncio.run(run_with_idle_periods(server, build, 4))
    bad = [each.failed for each in sidecar.admission._health._outcomes]
    assert sum(bad) == 2


@pytest.mark.parametrize('pause', [0, 0.05], ids=['at once', 'at rest'])
def test_connection_with_bytes_after_the_answer_is_closed(build, logged, pause):
    """Guards against an idle connection that stays open with unread data."""
    server = FloodingServer(pause)
    sidecar, results = asyncio.run(run_with_idle_periods(server, build, 1))
    assert [each.status for each in results] == [200]
    assert not server.flooding
    assert 'bytes after an answer' in logged()
    # The response before them was successful.
    assert not any(each.failed for each in sidecar.admission._health._outcomes)
