"""Revoked keys stop working wherever their requests are."""

import asyncio
import random

import attrs
import pytest
from test_admissioncontrol import make_offer
from test_dispatcher import LOCAL_MEMBER, FakeRelay, FakeSidecar, make_context

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.freshness import Freshness
from godwitknot.accounts.keyring import compute_digest
from godwitknot.mesh.accountchecks import AccountChecks
from godwitknot.mesh.accountquotas import AccountControls
from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.frontend import Frontend, _PendingRequest
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.model import (
    CallerLimits,
    FleetConfiguration,
    Heartbeat,
    HttpRequest,
    HttpResponse,
    RouteKind,
    ServerState,
)
from godwitknot.mesh.retrybudget import RetryBudget
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.platform.dialect import PlatformDialect
from godwitknot.units import Address

SECRET = bytes(32)
SLOTS = 1


def make_account(name, *keys, **changes):
    return ClientAccount(name, frozenset(map(compute_digest, keys)), **changes)


FJORD = make_account('fjord', 'k1', 'k2', priority=0)
SKERRY = make_account('skerry', 'k3')


class Accounts:
    """A node's accounts, whose configuration the test replaces."""

    def __init__(self, log, clock, placement):
        self.clock = clock
        self.holder = ConfigurationHolder(None, log)
        self.freshness = Freshness(clock)
        self.checks = AccountChecks(
            self.holder, self.freshness, placement, SECRET
        )

    def hear(self):
        """Hear of another node that has the same configuration."""
        version = self.holder.version
        self.freshness.record_version(
            'node-2', version, runs_longer=True, other_nodes=9
        )
        self.freshness.record_reply('node-2', version, self.clock.now(), 0)

    def adopt(self, *accounts):
        context = make_context(self.clock, RouteKind.IDEMPOTENT)
        table = {account.name: account for account in accounts}
        self.holder.activate(
            FleetConfiguration(
                self.holder.version + 1,
                {'h': (context.route,)},
                {},
                CallerLimits(),
                b'',
                table if accounts else None,
            ),
            'test',
        )


@pytest.fixture
def accounts(log, clock, placement):
    accounts = Accounts(log, clock, placement)
    accounts.adopt(FJORD, SKERRY)
    accounts.hear()
    return accounts


class SlowRelay(FakeRelay):
    """Calls back before it replies, and may grant a slot before.

    :ivar before_reply: called once with each offer.
    :ivar required_version: offers with an older one are refused.
    :ivar before_refusal: called before that.
    """

    grants = False
    before_reply = None
    required_version = 0
    before_refusal = None

    async def run(self, address, round_trip, exchange):
        if exchange.offer.account_version < self.required_version:
            self.offers.append(exchange.offer)
            self.before_refusal()
            raise RefusalError(
                Code.NOT_READY,
                retry_after=0.5,
                relayed=True,
                needed_version=self.required_version,
            )
        exchange.granted = self.grants
        exchange.committed = self.grants
        if self.before_reply is not None:
            self.before_reply()
            await asyncio.sleep(0.01)
            if not exchange.granted:
                self.offers.append(exchange.offer)
                await asyncio.sleep(5)
        return await super().run(address, round_trip, exchange)


@pytest.fixture
def relay():
    return SlowRelay()


@pytest.fixture
def make_dispatcher(placement, clock, log, relay):
    def make(protocols=(2, 2, 2)):
        runtime = Runtime(clock, log, Telemetry(), random.Random(1))
        directory = Directory(LOCAL_MEMBER)
        directory.merge(
            attrs.evolve(
                LOCAL_MEMBER,
                node=f'node-{number}',
                address=Address(f'10.0.0.{number}', 1),
                service='booking',
                server_id=f's{number}',
                protocol=protocol,
            )
            for number, protocol in enumerate(protocols, start=2)
        )
        server = LocalServer(placement, log, 1)
        admission = AdmissionControl(server, None, None, Shutdown(clock), clock)
        selector = ServerSelector(placement, directory, admission, runtime)
        return Dispatcher(
            placement,
            selector,
            FakeSidecar(admission),
            relay,
            Shutdown(clock),
            runtime,
        )

    return make


def dispatch(dispatcher, clock, accounts, kind=RouteKind.AT_MOST_ONCE):
    context = make_context(clock, kind)
    context.key = accounts.checks.identify(context.route, 'k1')
    return asyncio.run(dispatcher.dispatch(context))


