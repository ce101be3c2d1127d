import math

import pytest

from godwitknot.clock import ManualClock
from godwitknot.control.messages import ServerSummary, Summary
from godwitknot.health.siblings import SiblingStatistics, exchange_seconds


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
def known(clock):
    return SiblingStatistics('own', clock)


def baseline(known):
    return known.baseline('booking', 's', 'lookup')


def test_own_window_travels_to_a_sibling(clock, known):
    for seconds in (0.04, 0.05, 0.06, 0.05):
        known.record('booking', 's', 'lookup', seconds, failed=False)
    known.record('booking', 's', 'lookup', 0.001, failed=True)
    sent = known.compose('booking').servers[0]
    figures = [sent.count, sent.median, sent.error_share]
    assert figures == pytest.approx([5, 0.05, 0.2])
    clock.advance(11)
    assert known.compose('booking') == Summary(())


def test_a_liar_cannot_move_the_baseline(known):
    """Guards against a server that reports itself as very fast or slow."""
    honest = [summary(f'n{number}') for number in range(4)]
    for lie in (0.0001, 1000):
        known.merge(Summary((*honest, summary('liar', lie, error_share=1))))
        assert baseline(known).median == pytest.approx(0.05)
        assert baseline(known).error_share == 0


def test_a_low_lie_among_two_siblings_is_void(known):
    """Guards against ejecting a healthy server of a service of three."""
    known.merge(Summary((summary('honest'), summary('liar', 0.0001))))
    assert baseline(known).median == pytest.approx(0.05)


def test_stale_summaries_are_ignored(clock, known):
    """Guards against judging by figures from before an overload."""
    known.merge(Summary((summary('a'), summary('b'), summary('c', age=16))))
    assert baseline(known).siblings == 2
    clock.advance(16)
    assert baseline(known) is None


def test_a_relayed_older_summary_does_not_replace(known):
    known.merge(Summary((summary('a', 0.05), summary('b'))))
    known.merge(Summary((summary('a', 9, age=3),)))
    assert baseline(known).median == pytest.approx(0.05)


@pytest.mark.parametrize(
    'changes',
    [{'age': -1}, {'median': math.nan}, {'error_share': 2}, {'count': 1}],
)
def test_unusable_summaries_are_ignored(known, changes):
    known.merge(Summary((summary('a'), summary('b', **changes))))
    assert baseline(known) is None


def test_nobody_else_speaks_for_the_own_servers(known):
    known.merge(Summary((summary('own'), summary('a'), summary('own'))))
    assert baseline(known) is None


def test_messages_stay_small_and_begin_with_own_servers(known):
    """Guards against datagrams above the limit in a large service."""
    many = tuple(summary(f'n{number}') for number in range(20))
    known.merge(Summary(many))
    known.record('booking', 's', 'lookup', 0.05, failed=False)
    sent = known.compose('booking').servers
    assert len(sent) == 8
    assert sent[0].node_id == 'own'


def test_nodes_with_many_servers_exchange_less_often():
    assert exchange_seconds(1) == pytest.approx(2)
    assert exchange_seconds(16) == pytest.approx(8)
