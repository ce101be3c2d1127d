"""The repeats of all nodes together keep the fleet's bound."""

from godwitknot.mesh.budget import RepeatBudget

NODES = 34


def spend_all(budget, service='booking'):
    spent = 0
    while budget.try_spend(service, NODES):
        spent += 1
    return spent


def test_nodes_without_requests_keep_the_slack_together(bounds, clock):
    spent = sum(
        spend_all(RepeatBudget(bounds, clock)) for _ in range(NODES)
    )
    assert spent <= bounds.retry_slack


def test_repeats_keep_the_ratio_in_each_window(bounds, clock):
    budget = RepeatBudget(bounds, clock)
    spent = 0
    for _ in range(100):
        budget.note_request('booking')
        spent += spend_all(budget)
        clock.advance(0.1)
    allowed = bounds.retry_ratio * 100 + bounds.retry_slack / NODES
    assert 0 < spent <= allowed


def test_spent_budget_returns_after_the_window(bounds, clock):
    budget = RepeatBudget(bounds, clock)
    spend_all(budget)
    assert not budget.try_spend('booking', NODES)
    clock.advance(bounds.retry_window_seconds + 1)
    assert budget.try_spend('booking', NODES)


def test_services_have_budgets_of_their_own(bounds, clock):
    budget = RepeatBudget(bounds, clock)
    spend_all(budget)
    assert budget.try_spend('documents', NODES)
