"""Refused callers return spread over the time in which there is capacity."""

import pytest

from godwitknot.clock import ManualClock
from godwitknot.overload.returnschedule import ReturnSchedule

WAIT, LEFT = 0.2, 12


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def schedule(clock):
    schedule = ReturnSchedule(clock)
    for _ in range(50):
        clock.advance(0.1)
        schedule.record_served('seat')
    return schedule


def reserve(schedule, fingerprint, left=LEFT):
    return schedule.reserve('seat', fingerprint, WAIT, left)


def test_callers_of_a_burst_return_at_the_rate_of_free_slots(schedule):
    """Guards against a burst that returns together and is refused again."""
    places = [reserve(schedule, number) for number in range(30)]
    gaps = [
        later - earlier
        for earlier, later in zip(places, places[1:], strict=False)
    ]
    assert places[0] == pytest.approx(WAIT)
    assert gaps == pytest.approx([0.1 for _ in gaps], abs=0.01)


def test_place_is_used_once_and_not_before_its_time(schedule, clock):
    """Guards against an advantage of callers that retry at once."""
    seconds = reserve(schedule, 1)
    assert not schedule.redeem('seat', 1)
    assert schedule.is_early('seat', 1)
    assert reserve(schedule, 1) == pytest.approx(seconds)
    clock.advance(seconds)
    assert not schedule.is_early('seat', 1)
    assert schedule.redeem('seat', 1)
    assert not schedule.redeem('seat', 1)


def test_early_returns_take_no_places_of_others(schedule):
    first = reserve(schedule, 1)
    for _ in range(20):
        reserve(schedule, 1)
    assert reserve(schedule, 2) == pytest.approx(first + 0.1, abs=0.01)


def test_caller_that_cannot_wait_takes_no_place(schedule, clock):
    """Guards against places that are kept for callers that never return."""
    for number in range(50):
        reserve(schedule, number, left=2)
    patient = reserve(schedule, 99)
    assert patient < 2 / 3 + 0.2


def test_place_is_forgotten_some_seconds_after_its_time(schedule, clock):
    clock.advance(reserve(schedule, 1) + 6)
    assert not schedule.redeem('seat', 1)


def test_many_refusals_take_bounded_memory(schedule):
    for number in range(5000):
        schedule.reserve(f'service-{number % 100}', number, WAIT, 1e6)
        schedule.reserve('seat', number, WAIT, 1e6)
    assert len(schedule._services) <= 64
    assert len(schedule._find('seat').places) <= 512


def test_other_caller_with_the_same_request_is_new(schedule):
    """Guards against popular requests that wait for no slot.

    After one refusal, the same request of every other caller counted as an
    early return.
    """
    reserve(schedule, ('10.0.0.1', 7))
    assert schedule.is_early('seat', ('10.0.0.1', 7))
    assert not schedule.is_early('seat', ('10.0.0.2', 7))
