"""Requests are offered to servers with capacity before they are given up."""

import asyncio
import functools
import random

import attrs
import pytest

from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.bodystream import BodyStream
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.messages import Load
from godwitknot.mesh.model import (
    HttpRequest,
    HttpResponse,
    Route,
    RouteKind,
    ServerState,
    Share,
)
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

LOCAL_MEMBER = Member(
    'node-1',
    Address('10.0.0.1', 1),
    'z1',
    'r1',
    'documents',
    'd1',
    5,
    ServerState.READY,
    4,
    incarnation=100,
    revision=0,
    serving=True,
)


# Half of the objective, then two delays before the hedged send gets a server.
MAX_SECONDS = 1.5


class FakeSidecar:
    """The sidecar of a node whose server is of another service."""

    def __init__(self, admission):
        self.admission = admission
        self.failed_calls = 0

    def record_failed_call(self):
        self.failed_calls += 1


class FakeRelay:
    """Answers offers with a fixed reply for each server."""

    def __init__(self):
        self.offers = []
        self.replies = {}

    async def run(self, address, round_trip, exchange):
        self.offers.append(exchange.offer)
        reply = self.replies.get(exchange.offer.server_id)
        if isinstance(reply, RefusalError):
            raise reply
        if reply is None:
            exchange.committed = True
            return HttpResponse(200, [], b'done')
        return reply

    def close_idle(self, address):
        """Has no connections."""


@pytest.fixture
def relay():
    return FakeRelay()


@pytest.fixture
def dispatcher(placement, clock, log, relay):
    runtime = Runtime(clock, log, Telemetry(), random.Random(1))
    directory = Directory(LOCAL_MEMBER)
    directory.merge(
        attrs.evolve(
            LOCAL_MEMBER,
            node=f'node-{number}',
            address=Address(f'10.0.0.{number}', 1),
            service='booking',
            server_id=f's{number}',
        )
        for number in (2, 3, 4)
    )
    server = LocalServer(placement, log, 1)
    admission = AdmissionControl(server, None, None, Shutdown(clock), clock)
    selector = ServerSelector(placement, directory, admission, runtime)
    sidecar = FakeSidecar(admission)
    return Dispatcher(
        placement, selector, sidecar, relay, Shutdown(clock), runtime
    )


def make_context(clock, kind, deadline=3, objective=1):
    route = Route(
        'r',
        'h',
        '/',
        kind,
        (Share('booking', 1),),
        attempts=2,
        timeout=deadline,
        objective=objective,
        priority=1,
    )
    return RequestContext(
        'a1',
        HttpRequest('POST', '/', [], b''),
        route,
        'booking',
        clock.now(),
        clock.now() + deadline,
        1,
    )


def dispatch(dispatcher, context):
    return asyncio.run(dispatcher.dispatch(context))


def test_refusal_as_not_run_is_offered_elsewhere(dispatcher, clock, relay):
    for server in ('s2', 's3'):
        relay.replies[server] = RefusalError(Code.QUEUE_FULL, relayed=True)
    context = make_context(clock, RouteKind.AT_MOST_ONCE)
    assert dispatch(dispatcher, context).status == 200
    assert all(offer.repeat == 0 for offer in relay.offers)


def test_at_most_once_ends_with_its_unknown_outcome(dispatcher, clock, relay):
    """Guards against a booking that runs twice."""
    lost = RefusalError(Code.LINK_LOST, Outcome.MAY_HAVE_RUN)
    relay.replies = dict.fromkeys(('s2', 's3', 's4'), lost)
    with pytest.raises(RefusalError) as caught:
        dispatch(dispatcher, make_context(clock, RouteKind.AT_MOST_ONCE))
    assert caught.value.outcome is Outcome.MAY_HAVE_RUN
    assert len(relay.offers) == 1


def test_idempotent_failure_is_sent_again_once(dispatcher, clock, relay):
    """The attempts of the route limit how many servers a request reaches."""
    failed = HttpResponse(500, [], b'')
    relay.replies = dict.fromkeys(('s2', 's3', 's4'), failed)
    response = dispatch(dispatcher, make_context(clock, RouteKind.IDEMPOTENT))
    assert response.status == 500
    assert [offer.repeat for offer in relay.offers] == [0, 1]
    assert len({offer.server_id for offer in relay.offers}) == 2


