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
def ledger(clock):
    return crashes.CrashTracker(clock)


def crash(node, *fingerprints):
    return CrashReport('booking', node, 's', 1, fingerprints)


def test_second_server_blocks_for_ten_minutes(clock, ledger):
    """Guards against a request that crashes one server after the other."""
    ledger.record_crash(crash('a', DEADLY))
    ledger.record_crash(crash('a', DEADLY))
    assert not ledger.is_blocked('booking', DEADLY)
    ledger.record_crash(crash('b', DEADLY))
    assert ledger.is_blocked('booking', DEADLY)
    assert not ledger.is_blocked('documents', DEADLY)
    clock.advance(599)
    assert ledger.list_blocked() == (('booking', DEADLY),)
    clock.advance(1)
    assert not ledger.is_blocked('booking', DEADLY)


def test_success_between_crashes_clears(ledger):
    ledger.record_crash(crash('a', POPULAR))
    assert ledger.record_success('booking', POPULAR)
    ledger.record_crash(crash('b', POPULAR))
    assert not ledger.is_blocked('booking', POPULAR)


def test_popular_request_in_flight_at_both_crashes_is_not_refused(ledger):
    """Guards against refusing ordinary requests when a rack fails."""
    ledger.record_success('booking', POPULAR)
    spread = ledger.record_crash(crash('a', POPULAR, DEADLY))
    assert spread == (Clearance('booking', POPULAR),)
    ledger.record_crash(crash('b', POPULAR, DEADLY))
    assert ledger.list_blocked() == (('booking', DEADLY),)


def test_late_success_lifts_the_block(ledger):
    for node in ('a', 'b'):
        ledger.record_crash(crash(node, POPULAR))
    assert ledger.is_blocked('booking', POPULAR)
    assert ledger.record_success('booking', POPULAR)
    assert not ledger.is_blocked('booking', POPULAR)


def test_memory_is_bounded(ledger):
    """Guards against a caller that fills the memory of every node."""
    for number in range(crashes._SUSPECTS_KEPT + 100):
        ledger.record_crash(crash('a', number))
        ledger.record_success('other', number)
    for number in range(crashes._SUCCESSES_KEPT):
        ledger.record_success('other', number)
    assert len(ledger._suspects) == crashes._SUSPECTS_KEPT
    assert len(ledger._successes) == crashes._SUCCESSES_KEPT


def test_fingerprint_depends_on_each_part():
    """Guards against two requests that share a fingerprint."""
    parts = [
        ('s', 'GET', '/a', b''),
        ('s', 'GET', '/', b'a'),
        ('s', 'GET/', 'a', b''),
        ('t', 'GET', '/a', b''),
    ]
    prints = {crashes.compute_fingerprint(*each) for each in parts}
    assert len(prints) == len(parts)
