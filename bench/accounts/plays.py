"""Plays of the experiment: a strategy, a fleet, accounts and an event."""

import asyncio
import collections
import random
from collections.abc import Callable, Mapping, Sequence

import attrs

from bench.accounts.load import (
    DEMAND_SHARE,
    Arrival,
    count_central,
    make_accounts,
    make_load,
)
from bench.accounts.quotanodes import QuotaNodes, Traffic, find_overrun
from bench.accounts.strategies import DemandShares, FixedShares, Strategy
from bench.gray.virtualtime import run_virtually
from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.quotabounds import QuotaBounds

HOMES = 'quota homes'
STRATEGIES: Mapping[str, type[Strategy]] = {
    each.name: each for each in (FixedShares, DemandShares)
}
EVENTS = ('calm', 'moves', 'region cut', 'third cut', 'deaths')
# Requests per second of all accounts, apart from what the hot one sends on top.
_DEMAND = 500.0
_SECONDS = 15.0
_MOVES = (5.0, 10.0)
_CUT_SECONDS, _HEAL_SECONDS = 4.0, 11.0
_DEATH_SECONDS, _RESTART_SECONDS = 5.0, 7.0
_DEATH_SHARE = 0.1
# Waits for a token above this are counted.
_DELAY_SECONDS = 0.5


@attrs.frozen
class Result:
    """Sums over the accounts of one play, or of several.

    :param refused: requests that one bucket for all nodes would have admitted.
    :param overruns: accounts whose worst window exceeds the limit.
    :param worst: largest overrun, as a share of the limit.
    :param admitted: requests of all accounts.
    :param waits: requests without those of the hot account, whose nodes wait
        for tokens at all times.
    :param delayed: those of them that waited long for a token or a refusal.
    """

    central: int = 0
    refused: int = 0
    hot_central: int = 0
    hot_refused: int = 0
    overruns: int = 0
    worst: float = 0
    traffic: Traffic = attrs.field(factory=Traffic)
    admitted: int = 0
    waits: int = 0
    delayed: int = 0

    def add(self, other: 'Result') -> 'Result':
        """Return the sum with another result."""
        traffic = Traffic(
            self.traffic.messages + other.traffic.messages,
            self.traffic.sent_bytes + other.traffic.sent_bytes,
            self.traffic.region_bytes + other.traffic.region_bytes,
        )
        return Result(
            self.central + other.central,
            self.refused + other.refused,
            self.hot_central + other.hot_central,
            self.hot_refused + other.hot_refused,
            self.overruns + other.overruns,
            max(self.worst, other.worst),
            traffic,
            self.admitted + other.admitted,
            self.waits + other.waits,
            self.delayed + other.delayed,
        )


@attrs.frozen
class Play:
    """One play, by the names of its parts.

    :param demand: of an account, as a share of its rate.
    """

    strategy: str
    nodes: int
    accounts: int
    event: str
    seed: int
    demand: float = DEMAND_SHARE

    def run(self) -> Result:
        """Play it and return the result."""
        return run_virtually(self._run())

    async def _run(self) -> Result:
        rng = random.Random(self.seed)
        accounts = make_accounts(self.accounts, _DEMAND, self.demand)
        moves = _MOVES if self.event == 'moves' else ()
        arrivals = make_load(
            accounts, self.nodes, (0, *moves, _SECONDS), rng, self.demand
        )
        fleet = QuotaNodes(self.nodes, accounts, self.seed, first_start=True)
        strategy = None
        if self.strategy != HOMES:
            strategy = STRATEGIES[self.strategy](fleet, accounts)
            running = asyncio.ensure_future(strategy.run())
            fleet.send = strategy.send
        await fleet.play(arrivals, _list_events(self.event, fleet, rng))
        if strategy is None:
            admitted = {
                each.name: fleet.list_admitted(each.name) for each in accounts
            }
            total = _judge(arrivals, accounts, admitted, fleet.traffic)
            waits = fleet.list_waits(each.name for each in accounts[1:])
            delayed = sum(wait > _DELAY_SECONDS for wait in waits)
            return attrs.evolve(total, waits=len(waits), delayed=delayed)
        running.cancel()
        return _judge(arrivals, accounts, strategy.admitted, strategy.traffic)


def _list_events(
    event: str, fleet: QuotaNodes, rng: random.Random
) -> list[tuple[float, Callable[[], object]]]:
    members = fleet.members
    if event == 'deaths':
        dead = rng.sample(members, int(_DEATH_SHARE * len(members)))
        return [
            (_DEATH_SECONDS, lambda: [fleet.kill(each) for each in dead]),
            (_RESTART_SECONDS, lambda: [fleet.restart(each) for each in dead]),
        ]
    group = []
    if event == 'region cut':
        group = [each for each in members if each.region == 'r0']
    if event == 'third cut':
        group = rng.sample(members, len(members) // 3)
    if not group:
        return []
    return [
        (_CUT_SECONDS, lambda: fleet.cut_apart(group)),
        (_HEAL_SECONDS, lambda: fleet.cut_apart([])),
    ]


def _judge(
    arrivals: Sequence[Arrival],
    accounts: Sequence[ClientAccount],
    admitted: Mapping[str, Sequence[float]],
    traffic: Traffic,
) -> Result:
    bounds = QuotaBounds()
    by_name = collections.defaultdict(list)
    for arrival in arrivals:
        by_name[arrival.name].append(arrival)
    total = Result(traffic=traffic, admitted=sum(map(len, admitted.values())))
    for number, account in enumerate(accounts):
        moments = sorted(admitted.get(account.name, ()))
        central = count_central(
            by_name[account.name], account, bounds.added_burst
        )
        refused = max(0, central - len(moments))
        overrun = find_overrun(moments, account, bounds)
        limit = account.rate * bounds.window + account.burst
        limit = limit * (1 + bounds.overage) + bounds.slack
        is_hot = number == 0
        total = total.add(
            Result(
                central=0 if is_hot else central,
                refused=0 if is_hot else refused,
                hot_central=central * is_hot,
                hot_refused=refused * is_hot,
                overruns=int(overrun > 0),
                worst=max(0, overrun) / limit,
            )
        )
    return total
