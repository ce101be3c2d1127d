"""Requests that arrive together on one connection are all answered."""

import asyncio
import random

import pytest

from godwitknot.accounts.freshness import Freshness
from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh.accountchecks import AccountChecks
from godwitknot.mesh.accountquotas import AccountControls
from godwitknot.mesh.channels import listen
from godwitknot.mesh.frontend import Frontend
from godwitknot.mesh.model import (
    CallerLimits,
    FleetConfiguration,
    HttpResponse,
    Route,
    RouteKind,
    Share,
)
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.platform.dialect import PlatformDialect
from standins.ports import reserve_addresses

MAX_SECONDS = 3.0
# Far more than the kernel keeps for a connection.
LARGE_BYTES = 33554432
ROUTE = Route(
    'route',
    'h',
    '/',
    RouteKind.IDEMPOTENT,
    (Share('booking', 1),),
    attempts=1,
    timeout=5.0,
    objective=1.0,
    priority=1,
)


class EchoDispatcher:
    """Responds with the id and body; requests named ``slow`` wait."""

    def __init__(self):
        self.started = []
        self.cancelled = []

    async def dispatch(self, context):
        self.started.append(context.attempt_id)
        try:
            if context.attempt_id == 'slow':
                await asyncio.Event().wait()
            if context.attempt_id == 'large':
                return HttpResponse(200, [], bytes(LARGE_BYTES))
        except asyncio.CancelledError:
            self.cancelled.append(context.attempt_id)
            raise
        body = context.http_request.body.decode()
        text = f'<{context.attempt_id}{body}>'
        return HttpResponse(200, [], text.encode())


class Scene:
    """A frontend that serves one connection of a caller."""

    def __init__(self, frontend, dispatcher, shutdown, ledger):
        self.ledger = ledger
        self.frontend = frontend
        self.dispatcher = dispatcher
        self.shutdown = shutdown

    async def open(self):
        address = reserve_addresses(1)[0]
        self._listener = await listen(
            address, self.frontend.serve, self.ledger.callers
        )
        streams = await asyncio.open_connection(*address.pair)
        self.reader = streams[0]
        self.writer = streams[1]

    async def wait_for_start(self, count):
        while len(self.dispatcher.started) < count:
            await asyncio.sleep(0.001)

    def close(self):
        self.writer.close()
        self._listener.close()

    async def read_until(self, end):
        return await self.reader.readuntil(end.encode())


@pytest.fixture
def run(clock, log, bounds):
    """Run a scenario with a scene whose requests are answered at once."""

    async def prepare(scenario, limits):
        runtime = Runtime(clock, log, Telemetry(), random.Random(1))
        holder = ConfigurationHolder(PlatformDialect(), log)
        holder.current = FleetConfiguration(1, {'h': (ROUTE,)}, {}, limits, b'')
        dispatcher = EchoDispatcher()
        shutdown = Shutdown(clock)
        frontend = Frontend(
            dispatcher,
            holder,
            AccountControls(
                AccountChecks(holder, Freshness(clock), None, bytes(16)), None
            ),
            PlatformDialect(),
            CrashTracker(clock),
            shutdown,
            runtime,
        )
        scene = Scene(frontend, dispatcher, shutdown, runtime.ledger)
        await scene.open()
        try:
            async with asyncio.timeout(MAX_SECONDS):
                await scenario(scene)
        finally:
            scene.close()

    def start(scenario, limits=CallerLimits()):  # noqa: B008, WPS404
        asyncio.run(prepare(scenario, limits))

    return start


def encode(attempt_id, body=b''):
    head = (
        f'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n'
        f'Godwitknot-Attempt-Id: {attempt_id}\r\n\r\n'
    )
    return head.encode() + body


MALFORMED = b'no request\r\n\r\n'
REQUESTS = encode('a', b'1') + encode('b', b'22') + encode('c')


@pytest.mark.parametrize('size', [1, 7, len(encode('a', b'1')) + 30, 4096])
def test_requests_in_any_packets_are_answered_in_order(run, size):
    """Guards against a request that stays in the parser without an answer."""

    async def scenario(scene):
        for start in range(0, len(REQUESTS), size):
            scene.writer.write(REQUESTS[start : start + size])
            await asyncio.sleep(0)
        for answer in ('<a1>', '<b22>', '<c>'):
            received = await scene.read_until(answer)
            assert received.count(b'HTTP/1.1 200') == 1

    run(scenario)


def test_caller_that_leaves_cancels_only_the_started_request(run):
    """Guards against runs that nobody waits for, and against early starts."""

    async def scenario(scene):
        scene.writer.write(encode('a') + encode('slow') + encode('c'))
        await scene.read_until('<a>')
        await scene.wait_for_start(2)
        scene.writer.transport.abort()
        while not scene.dispatcher.cancelled:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.02)
        assert scene.dispatcher.started == ['a', 'slow']
        assert not scene.frontend.active

    run(scenario)


def test_answer_is_charged_while_its_caller_reads_slowly(run):
    """Guards against answers that nobody counts once they are read."""

    async def scenario(scene):
        scene.writer.write(encode('large'))
        await scene.wait_for_start(1)
        await asyncio.sleep(0.1)
        unread = scene.ledger.callers.held
        await scene.reader.readexactly(LARGE_BYTES // 2)
        half_read = scene.ledger.callers.held
        assert min(unread, half_read) >= LARGE_BYTES
        # The head of the response is still to come.
        await scene.reader.readexactly(LARGE_BYTES // 2)
        while scene.ledger.held:
            await asyncio.sleep(0.001)

    run(scenario)


def test_malformed_request_does_not_affect_the_one_before(run):
    """Guards against losing an answer to an error that follows it."""

    async def scenario(scene):
        scene.writer.write(encode('a') + MALFORMED)
        await scene.read_until('<a>')
        rest = await scene.reader.read()
        assert rest.startswith(b'HTTP/1.1 400')

    run(scenario)


def test_partial_head_after_a_request_has_the_time_limit_of_heads(run):
    """Guards against a head that may take as long as an idle connection."""

    async def scenario(scene):
        scene.writer.write(encode('a') + encode('b')[:20])
        await scene.read_until('<a>')
        rest = await scene.reader.read()
        assert rest.startswith(b'HTTP/1.1 408')

    run(scenario, CallerLimits(header_seconds=0.1))


def test_stopping_node_answers_what_arrived_together(run, bounds):
    """Guards against a close that drops requests which were received."""

    async def scenario(scene):
        scene.shutdown.begin(bounds)
        scene.writer.write(encode('a') + encode('b'))
        first = await scene.read_until('<a>')
        assert b'Connection: close' not in first
        last = await scene.read_until('<b>')
        assert b'connection: close' in last.lower()

    run(scenario)
