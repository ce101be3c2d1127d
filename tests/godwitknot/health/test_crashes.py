import pytest

from godwitknot.clock import ManualClock
from godwitknot.control.messages import Clearance, CrashReport
from godwitknot.health import crashes

DEADLY = 7
POPULAR = 8


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def tracker(clock):
    return crashes.CrashTracker(clock)


def crash(node, *fingerprints):
    return CrashReport('booking', node, 's', 1, fingerprints)


def test_second_server_blocks_for_ten_minutes(clock, tracker):
    """Guards against a request that crashes one server after another."""
    tracker.record_crash(crash('a', DEADLY))
    tracker.record_crash(crash('a', DEADLY))
    assert not tracker.is_blocked('booking', DEADLY)
    tracker.record_crash(crash('b', DEADLY))
    assert tracker.is_blocked('booking', DEADLY)
    assert not tracker.is_blocked('documents', DEADLY)
    clock.advance(599)
    assert tracker.list_blocked() == (('booking', DEADLY),)
    clock.advance(1)
    assert not tracker.is_blocked('booking', DEADLY)


def test_success_between_crashes_clears(tracker):
    """Guards against blocking a request that succeeded between two crashes."""
    tracker.record_crash(crash('a', POPULAR))
    assert tracker.record_success('booking', POPULAR)
    tracker.record_crash(crash('b', POPULAR))
    assert not tracker.is_blocked('booking', POPULAR)


def test_popular_request_in_flight_at_both_crashes_is_not_refused(tracker):
    """Guards against refusing ordinary requests when a rack fails.

    A frequent request is in flight on every server that goes down, but it
    also succeeds elsewhere.
    """
    tracker.record_success('booking', POPULAR)
    clearances = tracker.record_crash(crash('a', POPULAR, DEADLY))
    assert clearances == (Clearance('booking', POPULAR),)
    tracker.record_crash(crash('b', POPULAR, DEADLY))
    assert tracker.list_blocked() == (('booking', DEADLY),)


def test_late_success_lifts_the_block(tracker):
    """Guards against blocking a request that succeeds after the crashes."""
    for node in ('a', 'b'):
        tracker.record_crash(crash(node, POPULAR))
    assert tracker.is_blocked('booking', POPULAR)
    assert tracker.record_success('booking', POPULAR)
    assert not tracker.is_blocked('booking', POPULAR)


def test_memory_is_bounded(tracker):
    """Guards against unbounded memory use with many distinct requests."""
    for number in range(crashes._MAX_SUSPECTS + 100):
        tracker.record_crash(crash('a', number))
        tracker.record_success('other', number)
    for number in range(crashes._MAX_SUCCESSES):
        tracker.record_success('other', number)
    assert len(tracker._suspects) == crashes._MAX_SUSPECTS
    assert len(tracker._successes) == crashes._MAX_SUCCESSES


def test_fingerprint_depends_on_each_part():
    """Guards against different requests that get the same fingerprint."""
    parts = [
        ('s', 'GET', '/a', b''),
        ('s', 'GET', '/', b'a'),
        ('s', 'GET/', 'a', b''),
        ('t', 'GET', '/a', b''),
    ]
    prints = {crashes.compute_fingerprint(*each) for each in parts}
    assert len(prints) == len(parts)
