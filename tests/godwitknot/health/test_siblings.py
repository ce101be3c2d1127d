import math

import pytest

from godwitknot.clock import ManualClock
from godwitknot.control.messages import ServerSummary, Summary
from godwitknot.health.siblings import (
    SiblingStatistics,
    compute_exchange_interval,
)


def summary(node, median=0.05, **changes):
    fields = {
        'service': 'booking',
        'node_id': node,
        'server': 's',
        'work_class': 'lookup',
        'count': 20,
        'median': median,
        'spread': 0.01,
        'error_share': 0,
        'age': 0,
    }
    return ServerSummary(**{**fields, **changes})


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def statistics(clock):
    return SiblingStatistics('own', clock)


def baseline(statistics):
    return statistics.baseline('booking', 's', 'lookup')


def test_own_window_travels_to_a_sibling(clock, statistics):
    """Guards against summaries of failures or of expired requests."""
    for seconds in (0.04, 0.05, 0.06, 0.05):
        statistics.record('booking', 's', 'lookup', seconds, failed=False)
    statistics.record('booking', 's', 'lookup', 0.001, failed=True)
    sent = statistics.compose('booking').servers[0]
    figures = [sent.count, sent.median, sent.error_share]
    assert figures == pytest.approx([5, 0.05, 0.2])
    clock.advance(11)
    assert statistics.compose('booking') == Summary(())


def test_a_liar_cannot_move_the_baseline(statistics):
    """Guards against false summaries that would shift the baseline."""
    honest = [summary(f'n{number}') for number in range(4)]
    for lie in (0.0001, 1000):
        statistics.merge(
            Summary((*honest, summary('liar', lie, error_share=1)))
        )
        assert baseline(statistics).median == pytest.approx(0.05)
        assert baseline(statistics).error_share == 0


def test_a_low_lie_among_two_siblings_is_void(statistics):
    """Guards against ejecting a healthy server in a service of three.

    One of its two siblings reports falsely low times.
    """
    statistics.merge(Summary((summary('honest'), summary('liar', 0.0001))))
    assert baseline(statistics).median == pytest.approx(0.05)


def test_stale_summaries_are_ignored(clock, statistics):
    """Guards against a baseline that predates a current overload."""
    statistics.merge(
        Summary((summary('a'), summary('b'), summary('c', age=16)))
    )
    assert baseline(statistics).siblings == 2
    clock.advance(16)
    assert baseline(statistics) is None


def test_a_relayed_older_summary_does_not_replace(statistics):
    """Guards against relayed old figures that replace newer ones."""
    statistics.merge(Summary((summary('a', 0.05), summary('b'))))
    statistics.merge(Summary((summary('a', 9, age=3),)))
    assert baseline(statistics).median == pytest.approx(0.05)


@pytest.mark.parametrize(
    'changes',
    [{'age': -1}, {'median': math.nan}, {'error_share': 2}, {'count': 1}],
)
def test_unusable_summaries_are_ignored(statistics, changes):
    """Guards against a baseline from invalid or too few figures."""
    statistics.merge(Summary((summary('a'), summary('b', **changes))))
    assert baseline(statistics) is None


def test_nobody_else_speaks_for_the_own_servers(statistics):
    """Guards against summaries of local servers from other nodes."""
    statistics.merge(Summary((summary('own'), summary('a'), summary('own'))))
    assert baseline(statistics) is None


def test_messages_stay_small_and_begin_with_own_servers(statistics):
    """Guards against datagrams above the limit in a large service."""
    many = tuple(summary(f'n{number}') for number in range(20))
    statistics.merge(Summary(many))
    statistics.record('booking', 's', 'lookup', 0.05, failed=False)
    sent = statistics.compose('booking').servers
    assert len(sent) == 8
    assert sent[0].node_id == 'own'


def test_nodes_with_many_servers_exchange_less_often():
    """Guards against exceeding the limit of control traffic per node."""
    assert compute_exchange_interval(1) == pytest.approx(2)
    assert compute_exchange_interval(16) == pytest.approx(8)
