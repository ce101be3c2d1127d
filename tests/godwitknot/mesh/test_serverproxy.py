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
from godwitknot.mesh.bodystream import BodyStream
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.keepalive import DEFAULT_MAX_IDLE_SECONDS
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.messages import describe_stream
from godwitknot.mesh.model import Heartbeat, ResponseMetadata, ServerState
from godwitknot.mesh.retrybudget import RetryBudget
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address
from standins.rawserver import RawServer

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
        with contextlib.closing(writer.transport):
            await self._serve_two(reader, writer)

    async def _serve_two(self, reader, writer):
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
        with contextlib.closing(writer.transport):
            await self._flood(reader, writer)

    async def _flood(self, reader, writer):
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


class RecordingHealth(ServerHealth):
    """Keeps which runs counted as failed, and ejects nobody."""

    def __init__(self, clock, log):
        super().__init__(clock, log)
        self.failed = []
        self.unanswered = 0

    def record_unanswered(self, began, objective):
        self.unanswered += 1

    def record_success(self, seconds, objective, zone):
        self.failed.append(False)

    def record_failure(self, *arguments):
        self.failed.append(True)


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
        health = RecordingHealth(clock, log)
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
    assert not any(sidecar.admission._health.failed)
    # From then on, no connection is idle long enough to be dropped.
    assert server.connections == 7


def test_answer_that_breaks_off_is_evidence(build):
    """Guards against truncated responses that do not count as evidence."""
    server = ResettingServer(_PARTIAL_RESPONSE)
    sidecar, results = asyncio.run(run_with_idle_periods(server, build, 4))
    assert sum(sidecar.admission._health.failed) == 2


@pytest.mark.parametrize('pause', [0, 0.05], ids=['at once', 'at rest'])
def test_connection_with_bytes_after_the_answer_is_closed(build, logged, pause):
    """Guards against an idle connection that stays open with unread data."""
    server = FloodingServer(pause)
    sidecar, results = asyncio.run(run_with_idle_periods(server, build, 1))
    assert [each.status for each in results] == [200]
    assert not server.flooding
    assert 'bytes after an answer' in logged()
    # The response before them was successful.
    assert not any(sidecar.admission._health.failed)


