"""Tokens are issued and spent up to the quota, and only while they are valid."""

import random

import attrs
import pytest

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.fallbackshare import FallbackShares
from godwitknot.accounts.homechoice import HomeChoice
from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.accounts.quotaclient import QuotaClient
from godwitknot.accounts.quotagrants import Grant, Verdict
from godwitknot.accounts.quotahome import QuotaHome
from godwitknot.accounts.quotaleases import Leases
from godwitknot.accounts.quotause import (
    MAX_NAMES,
    OTHER_NAME,
    QuotaUse,
    Use,
)
from godwitknot.accounts.reachability import Reachability
from godwitknot.accounts.takeovers import Takeovers
from godwitknot.accounts.tokenbucket import TokenBucket, Tokens
from godwitknot.clock import ManualClock

BOUNDS = QuotaBounds()
ACCOUNT = ClientAccount('cargo', frozenset(), rate=10, burst=5)
DOMAINS = {
    zone: [f'{zone}-{number}' for number in range(20)] for zone in 'abcd'
}
NODES = sum(DOMAINS.values(), [])


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def rng():
    return random.Random(1)


@pytest.fixture
def home(clock, rng):
    return QuotaHome(BOUNDS, clock, rng)


@pytest.fixture
def client(clock):
    return QuotaClient(ACCOUNT, BOUNDS, clock)


def run_home(home, clock, account, seconds, wanted=50):
    """Ask for many tokens ten times a second; return how many were issued."""
    issued = 0
    for _ in range(int(seconds * 10)):
        issued += home.grant(account, 1, 'node', wanted).tokens.count
        clock.advance(0.1)
    return issued


def make_grant(count=3, delay=0.1, version=1, **fields):
    tokens = Tokens(count, 1, delay, 0.1)
    return Grant(Verdict.GRANTED, tokens, version=version, **fields)


def take(client, clock):
    return client.take(clock.now() + 1)


def test_bucket_issues_tokens_of_the_future_at_its_rate():
    bucket = TokenBucket(10, 20, 2.5, 0)
    tokens = bucket.take(9, 0.5, 0)
    assert tokens.list_delays() == pytest.approx(
        [0, 0, 0.05, 0.15, 0.25, 0.35, 0.45]
    )
    assert bucket.take(1, 0.5, 0).count == 0
    assert bucket.take(1, 0.5, 0.1).list_delays() == pytest.approx([0.45])


def test_new_home_starts_low_and_keeps_the_rate(home, clock):
    """Guards against a full burst from each node that becomes the home."""
    issued = run_home(home, clock, ACCOUNT, 5)
    # Half a second ahead, without the handover of half a second.
    assert issued <= BOUNDS.start_tokens + ACCOUNT.rate * 5
    assert issued >= ACCOUNT.rate * 4.5


@pytest.mark.parametrize(('vacant', 'ready'), [(0, 0), (0.3, 3), (9, 5)])
def test_home_starts_with_more_if_the_previous_one_is_long_lost(
    home, vacant, ready
):
    """Guards against tokens beside those that the lost home issued ahead."""
    grant = home.grant(ACCOUNT, 1, 'node', 100, absent_seconds=vacant)
    assert grant.tokens.ready == ready


def test_first_start_of_the_system_has_the_burst(clock, rng):
    home = QuotaHome(BOUNDS, clock, rng, first_start=True)
    grant = home.grant(ACCOUNT, 1, 'node', 100)
    assert grant.tokens.ready == ACCOUNT.burst + BOUNDS.added_burst
    home.end_first_start()
    other = attrs.evolve(ACCOUNT, name='other')
    assert home.grant(other, 1, 'node', 100).tokens.ready <= BOUNDS.start_tokens


def test_home_that_was_paused_starts_low(home, clock):
    """Guards against a burst of a paused home beside that of its substitute."""
    run_home(home, clock, ACCOUNT, 1, wanted=1)
    clock.advance(8)
    assert (
        home.grant(ACCOUNT, 1, 'node', 100).tokens.ready <= BOUNDS.start_tokens
    )


def test_bucket_of_another_home_is_dropped(home, clock):
    """Guards against a full bucket of a home that was replaced for a while."""
    for _ in range(30):
        home.grant(ACCOUNT, 1, 'node', 1)
        clock.advance(1)
    home.keep(lambda name: False)
    assert (
        home.grant(ACCOUNT, 1, 'node', 100).tokens.ready <= BOUNDS.start_tokens
    )


def test_lower_limit_binds_at_the_home_at_once(home, clock):
    run_home(home, clock, ACCOUNT, 2)
    lower = attrs.evolve(ACCOUNT, rate=2, burst=0)
    assert run_home(home, clock, lower, 5) <= lower.rate * 5 + 1


