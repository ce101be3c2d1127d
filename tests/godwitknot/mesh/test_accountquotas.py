"""Nodes share quotas while nodes and links fail.

The wiring and the decisions are real; links and time are simulated.
"""

import asyncio
import itertools
import random

import attrs
import pytest

from bench.accounts.load import draw_arrivals, draw_weights
from bench.accounts.quotanodes import QuotaNodes, find_overrun
from bench.gray.virtualtime import run_virtually
from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.errors import ProtocolError
from godwitknot.mesh import frames
from godwitknot.mesh.messages import Kind, QuotaRequest
from godwitknot.outcomes import Code, Outcome, RefusalError

LARGE = ClientAccount('large', frozenset(), rate=40, burst=20)
SMALL = ClientAccount('small', frozenset(), rate=2, burst=3)
FREE = ClientAccount('free', frozenset())
NODES = 60
EVEN = [1 for _ in range(NODES)]
START, FAULT, CALM, END = 1, 4, 10, 16
SEEDS = (1, 2)
# Share of the rate that callers within the quota use.
DEMAND = 0.7
# Shares of the requests, or of the rate, that must be served.
ALL_BUT_FEW, MOST, MANY = 0.99, 0.9, 0.8
# In seconds, while a home is replaced.
LONGEST_WAIT = 1.3
# Until a loss that one node has confirmed is known, and time of a lost call.
CONFIRMED_SECONDS, ONE_CALL = 0.5, 0.35


class Scene:
    """Nodes, the requests of one account, and what happens at ``FAULT``."""

    def __init__(self, account, seed, nodes=NODES):
        self.account = account
        self.fleet = QuotaNodes(nodes, [account, FREE], seed)
        self.rng = random.Random(seed)

    async def play(self, demand, event=None, end=END, weights=None):
        """Send requests at a share of the rate; return the admitted ones."""
        count = len(self.fleet.members)
        arrivals = draw_arrivals(
            self.account,
            demand * self.account.rate,
            weights or draw_weights(count, self.rng),
            (START, end),
            self.rng,
        )
        self.sent = len(arrivals)
        events = [] if event is None else [(FAULT, lambda: event(self))]
        await self.fleet.play(arrivals, events)
        self.admitted = self.fleet.list_admitted(self.account.name)
        self.overrun = find_overrun(self.admitted, self.account, QuotaBounds())
        self.end = asyncio.get_running_loop().time()
        return self.admitted

    @property
    def admitted_share(self):
        return len(self.admitted) / self.sent

    def rate_at_end(self, seconds=5):
        """Return the requests per second in the last seconds."""
        last = self.admitted[-1]
        return sum(each > last - seconds for each in self.admitted) / seconds


def play(account, demand, event=None, seed=1, nodes=NODES, **options):
    """Play a scene with new nodes and return it."""

    async def run():
        scene = Scene(account, seed, nodes)
        await scene.play(demand, event, **options)
        return scene

    return run_virtually(run())


def kill_home(scene):
    scene.fleet.kill(scene.fleet.find_home(scene.account.name).member)


def restart_all(scene):
    for member in scene.fleet.members:
        scene.fleet.restart(member)


def restart_third(scene):
    for member in scene.fleet.members[::3]:
        scene.fleet.restart(member)


