"""Which servers a request is offered to, in which order and for how long.

Time is virtual: pauses take no time.
"""

import asyncio
import itertools
import random

import attrs
import pytest
from test_dispatcher import LOCAL_MEMBER, FakeSidecar, make_context

from bench.gray.virtualtime import LoopClock, run_virtually
from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.messages import Load
from godwitknot.mesh.model import HttpResponse, RouteKind
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.outcomes import Code, RefusalError
from godwitknot.units import Address

OWN_REGION, OTHER_REGION = ('s2', 's3'), ('s4', 's5')
FULL = RefusalError(Code.QUEUE_FULL, retry_after=0.4, relayed=True)
EJECTED = RefusalError(Code.EJECTED, retry_after=0.4, relayed=True)
# The route's objective and the start of the virtual time, in seconds.
OBJECTIVE = 1
START = 1000
# Longest time of a request that no server takes, and of one without a budget.
GIVEN_UP_SECONDS, AT_ONCE_SECONDS = 1.01, 0.1
# Time until a server recovers.
TRIAL_SECONDS = 0.3
# Time between SIGTERM and SIGKILL.
GRACE_SECONDS = 6
# Longest wait in the own region before others are asked.
SHORT_WAIT_SECONDS = 0.3
# More than a node may move to other regions ahead of need at once.
LARGE = 2_000_000
LINK_BYTES = 3_750_000


class ScriptedRelay:
    """Replies to the offers to each server; the default is a response."""

    def __init__(self):
        self.offers = []
        self.replies = {}
        self.times = []

    async def run(self, address, round_trip, exchange):
        offer = exchange.offer
        self.offers.append(offer)
        self.times.append(asyncio.get_running_loop().time())
        reply = self.replies.get(offer.server_id)
        if callable(reply):
            reply = reply(offer)
        if isinstance(reply, RefusalError):
            raise reply
        exchange.committed = True
        return HttpResponse(200, [], b'done')

    def close_idle(self, address):
        """Has no connections."""

    @property
    def servers(self):
        return [offer.server_id for offer in self.offers]


@pytest.fixture
def relay():
    return ScriptedRelay()


@pytest.fixture
def stops():
    """Seconds after the start at which the node gets SIGTERM."""
    return []


@pytest.fixture
def run(placement, log, relay, stops):
    """Dispatch requests, one after the other, and return the results."""

    async def dispatch_all(kinds, **changes):
        # The pipe is not read.
        log.prepare()
        clock = LoopClock()
        runtime = Runtime(clock, log, Telemetry(), random.Random(1))
        directory = Directory(LOCAL_MEMBER)
        directory.merge(
            attrs.evolve(
                LOCAL_MEMBER,
                node=f'node-{number}',
                address=Address(f'10.0.0.{number}', 1),
                region='r1' if number < 4 else 'r2',
                zone='z1' if number < 4 else 'z9',
                service='booking',
                server_id=f's{number}',
            )
            for number in (2, 3, 4, 5)
        )
        server = LocalServer(placement, log, 1)
        admission = AdmissionControl(server, None, None, Shutdown(clock), clock)
        shutdown = Shutdown(clock)
        dispatcher = Dispatcher(
            placement,
            ServerSelector(placement, directory, admission, runtime),
            FakeSidecar(admission),
            relay,
            shutdown,
            runtime,
        )
        for seconds in stops:
            asyncio.get_running_loop().call_later(
                seconds, shutdown.begin, placement.bounds
            )
        results = []
        for kind in kinds:
            try:
                results.append(
                    await dispatcher.dispatch(
                        make_context(clock, kind, **changes)
                    )
                )
            except RefusalError as error:
                results.append(error)
        return results, clock.now()

    def run_all(kind, count=1, **changes):
        kinds = itertools.repeat(kind, count)
        return run_virtually(dispatch_all(kinds, **changes))

    return run_all


def test_other_region_is_used_when_the_own_one_has_no_room(run, relay):
    relay.replies = dict.fromkeys(OWN_REGION, FULL)
    results, _ = run(RouteKind.AT_MOST_ONCE)
    assert results[0].status == 200
    assert set(relay.servers[:2]) == set(OWN_REGION)
    assert relay.servers[-1] in OTHER_REGION


def test_short_wait_in_the_own_region_comes_before_other_regions(run, relay):
    """Guards against traffic between regions while a slot is nearly free."""

    def admit_waiting(offer):
        return None if offer.max_wait > 0 else FULL

    relay.replies = dict.fromkeys(OWN_REGION, admit_waiting)
    results, _ = run(RouteKind.AT_MOST_ONCE)
    assert results[0].status == 200
    assert not set(relay.servers) & set(OTHER_REGION)
    assert relay.offers[-1].max_wait <= SHORT_WAIT_SECONDS


@pytest.mark.parametrize(
    ('size', 'link_bytes', 'crosses'),
    [
        (4, LINK_BYTES, True),
        (LARGE, LINK_BYTES, False),
        # Without a bound, the order is that of earlier releases.
        (4, 0, False),
    ],
)
def test_full_region_asks_another_one_before_requests_wait(
    run, relay, placement, size, link_bytes, crosses
):
    """Guards against a wave that waits in its region beside free slots.

    Large responses would fill the link between the regions.
    """
    placement.bounds = attrs.evolve(
        placement.bounds, region_link_bytes=link_bytes
    )

    async def report_load(address, round_trip, exchange):
        relay.offers.append(exchange.offer)
        is_remote = exchange.offer.server_id in OTHER_REGION
        exchange.load = Load(1, 0, 5) if is_remote else Load(5, 3, 5)
        if not (is_remote or exchange.offer.max_wait):
            raise FULL
        return HttpResponse(200, [], bytes(size))

    relay.run = report_load
    results, _ = run(RouteKind.AT_MOST_ONCE, 4)
    assert {each.status for each in results} == {200}
    assert (relay.servers[-1] in OTHER_REGION) == crosses


