"""Operators see for each class of work who waits and who is refused."""

import pytest

from godwitknot.clock import ManualClock
from godwitknot.overload.workcounts import WorkCounts


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def counts(clock):
    return WorkCounts('a-1', 'a', clock)


def test_waits_are_those_of_requests_without_a_slot(counts, clock):
    """Guards against a full service that looks idle, and the reverse."""
    waiting = {'first': True, 'second': True}
    counts.begin('seat', 'book', lambda: waiting['first'])
    clock.advance(2)
    counts.begin('seat', 'book', lambda: waiting['second'])
    assert counts.count_waiting() == {('seat', 'book'): 2}
    assert counts.find_longest_waits() == {('seat', 'book'): pytest.approx(2)}
    waiting['first'] = False
    assert counts.count_waiting() == {('seat', 'book'): 1}
    assert counts.find_longest_waits() == {('seat', 'book'): 0}


def test_ended_request_no_longer_waits(counts):
    active = counts.begin('seat', 'book', lambda: True)
    counts.end(active, 'queue-full')
    assert counts.count_waiting() == {('seat', 'book'): 0}
    assert counts.read_results() == {('seat', 'book', 'queue-full'): 1}


def test_request_whose_caller_has_left_has_no_result(counts):
    """Guards against callers that leave and count as failures."""
    counts.end(counts.begin('seat', 'book', lambda: True), '')
    assert not counts.read_results()


@pytest.mark.parametrize(
    ('zone', 'region', 'place'),
    [
        ('a-1', 'a', 'own-domain'),
        ('a-2', 'a', 'own-region'),
        ('b-1', 'b', 'other-region'),
    ],
)
def test_answers_count_by_place(counts, zone, region, place):
    active = counts.begin('seat', 'book', lambda: True)
    counts.count_answer(active, zone, region)
    assert counts.read_places() == {('seat', 'book', place): 1}


def test_many_classes_take_bounded_memory(counts):
    """Guards against a configuration with thousands of routes."""
    for number in range(500):
        active = counts.begin('seat', f'route-{number}', lambda: True)
        counts.end(active, 'good')
    assert len(counts.read_results()) <= 201
    assert counts.read_results()['(other)', '(other)', 'good'] == 300