def test_shed_request_is_a_repeat_where_it_goes_next(dispatcher, clock, relay):
    """A request that a server sheds counts towards the retry budget."""
    shed = RefusalError(Code.SERVER_SHED, relayed=True)
    relay.replies = dict.fromkeys(('s2', 's3', 's4'), shed)
    with pytest.raises(RefusalError) as caught:
        dispatch(dispatcher, make_context(clock, RouteKind.AT_MOST_ONCE))
    assert caught.value.outcome is Outcome.NOT_RUN
    assert [offer.repeat for offer in relay.offers] == [0, 1]


def test_booking_waits_at_a_sound_server_beside_ejected_ones(
    dispatcher, clock, relay
):
    """Guards against refusing it after two ejected servers, without a try."""

    async def refuse_or_run(address, round_trip, exchange):
        offer = exchange.offer
        relay.offers.append(offer)
        if offer.server_id != 's4':
            raise RefusalError(Code.EJECTED, relayed=True)
        if offer.max_wait == 0:
            raise RefusalError(Code.QUEUE_FULL, relayed=True)
        exchange.committed = True
        return HttpResponse(200, [], b'done')

    relay.run = refuse_or_run
    context = make_context(clock, RouteKind.AT_MOST_ONCE)
    assert dispatch(dispatcher, context).status == 200
    assert [each.server_id for each in relay.offers if each.max_wait] == ['s4']


def test_refused_callers_return_one_after_the_other(dispatcher, clock, relay):
    """Guards against callers that return together, and behind new ones."""

    async def refuse(address, round_trip, exchange):
        relay.offers.append(exchange.offer)
        raise RefusalError(Code.QUEUE_FULL, retry_after=0.2, relayed=True)

    def find_retry_after(fingerprint):
        context = make_context(clock, RouteKind.AT_MOST_ONCE, deadline=10)
        context.fingerprint = fingerprint
        # It has waited as long as it may.
        context.paused_seconds = 9
        with pytest.raises(RefusalError) as caught:
            dispatch(dispatcher, context)
        return caught.value.retry_after

    relay.run = refuse
    first, second = find_retry_after(1), find_retry_after(2)
    assert second > first
    relay.offers.clear()
    assert find_retry_after(1) == pytest.approx(first)
    assert not any(offer.max_wait for offer in relay.offers)
    assert not relay.offers[-1].returning
    clock.advance(first)
    find_retry_after(1)
    assert relay.offers[-1].returning


def test_booking_goes_to_the_least_doubtful_server(dispatcher, clock, relay):
    """Guards against a booking that is refused while servers are free."""
    doubts = {'s2': 0.3, 's3': 0.18, 's4': 0.2}

    async def refuse_or_run(address, round_trip, exchange):
        relay.offers.append(exchange.offer)
        doubt = doubts[exchange.offer.server_id]
        exchange.load = Load(0, 0, 1, doubt)
        if 0 < exchange.offer.max_doubt < doubt:
            raise RefusalError(Code.DOUBTFUL, relayed=True)
        return HttpResponse(200, [], b'done')

    relay.run = refuse_or_run
    dispatch(dispatcher, make_context(clock, RouteKind.AT_MOST_ONCE))
    assert len(relay.offers) == 4
    assert relay.offers[-1].server_id == 's3'
    relay.offers.clear()
    # What may be repeated shows whether a server answers.
    dispatch(dispatcher, make_context(clock, RouteKind.IDEMPOTENT))
    assert len(relay.offers) == 1


def test_request_that_found_no_room_is_not_run(dispatcher, clock, relay):
    full = RefusalError(Code.QUEUE_FULL, retry_after=0.3, relayed=True)
    relay.replies = dict.fromkeys(('s2', 's3', 's4'), full)
    with pytest.raises(RefusalError) as caught:
        dispatch(dispatcher, make_context(clock, RouteKind.IDEMPOTENT))
    assert caught.value.status == 503
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_after > 0
    assert relay.offers[-1].max_wait > 0