def kill_tenth(scene):
    for member in scene.rng.sample(scene.fleet.members, NODES // 10):
        scene.fleet.kill(member)


def stop_home(scene):
    """Stop the home, which says so and goes on with its own callers."""
    directory = scene.fleet.find_home(scene.account.name).directory
    directory.update_local_member(serving=False)
    scene.fleet.publish(directory.local_member)


def cut_apart(scene, group):
    scene.fleet.cut_apart(group)


def cut_home(scene):
    cut_apart(scene, [scene.fleet.find_home(scene.account.name).member])


def cut_third(scene):
    cut_apart(scene, scene.rng.sample(scene.fleet.members, NODES // 3))


def cut_region(scene):
    cut_apart(
        scene, [each for each in scene.fleet.members if each.region == 'r0']
    )


def cut_two_homes(scene):
    peers = scene.fleet.all[0].quotas.peers
    pair = set(peers.rank(scene.account.name)[:2])
    scene.fleet.cut = lambda one, other: {one.address, other.address} == pair


def heal_later(scene):
    cut_region(scene)
    loop = asyncio.get_running_loop()
    loop.call_later(5, lambda: cut_apart(scene, []))


FAULTS = [
    kill_home,
    kill_tenth,
    stop_home,
    restart_all,
    restart_third,
    cut_home,
    cut_third,
    cut_region,
    cut_two_homes,
    heal_later,
]


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('account', [LARGE, SMALL], ids=['large', 'small'])
def test_quota_is_never_exceeded(account, fault, seed):
    """Guards against two homes, or shares beside a home, that add up.

    The account sends seven times its rate.
    """
    scene = play(account, 7, fault, seed)
    assert scene.overrun <= 0


def play_after_calm(account, demand, fault, weights, seed):
    """Send a fifth of the rate, then more; return by how much it is exceeded."""

    async def run():
        scene = Scene(account, seed)
        arrivals = [
            arrival
            for share, period in (
                (1 / 5, (START, CALM)),
                (demand, (CALM, CALM + 10)),
            )
            for arrival in draw_arrivals(
                account, share * account.rate, weights, period, scene.rng
            )
        ]
        events = [] if fault is None else [(CALM, lambda: fault(scene))]
        await scene.fleet.play(arrivals, events)
        return scene.fleet.list_admitted(account.name)

    return find_overrun(run_virtually(run()), account, QuotaBounds())


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'fault', [None, kill_home, cut_home, cut_region, restart_all]
)
@pytest.mark.parametrize('account', [LARGE, SMALL], ids=['large', 'small'])
def test_quota_is_kept_after_a_calm_time(account, fault, seed):
    """Guards against a home that is cut off, but has tokens and does not notice.

    The account sends seven times its rate at a third of the nodes.
    """
    assert play_after_calm(account, 7, fault, EVEN[:20], seed) <= 0


def test_quota_is_kept_if_each_side_of_a_cut_needs_less():
    """Guards against a home that has tokens for its side and misses the cut.

    Both sides together send 1.8 times the rate.
    """
    overruns = [
        play_after_calm(LARGE, 1.8, cut_region, EVEN, seed) for seed in SEEDS
    ]
    assert max(overruns) <= 0


@pytest.mark.parametrize(
    'fault', [kill_home, cut_home, restart_all, heal_later]
)
def test_quota_is_used_again_after_a_fault(fault):
    """Guards against a lost home whose account keeps to fallback shares."""
    assert play(LARGE, 7, fault).rate_at_end() > MOST * LARGE.rate


@pytest.mark.parametrize(
    'fault',
    [None, kill_home, kill_tenth, stop_home, restart_third, cut_two_homes],
)
def test_requests_within_the_quota_are_admitted(fault):
    """Guards against refusals long after a home was replaced.

    It takes half a second to find the loss, one to confirm it, and another half
    until the new home may issue tokens.
    """
    for seed in SEEDS:
        scene = play(LARGE, DEMAND, fault, seed)
        refused = scene.sent - len(scene.admitted)
        assert refused <= (fault is not None) * 2 * DEMAND * LARGE.rate


@pytest.mark.parametrize('seed', SEEDS)
def test_requests_wait_little_for_a_new_home(seed):
    """Guards against a loss that is found by one time limit after the other.

    The calls to the home end after 0.25 s; it is checked in another 0.35 s, and
    tokens of the next 0.5 s are waited for.
    """
    scene = play(LARGE, DEMAND, kill_home, seed)
    assert max(scene.fleet.list_waits([LARGE.name])) < LONGEST_WAIT
    assert scene.admitted_share > ALL_BUT_FEW


def test_one_confirmed_loss_serves_all_accounts_of_a_home():
    """Guards against a loss that is checked anew for each account."""
    accounts = [
        attrs.evolve(SMALL, name=f'small-{number}') for number in range(200)
    ]

    async def run():
        fleet = QuotaNodes(20, accounts, 1)
        home = fleet.find_home(accounts[0].name)
        peers = fleet.all[0].quotas.peers
        shared = [
            each.name for each in accounts if fleet.find_home(each.name) is home
        ]
        heirs = {peers.rank(name)[1]: name for name in shared}
        assert len(heirs) > 3
        fleet.kill(home.member)
        node, other = [each for each in fleet.all if each is not home][:2]
        await node.send(shared[0])
        await asyncio.sleep(CONFIRMED_SECONDS)
        for name in heirs.values():
            await other.send(name)
        return other.waits

    waits = run_virtually(run())
    assert max(itertools.chain.from_iterable(waits.values())) < ONE_CALL


def test_small_account_at_a_hundred_nodes_is_admitted():
    """Guards against shares below one token: a request a minute at each node."""
    account = ClientAccount('thin', frozenset(), rate=2, burst=2)
    scene = play(
        account, 100 / 60 / 2, nodes=100, end=60, weights=EVEN + EVEN[:40]
    )
    assert scene.admitted_share > ALL_BUT_FEW
    assert scene.fleet.traffic.messages < 5 * scene.sent


def test_both_sides_of_a_cut_are_served():
    scene = play(LARGE, 7, cut_region, weights=EVEN)
    late = scene.admitted[0] + 8
    served = {
        node.member.region
        for node in scene.fleet.all
        for moment in node.admitted.get(LARGE.name, ())
        if moment > late
    }
    assert served == {'r0', 'r1'}
    assert scene.rate_at_end() > MANY * LARGE.rate


def test_hot_account_costs_its_home_little():
    """Guards against a denied node that asks again for each request."""
    scene = play(LARGE, 7, weights=EVEN)
    # Requests that get a token, nodes that ask again after 2 s, and calls to
    # two nodes of each failure domain.
    calls = LARGE.rate + NODES / 2 + 8
    assert scene.fleet.traffic.messages < 2 * calls * (END - START)
    assert scene.sent > 6 * LARGE.rate * (END - START)


def test_account_far_below_its_limit_costs_few_messages():
    """Guards against a message both ways for each request."""
    scene = play(LARGE, 1 / 5, weights=EVEN[:10])
    assert scene.admitted_share > ALL_BUT_FEW
    assert 2 * scene.fleet.traffic.messages < 3 * scene.sent


def test_moving_callers_are_admitted():
    """Guards against shares that lag behind the callers."""

    async def run():
        scene = Scene(LARGE, 1)
        arrivals = [
            arrival
            for period in itertools.pairwise((1, 5, 10, 15))
            for arrival in draw_arrivals(
                LARGE,
                0.8 * LARGE.rate,
                draw_weights(NODES, scene.rng),
                period,
                scene.rng,
            )
        ]
        await scene.fleet.play(arrivals)
        return len(scene.fleet.list_admitted(LARGE.name)) / len(arrivals)

    assert run_virtually(run()) > ALL_BUT_FEW


def test_lower_limit_binds_everywhere_after_a_window():
    lower = attrs.evolve(LARGE, rate=5, burst=0)

    def lower_limit(scene):
        for node in scene.fleet.all:
            node.holder.change(lower)

    scene = play(LARGE, 7, lower_limit)
    after = [each for each in scene.admitted if each > scene.admitted[0] + 4]
    assert find_overrun(after, lower, QuotaBounds()) <= 0


def test_node_of_the_previous_release_is_no_home():
    """Guards against requests for tokens to nodes that cannot read them."""

    def downgrade(scene):
        peers = scene.fleet.all[0].quotas.peers
        address = peers.rank(LARGE.name)[0]
        old = scene.fleet.nodes[address].member
        for node in scene.fleet.all:
            node.directory.merge([attrs.evolve(old, revision=1, protocol=1)])
            if node.member.address != address:
                assert address not in node.quotas.peers.rank(LARGE.name)

    assert play(LARGE, 0.5, downgrade).admitted_share > ALL_BUT_FEW


def test_accounts_without_a_limit_cost_no_messages():
    async def run():
        fleet = QuotaNodes(3, [FREE], 1)
        for _ in range(100):
            assert await fleet.all[0].send(FREE.name)
        await asyncio.sleep(5)
        return fleet.traffic.messages

    assert run_virtually(run()) == 0


def test_requests_count_that_a_node_admitted_before_it_died():
    """Guards against overruns and refusals that a restart hides or adds."""

    async def run():
        fleet = QuotaNodes(3, [SMALL], 1, first_start=True)
        node = fleet.all[0]
        assert await node.send(SMALL.name)
        assert fleet.restart(node.member) is not node
        return fleet.list_admitted(SMALL.name)

    assert len(run_virtually(run())) == 1


async def exhaust(node):
    """Use up the bucket of an account; return the refusal."""
    try:
        while True:
            await node.quotas.acquire(SMALL, 5)
    except RefusalError as refusal:
        return refusal


def test_refusal_states_code_and_time():
    async def run():
        return await exhaust(QuotaNodes(3, [SMALL], 1).all[0])

    refusal = run_virtually(run())
    assert (refusal.code, refusal.status) == (Code.QUOTA_EXCEEDED, 429)
    assert refusal.outcome is Outcome.NOT_RUN
    assert 0 < refusal.retry_after <= 5


def test_token_of_a_request_that_reached_no_server_is_used_again():
    async def run():
        node = QuotaNodes(3, [SMALL], 1).all[0]
        await exhaust(node)
        node.quotas.give_back(SMALL)
        await node.quotas.acquire(SMALL, 5)
        return await exhaust(node)

    assert run_virtually(run()).code is Code.QUOTA_EXCEEDED


def test_wait_for_a_token_ends_with_the_time_left():
    """Guards against a request that waits longer than its caller."""

    async def run():
        scene = Scene(SMALL, 1)
        kill_home(scene)
        loop = asyncio.get_running_loop()
        start = loop.time()
        alive = [
            node
            for node in scene.fleet.all
            if node.member.address not in scene.fleet.dead
        ]
        await asyncio.gather(*(node.send('small', 0.3) for node in alive))
        return loop.time() - start

    assert run_virtually(run()) < 1 / 3


def test_unexpected_grant_is_a_protocol_error():
    async def run():
        node = QuotaNodes(2, [SMALL], 1).all[0]
        request = QuotaRequest(node.member.address, 'unknown', 3)
        reply = node.quotas.handle(Kind.QUOTA_REQUEST, request)
        kind, grant = frames.decode(reply)
        assert grant.tokens.count == 0
        with pytest.raises(ProtocolError):
            node.quotas.handle(kind, grant)

    run_virtually(run())