def test_revoked_key_is_refused_on_the_next_request(accounts, clock):
    """Guards against kept-alive connections that keep their account."""
    route = make_context(clock, RouteKind.IDEMPOTENT).route
    assert accounts.checks.identify(route, 'k2').account == FJORD
    accounts.adopt(make_account('fjord', 'k1'), SKERRY)
    assert accounts.checks.identify(route, 'k1').account.name == 'fjord'
    with pytest.raises(RefusalError) as caught:
        accounts.checks.identify(route, 'k2')
    assert (caught.value.status, caught.value.outcome) == (401, Outcome.NOT_RUN)


@pytest.mark.parametrize(
    ('accounts_left', 'code', 'offers'),
    [
        ((SKERRY,), Code.ACCOUNT_KEY, 1),
        ((FJORD, SKERRY), Code.SERVER_SHED, 2),
    ],
)
def test_key_is_checked_before_each_attempt(
    accounts, make_dispatcher, clock, relay, accounts_left, code, offers
):
    """Guards against a second attempt of a request whose key was revoked."""
    shed = RefusalError(Code.SERVER_SHED, relayed=True)
    relay.replies = dict.fromkeys(('s2', 's3', 's4'), shed)
    relay.grants = True
    relay.before_reply = lambda: accounts.adopt(*accounts_left)
    with pytest.raises(RefusalError) as caught:
        dispatch(make_dispatcher(), clock, accounts)
    assert caught.value.code is code
    assert caught.value.outcome is Outcome.NOT_RUN
    assert len(relay.offers) == offers


def test_revoked_key_leaves_the_queue_of_another_node(
    accounts, make_dispatcher, clock, relay
):
    """Guards against revoked keys that wait for a slot and get it."""
    relay.before_reply = lambda: accounts.adopt(SKERRY)
    with pytest.raises(RefusalError) as caught:
        dispatch(make_dispatcher(), clock, accounts)
    assert caught.value.code is Code.ACCOUNT_KEY
    assert caught.value.outcome is Outcome.NOT_RUN


def test_running_request_outlives_its_key(
    accounts, make_dispatcher, clock, relay
):
    """Guards against runs that a revocation cuts after they have begun."""
    relay.grants = True
    relay.before_reply = lambda: accounts.adopt(SKERRY)
    assert dispatch(make_dispatcher(), clock, accounts).status == 200


def test_refusal_by_a_node_with_a_newer_configuration_is_final(
    accounts, make_dispatcher, clock, relay
):
    """Guards against trying a removed account at one server after another."""
    gone = RefusalError(Code.ACCOUNT_KEY, relayed=True)
    relay.replies = dict.fromkeys(('s2', 's3', 's4'), gone)
    with pytest.raises(RefusalError) as caught:
        dispatch(make_dispatcher(), clock, accounts)
    assert caught.value.status == 401
    assert len(relay.offers) == 1


FIRST_KEY = make_account('fjord', 'k1')
SECOND_KEY = make_account('fjord', 'k2')


@pytest.mark.parametrize(
    ('account_left', 'delay', 'code', 'versions'),
    [
        (FIRST_KEY, 0.05, None, [1, 2]),
        (FIRST_KEY, 0, None, [1, 2]),
        (SECOND_KEY, 0.05, Code.ACCOUNT_KEY, [1]),
        (FIRST_KEY, 9, Code.NOT_READY, [1]),
    ],
)
def test_key_is_checked_again_with_the_version_of_a_sidecar(
    accounts, make_dispatcher, clock, relay, account_left, delay, code, versions
):
    """Guards against a key that works through a node that missed its end.

    A valid key of the account is served once this node has the version; the
    request is refused only if that takes too long.
    """
    announced = []
    accounts.checks.version_listeners.append(
        lambda address, version: announced.append((address, version))
    )

    def adopt_later():
        if not delay:
            return accounts.adopt(account_left)
        loop = asyncio.get_running_loop()
        return loop.call_later(delay, accounts.adopt, account_left)

    relay.required_version = 2
    relay.before_refusal = adopt_later
    context = make_context(clock, RouteKind.AT_MOST_ONCE, deadline=0.4)
    context.key = accounts.checks.identify(context.route, 'k1')
    dispatcher = make_dispatcher((1, 1, 2))
    refused = None
    try:
        asyncio.run(dispatcher.dispatch(context))
    except RefusalError as error:
        refused = error
    assert (refused and refused.code) == code
    assert refused is None or refused.outcome is Outcome.NOT_RUN
    assert [each.account_version for each in relay.offers] == versions
    assert announced == [(Address('10.0.0.4', 1), 2)]


def test_offer_carries_account_and_its_priority(
    accounts, make_dispatcher, clock, relay
):
    """Guards against servers that run a request without its account.

    A node of the previous release would not pass the name on.
    """
    dispatch(make_dispatcher((1, 1, 2)), clock, accounts)
    offer = relay.offers.pop()
    assert not relay.offers
    assert (offer.server_id, offer.account, offer.priority) == (
        's4',
        'fjord',
        0,
    )
    with pytest.raises(RefusalError) as caught:
        dispatch(make_dispatcher((1, 1, 1)), clock, accounts)
    assert caught.value.code is Code.NO_SERVER


