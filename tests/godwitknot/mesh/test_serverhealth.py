"""Gray servers are ejected soon; sound ones come back soon."""

import pytest

from godwitknot.mesh.serverhealth import ServerHealth

# Of one in a hundred requests whose mean run takes half a second.
LONG_RUN = 1.4


@pytest.fixture
def vitals(clock, log):
    return ServerHealth(clock, log)


def test_single_failure_ejects_nobody(vitals, clock):
    """Sound servers fail about one request in a hundred."""
    vitals.record_failure('status 500', 'z1', clock.now())
    for _ in range(5):
        vitals.record_success(0.3, 1.5, 'z1')
    assert vitals.ejection_seconds_left('z1') == 0


def test_two_failures_in_a_row_eject(vitals, clock):
    vitals.record_failure('status 500', 'z1', clock.now())
    vitals.record_failure('status 500', 'z1', clock.now())
    assert vitals.ejection_seconds_left('z1') > 0


def test_server_that_fails_for_one_domain_serves_the_others(vitals, clock):
    vitals.record_failure('status 500', 'z1', clock.now())
    vitals.record_failure('status 500', 'z1', clock.now())
    vitals.record_success(0.3, 1.5, 'z2')
    assert vitals.ejection_seconds_left('z2') == 0


def test_good_trial_reinstates(vitals, clock):
    vitals.record_failure('hung', 'z1', clock.now())
    vitals.record_failure('hung', 'z1', clock.now())
    clock.advance(vitals.ejection_seconds_left('z1'))
    assert vitals.on_trial('z1')
    vitals.record_success(0.3, 1.5, 'z1')
    assert not vitals.on_trial('z1')
    assert vitals.ejection_seconds_left('z1') == 0


def test_failed_trials_last_longer_each_time(vitals, clock):
    vitals.record_failure('hung', 'z1', clock.now())
    vitals.record_failure('hung', 'z1', clock.now())
    first = vitals.ejection_seconds_left('z1')
    clock.advance(first)
    vitals.record_failure('hung', 'z1', clock.now())
    assert vitals.ejection_seconds_left('z1') > first


def test_old_failures_do_not_add_up(vitals, clock):
    vitals.record_failure('status 500', 'z1', clock.now())
    clock.advance(60)
    vitals.record_failure('status 500', 'z1', clock.now())
    assert vitals.ejection_seconds_left('z1') == 0


def test_end_of_a_run_from_before_the_ejection_extends_nothing(vitals, clock):
    """A hung run met its deadline on trial, and a sound server stayed out."""
    began = clock.now()
    vitals.record_failure('hung', 'z1', began)
    vitals.record_failure('hung', 'z1', began)
    clock.advance(vitals.ejection_seconds_left('z1'))
    vitals.record_failure('deadline passed', 'z1', began)
    assert vitals.on_trial('z1')


def test_answer_to_a_run_older_than_the_failed_ones_reinstates_nobody(
    vitals, clock
):
    """It was begun while the server still answered."""
    clock.advance(1)
    vitals.record_failure('hung', 'z1', clock.now())
    vitals.record_failure('hung', 'z1', clock.now())
    vitals.record_success(1.0, 1.5, 'z1')
    assert vitals.ejection_seconds_left('z1') > 0


def test_long_runs_of_a_new_server_are_not_hung(vitals):
    """Half of a fleet was ejected after a power loss.

    Its runs take half a second, and the limit started at one second.
    """
    assert vitals.hung_threshold_seconds(objective=2.1) > LONG_RUN


def test_runs_are_judged_by_their_own_objective(vitals):
    """A server of short lookups and long downloads learns one measure."""
    for _ in range(40):
        vitals.record_success(0.05, 0.25, 'z1')
    assert vitals.typical_seconds(objective=2.5) == pytest.approx(0.5, rel=0.01)
    assert vitals.hung_threshold_seconds(objective=2.5) > LONG_RUN
