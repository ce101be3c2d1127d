"""A third of the servers is gray at any time, and callers are served.

The pattern of the search fleets: servers take turns at failing three in four
requests for some seconds, at once or by hanging, while their health checks
pass. Requests make calls to other services, and orders must not be repeated.
The request paths are real; servers, links and time are simulated.
"""

import functools

import pytest

from bench.gray.fleet import GrayFleet, Rule
from bench.gray.patterns import (
    PATTERNS,
    make_market_workload,
    make_search_workload,
)
from bench.gray.rules import (
    ConsecutiveErrorsHealth,
    RoundRobinSelector,
    TwoFailuresHealth,
    UnwatchedHealth,
)
from bench.gray.virtualtime import run_virtually

NODES = 24
SECONDS = 20
CALM, FAILING, HANGING = range(len(PATTERNS))
SEEDS = (1, 2)
ESTIMATE = Rule('estimate')
# Shares of the requests to be served. Without any fault, 1.2% fail by
# themselves, and an order also with each of its two calls.
MOST, MANY, HALF = 0.96, 0.92, 0.7
# Longest median and 90th percentile of the time until an ejection.
MEDIAN_SECONDS, SLOW_SECONDS = 0.5, 2


@functools.cache
def play(make_workload, load, pattern, rule=ESTIMATE, nodes=NODES):
    """Play a pattern with both seeds and return the results."""

    async def play_one(seed):
        fleet = GrayFleet(
            nodes,
            make_workload(nodes, load),
            PATTERNS[pattern].plan,
            rule,
            seed,
        )
        return await fleet.play(SECONDS)

    return [run_virtually(play_one(seed)) for seed in SEEDS]


def share(results, name, *fields):
    """Return the share of the requests of a class with some results."""
    tallies = [result.tallies[name] for result in results]
    counted = sum(
        getattr(tally, field) for tally in tallies for field in fields
    )
    return counted / sum(tally.requests for tally in tallies)


def served(results, name):
    return share(results, name, 'in_time', 'late')


def test_calm_fleet_serves_all_but_failing_requests():
    """Requests fail by themselves in 1.2% of the cases, orders with calls too."""
    results = play(make_search_workload, 0.7, CALM)
    assert served(results, 'order') > MOST
    assert served(results, 'lookup') > MOST
    assert served(results, 'view') > MOST


def test_orders_are_served_while_servers_fail_at_once():
    """Guards against failing servers that draw work because they look idle.

    With ejection after two failures of five and one success to come back, and
    repeats used as trials, a fifth of the orders was lost.
    """
    results = play(make_search_workload, 0.7, FAILING)
    assert served(results, 'order') > MANY
    assert served(results, 'lookup') > MOST
    assert served(results, 'view') > MOST


def test_calls_come_first_while_servers_are_scarce():
    """Guards against calls that are refused beside long views.

    One that is refused costs the order that made it.
    """
    results = play(make_search_workload, 1, FAILING)
    assert served(results, 'index') > MANY
    assert served(results, 'order') > HALF


def test_hanging_servers_cost_few_reservations():
    results = play(make_market_workload, 0.7, HANGING)
    assert served(results, 'reserve') > MANY
    assert served(results, 'browse') > MOST


def test_healthy_servers_stay_in_service():
    """Guards against ejections for requests that fail by themselves."""
    for pattern, limit in ((CALM, 0.005), (FAILING, 0.06), (HANGING, 0.06)):
        for result in play(make_search_workload, 0.7, pattern):
            assert result.false_seconds < limit * result.healthy_seconds


def test_failing_servers_are_found_within_a_second():
    detections = sorted(
        seconds
        for result in play(make_search_workload, 0.7, FAILING)
        for seconds in result.detections
    )
    assert detections[len(detections) // 2] < MEDIAN_SECONDS
    assert detections[int(0.9 * len(detections))] < SLOW_SECONDS


def test_other_regions_get_few_offers():
    """Guards against offers to another region that is as full as the own."""
    for pattern in (CALM, FAILING, HANGING):
        for result in play(make_search_workload, 1, pattern):
            requests = sum(tally.requests for tally in result.tallies.values())
            assert result.remote_offers < requests


@pytest.mark.parametrize(
    'rule',
    [
        Rule('two failures', TwoFailuresHealth),
        Rule('consecutive errors', ConsecutiveErrorsHealth),
        Rule('round robin', UnwatchedHealth, RoundRobinSelector),
    ],
    ids=lambda rule: rule.name,
)
def test_estimate_loses_no_more_orders_than_other_rules(rule):
    for make_workload, name in (
        (make_search_workload, 'order'),
        (make_market_workload, 'reserve'),
    ):
        estimate = play(make_workload, 0.7, FAILING)
        other = play(make_workload, 0.7, FAILING, rule)
        assert served(estimate, name) >= served(other, name)