def test_home_issues_the_share_of_the_nodes_in_touch(home, clock):
    run_home(home, clock, ACCOUNT, 2)
    home.share = 0.5
    issued = run_home(home, clock, ACCOUNT, 10)
    assert issued == pytest.approx(ACCOUNT.rate * 5, abs=3)


def test_denied_nodes_ask_again_at_a_bounded_rate(home, clock):
    """Guards against a hot account whose nodes ask for each request."""
    account = attrs.evolve(ACCOUNT, rate=50)
    due = dict.fromkeys(range(100), 0)
    asks = 0
    issued = 0
    for _ in range(1000):
        for node in [each for each, at in due.items() if at <= clock.now()]:
            grant = home.grant(account, 1, node, 4)
            asks += 1
            issued += grant.tokens.count
            due[node] = clock.now() + max(grant.retry_after, 0.1)
        clock.advance(0.01)
    assert asks < 100 + 10 * 80
    assert issued > account.rate * 9


def test_tokens_are_spent_in_order_once_ready(client, clock):
    ask = client.begin_ask()
    assert client.apply(ask, make_grant())
    now = clock.now()
    ready = [take(client, clock).ready_at - now for _ in range(3)]
    assert ready == pytest.approx([0, 0.1, 0.2])
    assert take(client, clock) is None


def test_duplicated_grant_adds_nothing(client, clock):
    ask = client.begin_ask()
    client.apply(ask, make_grant(count=1))
    assert not client.apply(ask, make_grant(count=1))
    assert take(client, clock) is not None
    assert take(client, clock) is None


def test_grant_after_a_second_try_adds_nothing(client, clock):
    first = client.begin_ask()
    client.begin_ask()
    assert not client.apply(first, make_grant())
    assert take(client, clock) is None


def test_late_grant_adds_no_expired_tokens(client, clock):
    """Guards against tokens of one window that are spent in a later one."""
    ask = client.begin_ask()
    clock.advance(BOUNDS.token_seconds + 0.01)
    client.apply(ask, make_grant())
    assert take(client, clock) is None


def test_paused_node_spends_no_expired_token(client, clock):
    """Guards against a node that acts on a lease that ran out meanwhile."""
    client.apply(client.begin_ask(), make_grant())
    token = take(client, clock)
    assert client.may_spend(token)
    clock.advance(3)
    assert not client.may_spend(token)
    assert take(client, clock) is None


def test_lower_limit_ends_leases(client, clock):
    """Guards against a lease of a higher limit, held, reserved or late."""
    client.apply(client.begin_ask(), make_grant())
    token = take(client, clock)
    client.update(attrs.evolve(ACCOUNT, rate=5), 7)
    assert not client.may_spend(token)
    assert take(client, clock) is None
    client.apply(client.begin_ask(), make_grant(version=6))
    assert take(client, clock) is None
    client.apply(client.begin_ask(), make_grant(version=7))
    assert take(client, clock) is not None


def test_returned_token_is_used_again_for_a_while(client, clock):
    client.return_spent()
    assert take(client, clock) is not None
    client.return_spent()
    clock.advance(1)
    assert take(client, clock) is None


def test_node_asks_for_expected_requests_only_if_many(client, clock):
    client.record_arrival()
    assert client.begin_ask().wanted == 1
    for _ in range(200):
        client.record_arrival()
        clock.advance(0.01)
    assert 15 <= client.begin_ask().wanted <= 30


def test_refused_callers_return_spread(client, clock):
    grant = make_grant(count=0, retry_after=0.5, pace=0.2)
    client.apply(client.begin_ask(), grant)
    assert client.is_denied
    seconds = [client.refuse() for _ in range(40)]
    assert seconds[:3] == pytest.approx([0.5, 0.7, 0.9])
    assert max(seconds) <= BOUNDS.window
    clock.advance(0.6)
    assert not client.is_denied


@pytest.mark.parametrize('rate', [1, 20, 200])
def test_fallback_shares_together_keep_the_rate(clock, rate):
    """Guards against nodes that have each saved a token of a small account."""
    nodes = 100
    shares = [
        FallbackShares(10, clock, random.Random(seed)) for seed in range(nodes)
    ]
    assert not any(each.spend('a', rate, nodes) for each in shares)
    spent = []
    for second in range(40):
        clock.advance(1)
        # Callers come to all nodes after long silence, then all the time.
        if second > 20 or second == 9:
            spent.append(
                sum(
                    each.spend('a', rate, nodes)
                    for each in shares
                    for _ in range(5)
                )
            )
    limit = rate * BOUNDS.window * 1.1 + BOUNDS.slack
    windows = [sum(spent[at : at + 5]) for at in range(len(spent) - 4)]
    assert max(windows) <= limit
    assert sum(spent[5:]) >= rate * len(spent[5:]) * 0.6