class ScriptedServer:
    """Sends scripted bytes in response to each request.

    ``%(id)s`` stands for the id of the request.

    :param script: the pieces of each response, for each connection in turn.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.received = []

    async def serve(self, reader, writer):
        self.received.append([])
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, OSError),
        ):
            for pieces in self.script.pop(0):
                head = await reader.readuntil(b'\r\n\r\n')
                attempt_id = head.partition(b'Attempt: ')[2].split()[0]
                self.received[-1].append(attempt_id.decode())
                for piece in pieces:
                    writer.write(piece.replace(b'%(id)s', attempt_id))
                    await writer.drain()
                    await asyncio.sleep(0.01)
            await reader.read()


class PlainIdDialect(PlainDialect):
    """Reads the id of the request and the statement that it did not run."""

    def read_response(self, fields):
        by_name = {name.lower(): text for name, text in fields}
        return ResponseMetadata(
            attempt_id=by_name.get('attempt', ''),
            server_id='',
            sealed=True,
            not_executed='refused' in by_name,
            waiting=0,
        )


def respond(attempt_id='%(id)s', status='200 OK', body=b'ok', refused=False):
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    if attempt_id:
        lines.append(f'Attempt: {attempt_id}')
    if refused:
        lines.append('Refused: true')
    return '\r\n'.join((*lines, '', '')).encode() + body


def refuse(attempt_id='%(id)s', status='503 Busy'):
    return respond(attempt_id, status, b'', refused=True)


async def run_attempts(server, build, *attempt_ids):
    """Send requests that must not be repeated, one after another."""
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    sidecar = build(listener.sockets[0].getsockname()[1])
    results = await send_attempts(sidecar, *attempt_ids)
    listener.close()
    return results


async def send_attempts(sidecar, *attempt_ids, repeatable=False):
    sidecar._dialect = PlainIdDialect()
    results = []
    for attempt_id in attempt_ids:
        offer = make_offer(
            attempt_id=attempt_id,
            caller_zone='z1',
            repeatable=repeatable,
            fields=[('Attempt', attempt_id)],
        )
        reservation = await sidecar.admission.admit(offer)
        try:
            results.append((await sidecar.run(reservation)).body)
        except RefusalError as refusal:
            results.append((refusal.code, refusal.outcome))
    return results


NOT_RUN = (Code.SERVER_SHED, Outcome.NOT_RUN)
UNKNOWN = (Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN)


@pytest.mark.parametrize('status', ['503 Busy', '429 Busy', '421 Other'])
def test_repeated_refusal_of_the_same_attempt_is_no_proof(build, status):
    """Guards against "not run" for a request that the server has run.

    The server refuses an attempt, and sends the refusal once more when the
    attempt is offered to it again.
    """
    refusal = refuse(status=status)
    server = ScriptedServer(
        [[refusal], [refusal, respond(body=b'replayed')]], [[respond()]]
    )
    results = asyncio.run(run_attempts(server, build, 'a1', 'a1'))
    assert results[1] == b'ok'
    assert server.received == [['a1'], ['a1']]


def test_refusal_repeated_on_another_connection_is_no_proof(build):
    """Guards against a server that repeats refusals on any kept connection."""
    server = ScriptedServer(
        [[respond()], [refuse()], [refuse('a2'), respond(body=b'replayed')]],
        [[respond()]],
    )
    results = asyncio.run(run_attempts(server, build, 'a1', 'a2', 'a2'))
    assert results == [b'ok', NOT_RUN, b'ok']
    assert server.received == [['a1', 'a2'], ['a2']]


@pytest.mark.parametrize(
    'replayed',
    [
        refuse(''),
        respond('', '421 Other', b''),
        respond('', '400 Bad', b'', refused=True),
        respond('', '500 Failed', b''),
        respond('', body=b'other'),
    ],
    ids=['503', '421', '400', '500', '200'],
)
@pytest.mark.parametrize('early', ['', 'informational', 'other id'])
def test_answer_without_an_id_on_a_kept_connection_is_not_used(
    build, replayed, early
):
    """Guards against an answer to an earlier request that has no id."""
    first = {
        '': b'',
        'informational': b'HTTP/1.1 102 Processing\r\n\r\n',
        'other id': refuse('a0'),
    }[early]
    server = ScriptedServer(
        [[respond()], [first + replayed, respond(body=b'late')]], [[respond()]]
    )
    results = asyncio.run(run_attempts(server, build, 'a1', 'a2', 'a3'))
    assert results == [b'ok', UNKNOWN, b'ok']
    # The connection is not used again.
    assert server.received == [['a1', 'a2'], ['a3']]


def test_answer_without_an_id_on_a_new_connection_is_used(build):
    """Guards against errors for the only answer that there can be."""
    server = ScriptedServer([[refuse('')], []], [[respond('')], []])
    results = asyncio.run(run_attempts(server, build, 'a1', 'a1'))
    assert results == [NOT_RUN, b'ok']


def test_answer_without_an_id_after_one_with_another_id_is_not_used(build):
    """Guards against a second surplus answer on a new connection."""
    server = ScriptedServer([[refuse('a0'), refuse('')]])
    assert asyncio.run(run_attempts(server, build, 'a1')) == [UNKNOWN]


@pytest.mark.parametrize('status', ['408 Late', '429 Busy', '503 Busy'])
def test_refusal_that_does_not_state_not_run_is_no_proof(build, status):
    """Guards against a status that callers take for "not run"."""
    server = ScriptedServer([[respond(status=status)]])
    assert asyncio.run(run_attempts(server, build, 'a1')) == [UNKNOWN]


@pytest.mark.parametrize('size', [1, 7, 40])
def test_refusal_of_another_attempt_in_pieces_is_skipped(build, size):
    """Guards against a replay that is cut into segments."""
    replayed = refuse('a1') + respond('a2')
    pieces = [
        replayed[start : start + size]
        for start in range(0, len(replayed), size)
    ]
    server = ScriptedServer([[refuse()], pieces, [respond()]])
    results = asyncio.run(run_attempts(server, build, 'a1', 'a2', 'a3'))
    assert results == [NOT_RUN, b'ok', b'ok']
    # Reuse goes on after a refusal and after a skipped response.
    assert server.received == [['a1', 'a2', 'a3']]


def test_several_surplus_refusals_end_as_unknown(build):
    """Guards against "not run" after two surplus answers in a row."""
    server = ScriptedServer(
        [[refuse()], [refuse('a1') + refuse('a1') + respond()]], [[respond()]]
    )
    results = asyncio.run(run_attempts(server, build, 'a1', 'a2', 'a3'))
    assert results == [NOT_RUN, UNKNOWN, b'ok']


def test_refusal_in_the_same_segment_after_an_answer_is_not_used(build):
    """Guards against a surplus answer that is read for the next request."""
    server = ScriptedServer([[respond() + refuse('a2')]], [[respond()]])
    results = asyncio.run(run_attempts(server, build, 'a1', 'a2'))
    assert results == [b'ok', b'ok']
    assert server.received == [['a1'], ['a2']]


class EndlessBody(BodyStream):
    """A body of unstated length that goes on for ever."""

    async def _read_part(self):
        await asyncio.sleep(0.01)
        return b'x'


@pytest.mark.parametrize('max_bytes', [3, 10**6])
def test_run_whose_body_does_not_arrive_whole_is_no_evidence(
    build, clock, max_bytes
):
    """Guards against ejecting servers for callers that leave or exceed limits.

    A caller's node cancels the run of a request that may be repeated.
    """

    async def receive(reader, writer):
        with contextlib.closing(writer):
            with contextlib.suppress(OSError):
                await reader.read()

    async def leave():
        listener = await asyncio.start_server(receive, '127.0.0.1', 0)
        sidecar = build(listener.sockets[0].getsockname()[1])
        stream = EndlessBody(max_bytes, is_stated=False)
        offer = make_offer(repeatable=True, **describe_stream(stream))
        reservation = await sidecar.admission.admit(offer)
        run = asyncio.ensure_future(sidecar.run(reservation))
        await asyncio.sleep(0.2)
        clock.advance(2)
        run.cancel()
        await asyncio.wait((run,))
        while sidecar.admission.running:
            await asyncio.sleep(0.001)
        listener.close()
        await asyncio.sleep(0.05)
        return sidecar.admission

    admission = asyncio.run(leave())
    assert not admission._health.failed
    assert not admission._health.unanswered


@pytest.mark.parametrize('repeatable', [True, False])
@pytest.mark.parametrize('size', range(1, len(respond('a2'))))
def test_response_cut_at_any_byte_may_have_run(build, size, repeatable):
    """Guards against a cut response that is complete, or no evidence."""
    cut = respond('a2')[:size]
    # The connections are a kept one and a new one.
    server = RawServer([respond('a1'), cut], [cut])
    sidecar = build(server.address.port)
    results = asyncio.run(
        send_attempts(sidecar, 'a1', 'a2', 'a2', repeatable=repeatable)
    )
    server.stop()
    lost = (Code.CONNECTION_LOST, Outcome.MAY_HAVE_RUN)
    assert results == [b'ok', lost, lost]
    assert sidecar.admission._health.failed == [False, True, True]
    assert (server.connections, server.requests) == (2, 3)


class PausedClient(HttpClient):
    """Is held up while it connects, or just after.

    :param on_connect: what happens meanwhile.
    """

    def __init__(self, on_connect):
        super().__init__(DEFAULT_MAX_IDLE_SECONDS)
        self.on_connect = on_connect

    async def acquire_connection(self, *arguments, **options):
        connection = await super().acquire_connection(*arguments, **options)
        self.on_connect()
        return connection


def let_deadline_pass(sidecar, clock):
    clock.advance(3600)


def drain_server(sidecar, clock):
    sidecar._server.state = ServerState.DRAINING


def replace_server(sidecar, clock):
    sidecar._server.server_id = 's2'


@pytest.mark.parametrize(
    ('change', 'code'),
    [
        (let_deadline_pass, Code.DEADLINE_PASSED),
        (drain_server, Code.DRAINING),
        (replace_server, Code.WRONG_INCARNATION),
    ],
)
def test_pause_while_connecting_ends_the_permission_to_run(
    build, clock, change, code
):
    """Guards against a run after the caller or the server has left.

    The process was paused between its checks and the first byte.
    """
    server = RawServer([_RESPONSE])

    async def scenario():
        sidecar = build(server.address.port)
        sidecar._client = PausedClient(lambda: change(sidecar, clock))
        offer = make_offer(attempt_id='a1', server_id='s1')
        reservation = await sidecar.admission.admit(offer)
        with pytest.raises(RefusalError) as refusal:
            await sidecar.run(reservation)
        await asyncio.sleep(0.05)
        return refusal.value

    error = asyncio.run(scenario())
    server.stop()
    assert (error.code, error.outcome) == (code, Outcome.NOT_RUN)
    assert not server.requests
