import pytest

from godwitknot.clock import ManualClock
from godwitknot.servers.servicetime import ServiceTimer


def test_the_pace_of_the_reader_is_left_out():
    """Guards against ejecting a server because its callers read slowly."""
    clock = ManualClock()
    timer = ServiceTimer(clock)
    for _ in range(3):
        with timer.waiting():
            clock.advance(0.02)
        clock.advance(10)
    assert timer.seconds == pytest.approx(0.06)
