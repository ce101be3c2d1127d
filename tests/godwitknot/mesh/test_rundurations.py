"""Runs are compared with the usual ones of their kind."""

import pytest

from godwitknot.mesh.rundurations import RunDurations

# Duration in seconds of the slowest 1% of runs whose mean is half a second.
LONG_RUN = 1.4


@pytest.fixture
def durations():
    return RunDurations()


def test_long_runs_of_a_new_server_are_not_hung(durations):
    """Guards against ejecting half of a fleet after a power loss.

    With an initial limit of one second, servers whose runs take half a
    second on average looked hung.
    """
    assert durations.hung_threshold_seconds(objective=2.1) > LONG_RUN


def test_runs_are_judged_by_their_own_objective(durations):
    """Guards against downloads judged by the duration of short lookups."""
    for _ in range(40):
        durations.add(0.05, 0.25)
    typical = durations.typical_seconds(objective=2.5)
    assert typical == pytest.approx(0.5, rel=0.01)
    assert durations.hung_threshold_seconds(objective=2.5) > LONG_RUN


def test_tight_objectives_are_measured_apart(durations):
    """Guards against suspicion of servers with runs that miss objectives."""
    for _ in range(60):
        durations.add(1.0, 4.0)
        durations.add(1.2, 1.0)
    assert durations.typical_seconds(1.0) == pytest.approx(1.2, rel=0.05)
    assert durations.typical_seconds(4.0) == pytest.approx(1.0, rel=0.05)


def test_many_objectives_take_bounded_memory(durations):
    for number in range(1, 500):
        durations.add(0.1, number)
    assert durations.typical_seconds(499) > 0
