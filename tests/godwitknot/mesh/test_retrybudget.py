"""Repeats over all servers together stay within the fleet's bound."""

import pytest

from godwitknot.mesh.retrybudget import RetryBudget

SERVERS = 23


def spend_all(budget):
    spent = 0
    while budget.try_spend(SERVERS):
        spent += 1
    return spent


@pytest.fixture
def budget(bounds, clock):
    budget = RetryBudget(bounds, clock)
    clock.advance(bounds.retry_window_seconds)
    return budget


def test_servers_without_requests_keep_the_slack_together(bounds, clock):
    budgets = [RetryBudget(bounds, clock) for _ in range(SERVERS)]
    clock.advance(bounds.retry_window_seconds)
    spent = sum(spend_all(budget) for budget in budgets)
    assert 0 < spent <= bounds.retry_slack


def test_restarted_nodes_do_not_spend_the_slack_again(bounds, clock):
    """Guards against slack spent twice in a window by nodes that restart."""
    assert spend_all(RetryBudget(bounds, clock)) == 0


def test_repeats_keep_the_ratio_in_each_window(budget, bounds, clock):
    spent = 0
    for _ in range(100):
        budget.record_first_attempt(0)
        spent += spend_all(budget)
        clock.advance(0.1)
    allowed = bounds.retry_ratio * 100 + bounds.retry_slack / SERVERS
    assert 0 < spent <= allowed


def test_spent_budget_returns_after_the_window(budget, bounds, clock):
    spend_all(budget)
    assert not budget.try_spend(SERVERS)
    clock.advance(1.2 * bounds.retry_window_seconds)
    assert budget.try_spend(SERVERS)


def test_calls_of_repeated_runs_are_charged(budget):
    before = RetryBudget(budget._bounds, budget._clock)
    for _ in range(10):
        budget.record_first_attempt(1)
    for _ in range(10):
        before.record_first_attempt(0)
    assert not budget.try_spend(SERVERS)


def test_call_of_a_repeated_run_allows_no_further_repeats(budget, bounds):
    """Guards against counting such a call as a first attempt.

    It is a repeat itself, so the ratio does not apply to it.
    """
    for _ in range(400):
        budget.record_first_attempt(0.45)
    for _ in range(700):
        budget.record_first_attempt(0)
    # 180 repeats use up the budget that 920 first attempts give.
    assert not budget.try_spend(SERVERS)