@pytest.mark.parametrize('code', [Code.RETRY_BUDGET, Code.WRONG_INCARNATION])
def test_request_that_is_not_run_gets_a_time_to_come_back(
    dispatcher, clock, relay, code
):
    """Guards against refusals for the retry budget without a retry time."""
    full = RefusalError(Code.QUEUE_FULL, retry_after=0.3, relayed=True)
    refused = RefusalError(code, relayed=True)
    relay.replies = dict.fromkeys(('s2', 's3', 's4'), refused)
    with pytest.raises(RefusalError) as caught:
        dispatch(dispatcher, make_context(clock, RouteKind.IDEMPOTENT))
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_after > 0
    context = make_context(clock, RouteKind.IDEMPOTENT)
    address = Address('10.0.0.2', 1)
    context.record_refusal(address, full)
    context.record_refusal(address, refused)
    assert context.conclude().retry_after == full.retry_after


def test_second_send_is_offered_again_after_refusals(
    dispatcher, clock, relay, monkeypatch
):
    """Guards against a request that waits at a hung server to its deadline.

    The refusals of the first hedged send used up all offers of the request.
    """
    hung = []
    began = clock.now()

    async def run(address, round_trip, exchange):
        offer = exchange.offer
        relay.offers.append(offer)
        if not hung:
            hung.append(offer.server_id)
            await asyncio.Event().wait()
        if clock.now() - began < 1:
            raise RefusalError(Code.QUEUE_FULL, relayed=True)
        return HttpResponse(200, [], b'done')

    async def wait(tasks, timeout, return_when):
        done, pending = await real_wait(tasks, timeout=0.001)
        if not done:
            clock.advance(timeout + 0.001)
        return done, pending

    real_wait = asyncio.wait
    monkeypatch.setattr(relay, 'run', run)
    monkeypatch.setattr(asyncio, 'wait', wait)
    context = make_context(clock, RouteKind.IDEMPOTENT)
    assert dispatch(dispatcher, context).status == 200
    assert clock.now() - began < MAX_SECONDS
    servers = [offer.server_id for offer in relay.offers]
    assert servers.count(hung[0]) == 1
    assert relay.offers[-1].repeat == 1


class PartedBody(BodyStream):
    """A body that arrives in one part."""

    async def _read_part(self):
        return bytes(self.size)


class ReadingRelay(FakeRelay):
    """Reads the whole body of an offer before the fixed reply."""

    async def run(self, address, round_trip, exchange):
        if exchange.offer.stream is not None:
            await exchange.offer.stream.gather()
        return await super().run(address, round_trip, exchange)


def make_upload(dispatcher, clock, kind, protocol, stream):
    for number in (2, 3, 4):
        member = dispatcher._selector._directory.find(
            Address(f'10.0.0.{number}', 1)
        )
        dispatcher._selector._directory.merge(
            [attrs.evolve(member, protocol=protocol, revision=1)]
        )
    context = make_context(clock, kind)
    context.http_request = attrs.evolve(context.http_request, stream=stream)
    return context


@pytest.mark.parametrize(
    'outcome', [Outcome.NOT_RUN, Outcome.MAY_HAVE_RUN], ids=str
)
@pytest.mark.parametrize('kind', RouteKind)
def test_body_that_was_passed_on_ends_with_its_outcome(
    dispatcher, clock, outcome, kind
):
    """Guards against a second send without the body."""
    relay = ReadingRelay()
    dispatcher._relay = relay
    for server in ('s2', 's3', 's4'):
        relay.replies[server] = RefusalError(
            Code.SERVER_SHED, outcome, relayed=True
        )
    context = make_upload(dispatcher, clock, kind, 2, PartedBody(9))
    with pytest.raises(RefusalError) as caught:
        dispatch(dispatcher, context)
    assert caught.value.outcome is outcome
    assert len(relay.offers) == 1


class ChunkedBody(BodyStream):
    """A body of unstated length that arrives in one part."""

    async def _read_part(self):
        return b'' if self.received else bytes(9)


@pytest.mark.parametrize(
    ('protocol', 'make_body'),
    [(1, PartedBody), (2, functools.partial(ChunkedBody, is_stated=False))],
)
def test_node_of_an_earlier_release_gets_the_whole_body(
    dispatcher, clock, relay, protocol, make_body
):
    """Guards against parts that an earlier release does not know."""
    context = make_upload(
        dispatcher, clock, RouteKind.AT_MOST_ONCE, protocol, make_body(9)
    )
    assert dispatch(dispatcher, context).status == 200
    assert relay.offers[0].body == bytes(9)
    assert not relay.offers[0].body_bytes
