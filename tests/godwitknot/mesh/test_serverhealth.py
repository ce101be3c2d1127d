"""Servers with gray failures are ejected soon, recovered ones reinstated."""

import pytest

from godwitknot.mesh.serverhealth import ServerHealth

# Duration in seconds of the slowest 1% of runs whose mean is half a second.
LONG_RUN = 1.4


@pytest.fixture
def health(clock, log):
    return ServerHealth(clock, log)


def test_single_failure_ejects_nobody(health, clock):
    """Guards against ejecting healthy servers, which fail about 1%."""
    health.record_failure('status 500', 'z1', clock.now())
    for _ in range(5):
        health.record_success(0.3, 1.5, 'z1')
    assert health.ejection_seconds_left('z1') == 0


def test_two_failures_in_a_row_eject(health, clock):
    health.record_failure('status 500', 'z1', clock.now())
    health.record_failure('status 500', 'z1', clock.now())
    assert health.ejection_seconds_left('z1') > 0


def test_server_that_fails_for_one_domain_serves_the_others(health, clock):
    health.record_failure('status 500', 'z1', clock.now())
    health.record_failure('status 500', 'z1', clock.now())
    health.record_success(0.3, 1.5, 'z2')
    assert health.ejection_seconds_left('z2') == 0


def test_good_trial_reinstates(health, clock):
    health.record_failure('hung', 'z1', clock.now())
    health.record_failure('hung', 'z1', clock.now())
    clock.advance(health.ejection_seconds_left('z1'))
    assert health.on_trial('z1')
    health.record_success(0.3, 1.5, 'z1')
    assert not health.on_trial('z1')
    assert health.ejection_seconds_left('z1') == 0


def test_failed_trials_last_longer_each_time(health, clock):
    health.record_failure('hung', 'z1', clock.now())
    health.record_failure('hung', 'z1', clock.now())
    first = health.ejection_seconds_left('z1')
    clock.advance(first)
    health.record_failure('hung', 'z1', clock.now())
    assert health.ejection_seconds_left('z1') > first


def test_old_failures_do_not_add_up(health, clock):
    health.record_failure('status 500', 'z1', clock.now())
    clock.advance(60)
    health.record_failure('status 500', 'z1', clock.now())
    assert health.ejection_seconds_left('z1') == 0


def test_end_of_a_run_from_before_the_ejection_extends_nothing(health, clock):
    """Guards against an extended ejection of a server that has recovered.

    A hung run from before the ejection meets its deadline during the trial.
    """
    began = clock.now()
    health.record_failure('hung', 'z1', began)
    health.record_failure('hung', 'z1', began)
    clock.advance(health.ejection_seconds_left('z1'))
    health.record_failure('deadline passed', 'z1', began)
    assert health.on_trial('z1')


def test_answer_to_a_run_older_than_the_failed_ones_reinstates_nobody(
    health, clock
):
    """Guards against reinstating a server that hangs.

    The successful run began while the server still answered.
    """
    clock.advance(1)
    health.record_failure('hung', 'z1', clock.now())
    health.record_failure('hung', 'z1', clock.now())
    health.record_success(1.0, 1.5, 'z1')
    assert health.ejection_seconds_left('z1') > 0


def test_long_runs_of_a_new_server_are_not_hung(health):
    """Guards against ejecting half of a fleet after a power loss.

    With an initial limit of one second, servers whose runs take half a
    second on average looked hung.
    """
    assert health.hung_threshold_seconds(objective=2.1) > LONG_RUN


def test_runs_are_judged_by_their_own_objective(health):
    """Guards against downloads judged by the duration of short lookups."""
    for _ in range(40):
        health.record_success(0.05, 0.25, 'z1')
    assert health.typical_seconds(objective=2.5) == pytest.approx(0.5, rel=0.01)
    assert health.hung_threshold_seconds(objective=2.5) > LONG_RUN