@pytest.fixture
def admission(placement, log, bounds, clock, accounts):
    server = LocalServer(placement, log, started=1)
    address = Address('127.0.0.1', 7)
    server.apply_heartbeat(
        Heartbeat('s1', 'booking', address, SLOTS, ServerState.READY, 1, 1, 0)
    )
    admission = AdmissionControl(
        server,
        ServerHealth(clock, log),
        RetryBudget(bounds, clock),
        Shutdown(clock),
        clock,
    )
    admission.accounts = accounts.checks
    return admission


def test_removed_account_gets_no_slot_of_the_queue(admission, accounts):
    """Guards against queued requests whose sender missed the revocation.

    An account of a newer configuration is taken on the sender's word.
    """

    async def queue_requests():
        running = await admission.admit(make_offer(account='skerry'))
        waiting = [
            asyncio.ensure_future(
                admission.admit(make_offer(account=name, max_wait=4))
            )
            for name in ('fjord', 'newer')
        ]
        await asyncio.sleep(0)
        accounts.adopt(SKERRY)
        admission.release(running)
        await asyncio.wait(waiting)
        assert waiting[0].exception().code is Code.ACCOUNT_KEY
        assert waiting[1].result().offer.account == 'newer'

    asyncio.run(queue_requests())


@pytest.mark.parametrize(
    ('is_strict', 'is_heard', 'code'),
    [
        (True, False, Code.NOT_READY),
        (True, True, None),
        (False, False, None),
    ],
)
def test_age_of_the_configuration_is_checked_again_before_a_slot(
    admission, accounts, clock, placement, is_strict, is_heard, code
):
    """Guards against keys that are revoked elsewhere while they wait."""
    placement.bounds = attrs.evolve(
        placement.bounds, strict_revoke=is_strict, revoke_seconds=1
    )

    async def queue_request():
        running = await admission.admit(make_offer(account='skerry'))
        offer = make_offer(account='fjord', max_wait=3)
        waiting = asyncio.ensure_future(admission.admit(offer))
        await asyncio.sleep(0)
        clock.advance(1.1)
        if is_heard:
            accounts.hear()
        admission.release(running)
        await asyncio.wait([waiting])
        return waiting.exception()

    refusal = asyncio.run(queue_request())
    assert getattr(refusal, 'code', None) == code


def test_sidecar_refuses_keys_checked_before_the_account_lost_one(
    admission, accounts
):
    """Guards against requests of a node that missed a revocation.

    Nodes of the previous release state no version, and know the code.
    """
    accounts.adopt(make_account('fjord', 'k1'), SKERRY)
    accounts.adopt(make_account('fjord', 'k1', 'k9'), SKERRY)
    for version in (0, 2, 3, 4):
        offer = make_offer(account='fjord', account_version=version)
        admission.release(asyncio.run(admission.admit(offer)))
    with pytest.raises(RefusalError) as caught:
        offer = make_offer(account='fjord', account_version=1)
        asyncio.run(admission.admit(offer))
    assert caught.value.code is Code.NOT_READY
    assert caught.value.needed_version == 2


def test_key_lost_over_a_version_without_accounts_is_a_loss(
    admission, accounts
):
    """Guards against a revoked key of a sender that missed both versions."""
    accounts.adopt()
    admission.release(asyncio.run(admission.admit(make_offer(account='fjord'))))
    accounts.adopt(make_account('fjord', 'k9'), SKERRY)
    with pytest.raises(RefusalError) as caught:
        offer = make_offer(account='fjord', account_version=1)
        asyncio.run(admission.admit(offer))
    assert caught.value.needed_version == 3


def test_account_that_returns_is_served_again(admission, accounts):
    """Guards against accounts that stay removed."""
    accounts.adopt(SKERRY)
    with pytest.raises(RefusalError):
        asyncio.run(admission.admit(make_offer(account='fjord')))
    accounts.adopt(FJORD, SKERRY)
    assert asyncio.run(admission.admit(make_offer(account='fjord')))


def test_end_of_all_accounts_refuses_nobody(admission, accounts):
    """Guards against refusals of nodes that still have the accounts."""
    accounts.adopt(SKERRY)
    accounts.adopt()
    assert asyncio.run(admission.admit(make_offer(account='fjord')))


class Unlimited:
    """Quotas without a limit."""

    async def acquire(self, account, seconds_left):
        """Admit each request."""


