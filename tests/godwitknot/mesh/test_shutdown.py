"""A stopping process accepts only requests that it can still answer."""

import attrs
import pytest

from godwitknot.mesh.shutdown import Shutdown


@pytest.fixture
def shutdown(clock):
    return Shutdown(clock)


def test_process_that_does_not_stop_takes_everything(shutdown, clock):
    assert shutdown.admits(clock.now() + 1000)
    assert not shutdown.stopping
    assert not shutdown.may_exit(busy=False)


def test_callers_are_served_until_they_are_sent_elsewhere(
    shutdown, clock, bounds
):
    shutdown.begin(bounds)
    clock.advance(2)
    assert shutdown.admits(clock.now() + 1000)
    assert not shutdown.may_exit(busy=False)


def test_late_request_must_end_before_the_exit(shutdown, clock, bounds):
    """Guards against accepted requests that the exit leaves unanswered."""
    shutdown.begin(bounds)
    clock.advance(3)
    assert shutdown.admits(clock.now() + 2)
    assert not shutdown.admits(clock.now() + 2.5)


def test_exiting_process_takes_nothing(shutdown, clock, bounds):
    """Guards against requests accepted between the decision and the exit."""
    shutdown.begin(bounds)
    clock.advance(2.7)
    shutdown.close()
    assert not shutdown.admits(clock.now() + 1)


def test_busy_process_exits_before_it_is_killed(shutdown, clock, bounds):
    shutdown.begin(bounds)
    clock.advance(3)
    assert not shutdown.may_exit(busy=True)
    assert shutdown.may_exit(busy=False)
    clock.advance(2.5)
    assert shutdown.may_exit(busy=True)


@pytest.mark.parametrize('grace', [1, 2, 3, 6, 30])
def test_stop_fits_into_any_grace(shutdown, clock, bounds, grace):
    """Guards against fixed delays longer than a short grace period."""
    shutdown.begin(attrs.evolve(bounds, stop_grace_seconds=grace))
    clock.advance(0.75 * grace)
    assert not shutdown.admits(clock.now() + grace)
    assert shutdown.may_exit(busy=False)
    clock.advance(0.23 * grace)
    assert shutdown.may_exit(busy=True)