def test_joining_node_takes_few_homes():
    choice = HomeChoice()
    for node in NODES:
        choice.change(node, eligible=True)
    names = [f'account-{number}' for number in range(500)]
    before = {name: choice.rank(name) for name in names}
    choice.change('new', eligible=True)
    moved = [name for name in names if choice.rank(name)[0] != before[name][0]]
    assert {choice.rank(name)[0] for name in moved} == {'new'}
    assert len(moved) < 25
    choice.change('new', eligible=False)
    assert {name: choice.rank(name) for name in names} == before


def call_some(reachability, clock, rng, is_cut):
    """Call three silent nodes of each domain, as a home does."""
    for nodes in DOMAINS.values():
        for node in reachability.draw_silent(nodes, 3, rng):
            if is_cut(node):
                reachability.record_failed(node, clock.now())
            else:
                reachability.record_heard(node, answered=True)


@pytest.mark.parametrize(
    ('is_cut', 'expected', 'error'),
    [
        (lambda node: False, 0, 0),
        (lambda node: node == 'a-7', 0.0125, 0.0125),
        (lambda node: node[0] in 'ab', 0.5, 0.05),
        (lambda node: int(node[2:]) % 3 == 0, 0.35, 0.15),
        (lambda node: node != 'a-1', 0.99, 0.05),
    ],
    ids=['none', 'one node', 'region', 'third', 'all'],
)
def test_share_out_of_touch_is_found_in_two_seconds(
    clock, rng, is_cut, expected, error
):
    """Guards against a home that issues what nodes cut off from it issue."""
    reachability = Reachability(clock)
    for node in NODES:
        reachability.record_heard(node)
    for _ in range(4):
        clock.advance(0.5)
        for node in NODES[::2]:
            if not is_cut(node):
                reachability.record_heard(node)
        call_some(reachability, clock, rng, is_cut)
    share = reachability.estimate_lost_share(DOMAINS)
    assert share == pytest.approx(expected, abs=error)


def test_calls_that_fail_together_do_not_lose_a_node(clock):
    reachability = Reachability(clock)
    started = clock.now()
    clock.advance(0.25)
    assert not reachability.record_failed('a-1', started)
    assert not reachability.record_failed('a-1', started)
    assert not reachability.is_lost('a-1')
    assert reachability.record_failed('a-1', clock.now())
    assert reachability.is_lost('a-1')
    assert reachability.record_heard('a-1')
    assert not reachability.is_lost('a-1')


def test_lost_node_is_probed_less_often_with_time(clock):
    reachability = Reachability(clock)
    for _ in range(2):
        reachability.record_failed('a-1', clock.now())
    probes = 0
    for _ in range(600):
        probes += len(reachability.list_due_probes(['a-1', 'a-2']))
        clock.advance(0.5)
    assert 30 <= probes <= 45


@pytest.mark.parametrize(
    ('verdicts', 'others', 'expected'),
    [
        ([Verdict.LOST, Verdict.LOST, None], 90, True),
        ([Verdict.LOST, Verdict.LOST, Verdict.REACHABLE], 90, False),
        ([Verdict.LOST, Verdict.UNKNOWN, None], 90, False),
        ([], 90, False),
        ([Verdict.LOST], 1, True),
        ([], 0, True),
    ],
)
def test_home_is_replaced_only_if_witnesses_lost_it(
    clock, rng, verdicts, others, expected
):
    """Guards against two homes when only the link between them is cut."""
    takeovers = Takeovers(clock, rng)
    assert takeovers.begin_check('a-1')
    assert not takeovers.begin_check('a-1')
    assert takeovers.conclude('a-1', verdicts, others=others) is expected
    assert takeovers.is_confirmed('a-1') is expected
    clock.advance(11)
    assert takeovers.begin_check('a-1')
    assert not takeovers.is_confirmed('a-1')


def test_loss_lasts_from_the_start_of_the_first_check(clock, rng):
    """Guards against a loss counted from before others had lost the node."""
    takeovers = Takeovers(clock, rng)
    lost = [Verdict.LOST, Verdict.LOST]
    assert not takeovers.measure_loss('a-1')
    for verdicts in ([Verdict.REACHABLE], lost, lost):
        assert takeovers.begin_check('a-1')
        clock.advance(0.5)
        takeovers.conclude('a-1', verdicts, others=9)
        clock.advance(5)
    assert takeovers.measure_loss('a-1') == pytest.approx(11)
    takeovers.forget('a-1')
    assert not takeovers.measure_loss('a-1')


def test_loss_that_another_node_confirmed_is_checked_later(clock, rng):
    """Guards against all homes that check a loss again at the same time."""
    takeovers = Takeovers(clock, rng)
    takeovers.adopt('a-1', clock.now())
    assert takeovers.is_adopted('a-1')
    clock.advance(6)
    assert takeovers.is_confirmed('a-1')
    assert not takeovers.begin_check('a-1')
    clock.advance(4)
    assert not takeovers.is_adopted('a-1')
    assert takeovers.begin_check('a-1')


def test_node_that_others_have_lost_too_is_lost_after_one_call(clock):
    reachability = Reachability(clock)
    reachability.record_failed('a-1', clock.now())
    assert reachability.confirm_lost('a-1')
    assert reachability.is_lost('a-1')
    assert not reachability.confirm_lost('a-1')
    assert reachability.record_heard('a-1')


def test_leases_and_the_bucket_stay_within_its_capacity(clock, rng):
    """Guards against a bucket that fills up while nodes hold its tokens."""
    home = QuotaHome(BOUNDS, clock, rng, first_start=True)
    capacity = ACCOUNT.burst + BOUNDS.added_burst
    grant = home.grant(ACCOUNT, 1, 'calm', 1, expected=50)
    held = grant.tokens.count - 1
    assert capacity / 5 < held < capacity / 2
    assert grant.seconds == BOUNDS.lease_seconds
    home.tick()
    clock.advance(1)
    issued = home.grant(ACCOUNT, 1, 'hot', 100).tokens
    assert issued.ready == capacity - held
    assert not home.grant(ACCOUNT, 1, 'new', 1, expected=5).seconds
    # Half a second is issued ahead.
    assert run_home(home, clock, ACCOUNT, 5) <= ACCOUNT.rate * 5.5


def test_leases_of_a_lost_home_are_within_the_limit(clock, rng):
    """Guards against an overrun after the death of a home.

    The bucket of its successor filled up in seconds, while nodes held tokens
    of the lost one.
    """
    large = ClientAccount('cargo', frozenset(), rate=100, burst=400)
    home = QuotaHome(BOUNDS, clock, rng, first_start=True)
    held = 0
    for node in range(50):
        grant = home.grant(large, 1, node, 1, expected=30)
        held += grant.tokens.count - 1
        home.tick()
        clock.advance(0.1)
    limit = (large.rate * 5 + large.burst) * 1.1 + 20
    bucket = large.rate * 5 + large.burst + BOUNDS.added_burst
    late = large.rate * BOUNDS.token_seconds
    assert 0 < held <= limit - bucket - late


@pytest.mark.parametrize(
    ('rate', 'burst', 'is_exceeded'),
    [(2, 2, False), (4, 10, False), (10, 100, True), (50, 500, True)],
)
def test_two_homes_exceed_the_limit_of_large_accounts(rate, burst, is_exceeded):
    """Guards against a partition that only accounts without a burst notice."""
    assert BOUNDS.is_exceeded_by_two(rate, burst) is is_exceeded


def test_lease_gives_its_place_back_when_it_is_spent_or_over(clock):
    """Guards against a bucket that stays small, and one that grows at a retry.

    After a retry, the node may use either of two grants.
    """
    leases = Leases()
    leases.add('a', 3, clock.now(), 15)
    leases.add('b', 4, clock.now(), 15)
    clock.advance(0.5)
    leases.end_spent('a', clock.now())
    assert leases.count_held(clock.now()) == 7
    clock.advance(0.6)
    leases.end_spent('a', clock.now())
    assert leases.count_held(clock.now()) == 4
    clock.advance(15)
    assert leases.count_held(clock.now()) == 0


def test_only_tokens_beyond_those_wanted_are_held(client, clock):
    """Guards against more than the home counts as held."""
    ask = client.begin_ask()
    tokens = Tokens(3, 3)
    client.apply(ask, Grant(Verdict.GRANTED, tokens, seconds=1000))
    clock.advance(BOUNDS.lease_seconds - 0.1)
    assert [take(client, clock) is None for _ in range(3)] == [0, 0, 1]
    client.apply(client.begin_ask(), Grant(Verdict.GRANTED, tokens, seconds=9))
    clock.advance(BOUNDS.lease_seconds)
    assert take(client, clock) is None


def test_use_is_counted_for_a_bounded_number_of_accounts():
    """Guards against metrics and logs that grow with the accounts."""
    use = QuotaUse()
    for number in range(2 * MAX_NAMES):
        use.count(f'account-{number}', Use.SPENT)
    use.count('account-7', Use.REFUSED, 3)
    use.count('account-9', Use.FALLBACK)
    assert len(use.totals) == MAX_NAMES + 1
    assert use.totals[OTHER_NAME] == {Use.SPENT: MAX_NAMES}
    names = [name for name, _ in use.pop_notable(5)]
    assert names == ['account-7', 'account-9']
    assert not list(use.pop_notable(5))