class RecordingDispatcher:
    """Answers each request and keeps its context."""

    context = None

    async def dispatch(self, context):
        self.context = context
        return HttpResponse(200, [], b'')


@pytest.fixture
def telemetry():
    return Telemetry()


@pytest.fixture
def serve(accounts, clock, log, telemetry):
    """Return a function that serves a request with header fields."""

    def serve_one(*fields, accounts=accounts):
        dispatcher = RecordingDispatcher()
        frontend = Frontend(
            dispatcher,
            accounts.holder,
            AccountControls(accounts.checks, Unlimited()),
            PlatformDialect(),
            NoCrashes(),
            Shutdown(clock),
            Runtime(clock, log, telemetry, random.Random(1)),
        )
        fields = [('Host', 'h'), ('Godwitknot-Attempt-Id', 'a1'), *fields]
        http_request = HttpRequest('GET', '/', fields, b'')
        pending = _PendingRequest(clock.now())
        response = asyncio.run(frontend._handle(http_request, pending))
        return response.status, dispatcher.context

    return serve_one


class NoCrashes:
    """Blocks no request."""

    def is_blocked(self, service, fingerprint):
        return False

    def record_success(self, service, fingerprint):
        """Ignore it."""


def test_starting_node_rejects_no_key(log, clock, placement, serve):
    """Guards against a 401 from a node that knows no keys yet, or old ones."""
    starting = Accounts(log, clock, placement)
    assert serve(('Api-Key', 'k1'), accounts=starting)[0] == 503
    starting.adopt(SKERRY)
    assert not starting.checks.is_current
    assert serve(('Api-Key', 'k1'), accounts=starting)[0] == 503
    starting.adopt(FJORD)
    clock.advance(3)
    assert starting.checks.is_current
    assert serve(('Api-Key', 'k1'), accounts=starting)[0] == 200


@pytest.mark.parametrize(('is_strict', 'status'), [(True, 503), (False, 200)])
def test_node_behind_a_cut_obeys_the_strictness_of_its_settings(
    accounts, clock, placement, serve, is_strict, status
):
    """Guards against keys that are revoked elsewhere, and needless losses."""
    placement.bounds = attrs.evolve(
        placement.bounds, strict_revoke=is_strict, revoke_seconds=5
    )
    assert serve(('Api-Key', 'k1'))[0] == 200
    clock.advance(5.1)
    assert serve(('Api-Key', 'k1'))[0] == status


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        ([], 401),
        ([('Api-Key', 'unknown')], 401),
        ([('Api-Key', 'k1'), ('Api-Key', 'k1')], 401),
        ([('api-key', 'k1'), ('godwitknot-tenant', 'skerry')], 200),
    ],
)
def test_key_ends_at_the_node_that_receives_it(serve, logged, sent, status):
    """Guards against keys and forged accounts that are passed on."""
    assert serve(*sent)[0] == status
    context = serve(('Api-Key', 'k1'), *sent[1:])[1]
    if status == 200:
        names = {name.lower() for name, _ in context.http_request.fields}
        assert names == {'host', 'godwitknot-attempt-id'}
        assert context.account == FJORD
    assert 'k1' not in logged()


def test_requests_of_each_account_are_logged_and_counted(
    serve, accounts, logged, telemetry
):
    """Guards against refusals whose account no operator can find."""
    serve(('Api-Key', 'k1'))
    serve(('Api-Key', 'k1'), ('Godwitknot-Deadline-Ms', '0'))
    serve(('Api-Key', 'k4'))
    lines = logged().splitlines()
    assert ['"account":"fjord"' in line for line in lines[-3:]] == [1, 1, 0]
    assert '"detail":"unknown key"' in lines[-1]
    counted = 'godwitknot_account_requests_total{account="fjord",result='
    assert f'{counted}"good"}} 2.0' in telemetry.render().decode()


def test_number_of_accounts_in_metrics_is_bounded(telemetry):
    """Guards against metrics that grow with the accounts of an operator."""
    for number in range(300):
        telemetry.count_account(f'account-{number}', 'good')
    lines = telemetry.render().decode().splitlines()
    counters = [each for each in lines if each.startswith('godwitknot_acc')]
    assert len([each for each in counters if '_total' in each]) == 201
    assert sum(float(each.split()[-1]) for each in counters) >= 300


def test_without_accounts_header_fields_pass_unchanged(serve, accounts):
    """Guards against changed requests in deployments without accounts."""
    accounts.adopt()
    sent = (('Api-Key', 'of the application'), ('Godwitknot-Tenant', 't'))
    status, context = serve(*sent)
    assert status == 200
    assert context.http_request.fields[-2:] == list(sent)
    assert context.key is None
