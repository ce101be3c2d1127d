"""Another region is asked ahead of need only while it pays.

Load pattern: a wave of 17 s that moves from one region to the other.
"""

import math

import pytest

from godwitknot.clock import ManualClock
from godwitknot.overload.regionoverflow import RegionOverflow
from godwitknot.overload.bytebound import ByteBound

STEP_SECONDS = 0.25
# Time until reports count for next to nothing.
FORGOTTEN_SECONDS = 30
# Load of the other region at its start, and at which it is to take no more.
STARTED, STOPPED = 0.3, 0.7
# Part of the time in which one region is full and the other has room.
LEAST_SHARE, LARGEST_SHARE = 0.2, 0.6


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def play(clock):
    """Report the loads of both regions for some seconds."""
    overflow = RegionOverflow(clock, 'own')

    def report(find_own, find_other, seconds=6):
        regions = []
        for step in range(int(seconds / STEP_SECONDS)):
            clock.advance(STEP_SECONDS)
            at = step * STEP_SECONDS
            overflow.record_load('seat', 'own', find_own(at))
            overflow.record_load('seat', 'other', find_other(at))
            regions.append(
                overflow.find_region_with_room('seat', {'own', 'other'})
            )
        return regions

    report.overflow = overflow
    return report


def test_region_with_room_keeps_its_requests(play):
    """Guards against bytes between regions while a local slot is free."""
    assert not any(play(lambda at: 0.9, lambda at: 0))


def test_full_region_asks_one_with_room(play):
    assert play(lambda at: 1.3, lambda at: 0.4)[-1] == 'other'


def test_full_regions_send_each_other_nothing(play):
    """Guards against offers that cross both ways while all are full."""
    assert not any(play(lambda at: 1.3, lambda at: 1.2)[4:])


def test_rising_wave_stops_requests_before_its_peak(play):
    """Guards against a wave that finds its region full of other requests."""

    def rise(at):
        return 0.3 + 0.1 * at

    regions = play(lambda at: 1.3, rise, seconds=8)
    last = max(index for index, each in enumerate(regions) if each)
    assert STARTED < rise(last * STEP_SECONDS) < STOPPED


def test_wave_is_lent_to_in_turn(play):
    def wave(phase):
        return lambda at: 0.8 + 0.5 * math.cos(2 * math.pi * at / 17 - phase)

    regions = play(wave(0), wave(math.pi), seconds=34)
    share = regions.count('other') / len(regions)
    assert LEAST_SHARE < share < LARGEST_SHARE


def test_old_reports_are_forgotten(play, clock):
    """Guards against overflow because of a wave that has passed."""
    play(lambda at: 1.4, lambda at: 0)
    clock.advance(FORGOTTEN_SECONDS)
    assert play.overflow.find_region_with_room('seat', {'own', 'other'}) is None


def test_bytes_between_regions_stay_below_the_share_of_a_node(clock):
    """Guards against a burst of clustered arrivals that fills the link."""
    bound = ByteBound(clock, link_bytes=1_000_000)
    bound.record_response('seat', 4000)
    crossed = 0
    for _ in range(1000):
        clock.advance(0.01)
        crossed += 5000 * bound.try_spend('seat', 1000, nodes=10)
    # A quarter of the link, a tenth of that for each node, and a burst of 2 s.
    assert 200_000 < crossed <= 12 * 25_000


def test_large_bodies_and_responses_stay_in_the_region(clock):
    bound = ByteBound(clock, link_bytes=1_000_000)
    assert not bound.try_spend('seat', 100_000, nodes=10)
    bound.record_response('map', 100_000)
    bound.record_response('map', 10)
    assert not bound.try_spend('map', 0, nodes=10)
    assert bound.try_spend('seat', 1000, nodes=10)


def test_region_with_hanging_servers_asks_no_other(play, clock):
    """Guards against offers that cross because hung runs fill the slots."""
    play(lambda at: 1.3, lambda at: 0.4)
    play.overflow.record_load('seat', 'own', 1.3, 0.9)
    assert play.overflow.find_region_with_room('seat', {'own', 'other'}) is None
    assert play(lambda at: 1.3, lambda at: 0.4)[-1] == 'other'
