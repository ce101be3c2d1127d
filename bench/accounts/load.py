"""Requests of client accounts that reach the nodes unevenly."""

import itertools
import random
from collections.abc import Sequence

import attrs

from godwitknot.accounts.clientaccount import ClientAccount

# Demand of an account as a share of its rate, and of one that is hot.
DEMAND_SHARE = 0.8
HOT_FACTOR = 7.0
# Accounts whose callers all use the same node.
_SINGLE_NODE_SHARE = 0.2


@attrs.frozen(order=True)
class Arrival:
    """A request of an account at a node.

    :param moment: in seconds after the start.
    :param node: index of the node.
    """

    moment: float
    node: int
    name: str


def make_accounts(
    count: int, total_demand: float, demand_share: float = DEMAND_SHARE
) -> list[ClientAccount]:
    """Return accounts of very different sizes.

    The hundredth account is a tenth as large as the first.

    :param total_demand: requests per second of all accounts.
    :param demand_share: demand of an account as a share of its rate.
    """
    sizes = [1 / (number + 1) ** 0.5 for number in range(count)]
    scale = total_demand / sum(sizes)
    return [
        ClientAccount(
            f'account-{number}',
            frozenset(),
            rate=scale * size / demand_share,
            burst=scale * size / demand_share,
        )
        for number, size in enumerate(sizes)
    ]


def draw_weights(nodes: int, rng: random.Random) -> list[float]:
    """Return how the callers of one account spread over the nodes."""
    order = rng.sample(range(nodes), nodes)
    if rng.random() < _SINGLE_NODE_SHARE:
        return [float(place == 0) for place in order]
    return [1 / (place + 1) for place in order]


def draw_arrivals(
    account: ClientAccount,
    demand: float,
    weights: Sequence[float],
    period: tuple[float, float],
    rng: random.Random,
) -> list[Arrival]:
    """Return independent requests of one account.

    :param demand: requests per second.
    :param weights: of the nodes.
    :param period: start and end in seconds.
    """
    cumulated = list(itertools.accumulate(weights))
    indexes = range(len(weights))
    arrivals: list[Arrival] = []
    moment, end = period
    while True:
        moment += rng.expovariate(demand)
        if moment >= end:
            return arrivals
        node = rng.choices(indexes, cum_weights=cumulated)[0]
        arrivals.append(Arrival(moment, node, account.name))


def make_load(
    accounts: Sequence[ClientAccount],
    nodes: int,
    bounds: Sequence[float],
    rng: random.Random,
    demand_share: float = DEMAND_SHARE,
) -> list[Arrival]:
    """Return the requests of all accounts; the largest one is hot.

    :param bounds: start, moments at which all callers move, and end.
    """
    arrivals: list[Arrival] = []
    for index, account in enumerate(accounts):
        factor = HOT_FACTOR if index == 0 else demand_share
        for period in itertools.pairwise(bounds):
            weights = draw_weights(nodes, rng)
            arrivals += draw_arrivals(
                account, factor * account.rate, weights, period, rng
            )
    return sorted(arrivals)


def count_central(
    arrivals: Sequence[Arrival], account: ClientAccount, added_burst: float
) -> int:
    """Return how many requests one central bucket would admit.

    :param arrivals: of the account, in order.
    """
    capacity = account.burst + added_burst
    level, updated, admitted = capacity, float(0), 0
    for arrival in arrivals:
        gained = account.rate * (arrival.moment - updated)
        level = min(capacity, level + gained)
        updated = arrival.moment
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted
