"""A node takes no more than it has memory for."""

import functools

import pytest

from godwitknot.memory.ledger import Ledger, derive_budget


@pytest.mark.parametrize(
    ('memory', 'budget'),
    [
        (0, 0),
        (300000000, 100000000),
        (200000000, 50000000),
        (64000000, 16000000),
    ],
)
def test_budget_leaves_room_for_the_rest_of_the_process(memory, budget):
    """Guards against processes above half of the machine's memory."""
    assert derive_budget(memory) == budget


def test_least_urgent_requests_are_refused_first():
    """Guards against refusing urgent requests while others are accepted."""
    ledger = Ledger(1000)
    admitted = []
    for held in (890, 940, 990, 1001):
        with ledger.nodes.hold(held):
            admitted.append(
                [ledger.admits(0, priority) for priority in (0, 1, 2, 9)]
            )
    assert admitted == [
        [True, True, True, True],
        [True, True, False, False],
        [True, False, False, False],
        [False, False, False, False],
    ]


def test_all_kinds_of_peers_count_together():
    """Guards against a budget that is used once for each kind."""
    ledger = Ledger(1000)
    for account in (ledger.callers, ledger.nodes, ledger.server):
        account.charge(300)
    assert ledger.held == 900
    assert ledger.is_tight
    ledger.server.charge(-300)
    assert not ledger.is_tight


def test_tables_are_charged_but_refuse_nothing_alone():
    """Guards against tables that nobody counts, and that end all service."""
    ledger = Ledger(1000)
    sizes = {'members': 300, 'accounts': 100}
    for name in sizes:
        ledger.add_table(name, functools.partial(sizes.get, name))
    assert ledger.held == 400
    sizes['accounts'] = 5000
    assert not ledger.is_tight
    assert ledger.admits(10**6, 2)
    with ledger.callers.hold(450):
        assert ledger.is_tight
        assert not ledger.admits(0, 2)


def test_node_without_a_limit_refuses_nothing():
    """Guards against refusals where the settings state no memory."""
    ledger = Ledger()
    with ledger.callers.hold(10**12):
        assert ledger.admits(10**12, 9)
        assert not ledger.is_tight


def test_large_request_is_admitted_while_nothing_else_is_held():
    """Guards against a body that is never accepted on a small machine."""
    ledger = Ledger(1000)
    assert ledger.admits(5000, 1)
    with ledger.callers.hold(1):
        assert not ledger.admits(5000, 1)