def test_bound_of_reloaded_settings_is_used(run, relay, placement):
    """Guards against a bound that takes effect only after a restart."""

    async def report_load(address, round_trip, exchange):
        placement.bounds = attrs.evolve(
            placement.bounds, region_link_bytes=LINK_BYTES
        )
        relay.offers.append(exchange.offer)
        is_remote = exchange.offer.server_id in OTHER_REGION
        exchange.load = Load(1, 0, 5) if is_remote else Load(5, 3, 5)
        if not (is_remote or exchange.offer.max_wait):
            raise FULL
        return HttpResponse(200, [], b'done')

    relay.run = report_load
    run(RouteKind.AT_MOST_ONCE, 4)
    assert relay.servers[-1] in OTHER_REGION


def test_region_that_accepts_nothing_is_rarely_asked(run, relay):
    """Guards against offers that fill the link between saturated regions.

    On the busiest day of dnr-mesh they were two thirds of all prices.
    """
    relay.replies = dict.fromkeys(OWN_REGION + OTHER_REGION, FULL)
    _, seconds = run(RouteKind.AT_MOST_ONCE, 40)
    remote = [each for each in relay.servers if each in OTHER_REGION]
    assert 0 < len(remote) < 5 + 2.5 * (seconds - START)


def test_region_is_asked_again_once_it_accepts(run, relay):
    relay.replies = dict.fromkeys(OWN_REGION + OTHER_REGION, FULL)
    run(RouteKind.AT_MOST_ONCE, 20)
    relay.replies = dict.fromkeys(OWN_REGION, FULL)
    relay.offers.clear()
    results, _ = run(RouteKind.AT_MOST_ONCE, 20)
    assert {each.status for each in results} == {200}


def test_request_waits_for_a_server_that_recovers(run, relay):
    """Guards against orders refused while trials were reinstating servers."""

    def admit_later(offer):
        now = asyncio.get_running_loop().time()
        return EJECTED if now - relay.times[0] < TRIAL_SECONDS else None

    relay.replies = dict.fromkeys(OWN_REGION + OTHER_REGION, admit_later)
    results, _ = run(RouteKind.AT_MOST_ONCE)
    assert results[0].status == 200
    assert relay.times[-1] - relay.times[0] < 0.7 * OBJECTIVE


def test_doubtful_servers_are_a_last_resort(run, relay):
    relay.replies = dict.fromkeys(OWN_REGION + OTHER_REGION, EJECTED)
    results, _ = run(RouteKind.AT_MOST_ONCE)
    assert isinstance(results[0], RefusalError)
    last_resort = [offer.last_resort for offer in relay.offers]
    assert last_resort == sorted(last_resort)
    assert not last_resort[0]
    assert last_resort[-1]


def test_request_without_a_server_is_given_up_within_its_wait(run, relay):
    """Guards against requests that are held until their deadline."""
    relay.replies = dict.fromkeys(OWN_REGION + OTHER_REGION, FULL)
    results, seconds = run(RouteKind.AT_MOST_ONCE)
    assert results[0].status == 503
    assert results[0].retry_after == FULL.retry_after
    assert seconds - START <= GIVEN_UP_SECONDS


def test_repeat_without_a_budget_is_given_up_at_once(run, relay):
    """Guards against a repeat that every server refuses for the same reason.

    Its caller gets the response that it would have replaced.
    """
    failed = HttpResponse(500, [], b'')
    spent = RefusalError(Code.RETRY_BUDGET, relayed=True)

    def fail_first(offer):
        return spent if offer.repeat else None

    async def run_or_fail(address, round_trip, exchange):
        reply = await scripted(address, round_trip, exchange)
        return failed if not exchange.offer.repeat else reply

    scripted = relay.run
    relay.run = run_or_fail
    relay.replies = dict.fromkeys(OWN_REGION + OTHER_REGION, fail_first)
    results, seconds = run(RouteKind.IDEMPOTENT)
    assert results[0].status == 500
    assert sum(offer.repeat for offer in relay.offers) <= 3
    assert seconds - START < AT_ONCE_SECONDS


def test_stopping_node_starts_no_attempt_that_outlives_it(run, relay, stops):
    """Guards against a second attempt that the end of the grace period cuts.

    The first one was sent before the SIGTERM and failed 5 s later.
    """
    stops.append(0.1)

    async def fail_late(address, round_trip, exchange):
        relay.offers.append(exchange.offer)
        await asyncio.sleep(5.3)
        return HttpResponse(500, [], b'')

    relay.run = fail_late
    results, _ = run(RouteKind.IDEMPOTENT, deadline=25, objective=20)
    assert results[0].status == 500
    assert len(relay.offers) == 1


def test_request_that_waits_at_a_stopping_node_is_refused_in_time(
    run, relay, stops
):
    """Guards against callers that learn of the stop by a closed connection."""
    stops.append(0.1)
    relay.replies = dict.fromkeys(OWN_REGION + OTHER_REGION, FULL)
    results, seconds = run(RouteKind.AT_MOST_ONCE, deadline=25, objective=10)
    assert results[0].code is Code.DRAINING
    assert results[0].status == 503
    assert seconds - START < GRACE_SECONDS


def test_queue_is_left_in_time_for_the_run(run, relay, stops):
    stops.append(0)

    def admit_waiting(offer):
        return None if offer.max_wait > 0 else FULL

    relay.replies = dict.fromkeys(OWN_REGION, admit_waiting)
    run(RouteKind.AT_MOST_ONCE, deadline=25, objective=10)
    assert relay.offers[-1].max_wait < GRACE_SECONDS - 2
