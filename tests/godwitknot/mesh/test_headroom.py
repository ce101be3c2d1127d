"""Long runs leave slots to short urgent ones."""

import pytest
from test_admissioncontrol import make_offer

from godwitknot.mesh.headroom import Headroom

URGENT, ROUTINE = 1, 2
# Durations of runs in seconds, by priority.
DURATIONS = {URGENT: 0.2, ROUTINE: 2.0}
SLOTS = 7


@pytest.fixture
def headroom(clock):
    return Headroom(clock, lambda offer: DURATIONS[offer.priority])


def record_calls(headroom, clock, rate, seconds=2):
    for _ in range(int(rate * seconds)):
        clock.advance(1 / rate)
        headroom.record_run(URGENT, DURATIONS[URGENT])


def test_nothing_is_kept_free_without_demand(headroom):
    assert headroom.count_slots(make_offer(priority=ROUTINE), SLOTS) == 0


def test_slots_are_kept_free_for_the_demand(headroom, clock):
    """Guards against calls that wait until a certificate view ends.

    Seven calls of 0.2 s a second need 1.4 slots on the mean.
    """
    record_calls(headroom, clock, 7)
    assert headroom.count_slots(make_offer(priority=ROUTINE), SLOTS) == 2
    assert headroom.count_slots(make_offer(priority=URGENT), SLOTS) == 0


def test_runs_that_fail_at_once_take_no_slot(headroom, clock):
    """Guards against a third of a small server that stays idle.

    Pattern of the market fleets: servers of three slots, on which urgent
    requests fail within milliseconds.
    """
    for _ in range(20):
        clock.advance(0.1)
        headroom.record_run(URGENT, 0.002)
    assert headroom.count_slots(make_offer(priority=ROUTINE), 3) == 0


def test_long_runs_keep_most_slots(headroom, clock):
    record_calls(headroom, clock, 100)
    assert headroom.count_slots(make_offer(priority=ROUTINE), SLOTS) == 2
    assert headroom.count_slots(make_offer(priority=ROUTINE), 2) == 0


def test_runs_of_similar_length_need_no_headroom(headroom, clock, monkeypatch):
    """Guards against lookups that leave slots to bookings of the same length."""
    monkeypatch.setitem(DURATIONS, ROUTINE, 0.3)
    record_calls(headroom, clock, 7)
    assert headroom.count_slots(make_offer(priority=ROUTINE), SLOTS) == 0


def test_demand_is_forgotten(headroom, clock):
    record_calls(headroom, clock, 7)
    clock.advance(3)
    assert headroom.count_slots(make_offer(priority=ROUTINE), SLOTS) == 0
