"""Servers with gray failures are ejected soon, recovered ones reinstated."""

import pytest

from godwitknot.mesh.faultbelief import Evidence
from godwitknot.mesh.serverhealth import ServerHealth

OBJECTIVE = 1.5
RUN_SECONDS = 0.3


@pytest.fixture
def health(clock, log):
    return ServerHealth(clock, log)


def serve(health, clock, count, zone='z1'):
    """Let runs succeed, one after the other."""
    for _ in range(count):
        health.record_survival(zone, clock.now() + 0.01)
        clock.advance(RUN_SECONDS)
        health.record_success(RUN_SECONDS, OBJECTIVE, zone)


def fail(health, clock, count=1, zone='z1', evidence=Evidence.EARLY_FAILURE):
    for _ in range(count):
        health.record_failure('status 500', zone, clock.now(), evidence)


def test_failure_after_work_ejects_nobody(health, clock):
    """Guards against ejecting healthy servers, which fail about 1%."""
    serve(health, clock, 5)
    fail(health, clock, evidence=Evidence.LATE_FAILURE)
    assert health.ejection_seconds_left('z1') == 0
    serve(health, clock, 5)
    fail(health, clock, evidence=Evidence.LATE_FAILURE)
    assert health.ejection_seconds_left('z1') == 0


def test_one_failure_at_once_ejects(health, clock):
    """Guards against a second order that is lost at a failing server."""
    serve(health, clock, 5)
    fail(health, clock)
    assert health.ejection_seconds_left('z1') > 0


def test_spoiled_answers_now_and_then_eject_nobody(health, clock):
    """Guards against ejecting servers that lose 3% of their answers."""
    for _ in range(5):
        serve(health, clock, 30)
        fail(health, clock, evidence=Evidence.BROKEN_ANSWER)
        assert health.ejection_seconds_left('z1') == 0
    fail(health, clock, evidence=Evidence.BROKEN_ANSWER)
    assert health.ejection_seconds_left('z1') > 0


def test_two_hung_runs_eject(health, clock):
    serve(health, clock, 5)
    fail(health, clock, evidence=Evidence.HANG)
    assert health.ejection_seconds_left('z1') == 0
    fail(health, clock, evidence=Evidence.HANG)
    assert health.ejection_seconds_left('z1') > 0


def test_server_that_fails_for_one_domain_serves_the_others(health, clock):
    for _ in range(6):
        fail(health, clock)
        serve(health, clock, 4, 'z2')
    fail(health, clock)
    assert health.is_ejected('z1')
    assert not health.is_ejected('z2')


def test_failure_towards_one_domain_warns_the_others(health, clock):
    """Most faults affect all callers."""
    fail(health, clock)
    assert health.is_ejected('z2')


def test_one_success_reinstates_nobody(health, clock):
    """Guards against servers that come back while they fail three in four."""
    fail(health, clock, 2)
    clock.advance(health.ejection_seconds_left('z1'))
    assert health.on_trial('z1')
    serve(health, clock, 1)
    assert health.is_ejected('z1')
    serve(health, clock, 4)
    assert not health.is_ejected('z1')
    assert not health.is_unsafe('z1', last_resort=False)


def test_runs_that_outlive_early_failures_reinstate(health, clock):
    """A server that fails at once is proved by runs that have not failed."""
    fail(health, clock, 2)
    clock.advance(health.ejection_seconds_left('z1'))
    for _ in range(4):
        clock.advance(0.02)
        health.record_survival('z1', clock.now())
    assert not health.is_ejected('z1')


def test_failed_trials_last_longer_each_time(health, clock):
    fail(health, clock, 2)
    first = health.ejection_seconds_left('z1')
    clock.advance(first)
    fail(health, clock)
    assert health.ejection_seconds_left('z1') > first


def test_old_failures_do_not_add_up(health, clock):
    fail(health, clock, evidence=Evidence.HANG)
    clock.advance(60)
    serve(health, clock, 5)
    fail(health, clock, evidence=Evidence.HANG)
    assert health.ejection_seconds_left('z1') == 0


def test_ejection_fades(health, clock):
    """Guards against a server that nobody tries and that stays ejected."""
    fail(health, clock, 3)
    clock.advance(6)
    assert not health.is_ejected('z1')
    assert health.is_unsafe('z1', last_resort=False)
    assert not health.is_unsafe('z1', last_resort=True)
    clock.advance(60)
    assert not health.is_unsafe('z1', last_resort=False)


def test_end_of_a_run_from_before_the_ejection_extends_nothing(health, clock):
    """Guards against an extended ejection of a server that has recovered.

    A hung run from before the ejection meets its deadline during the trial.
    """
    began = clock.now()
    fail(health, clock, 2, evidence=Evidence.HANG)
    clock.advance(health.ejection_seconds_left('z1'))
    health.record_failure('deadline passed', 'z1', began)
    assert health.on_trial('z1')


def test_answer_to_a_run_older_than_the_failed_ones_reinstates_nobody(
    health, clock
):
    """Guards against reinstating a server that hangs.

    The successful runs began while the server still answered.
    """
    clock.advance(1)
    fail(health, clock, 2, evidence=Evidence.HANG)
    for _ in range(9):
        health.record_success(1.0, OBJECTIVE, 'z1')
    assert health.ejection_seconds_left('z1') > 0


def test_run_that_fails_with_its_call_is_no_evidence(health, clock):
    """Guards against the ejection of servers for failures of others.

    In a fleet with failing servers, half of the runs that failed had made a
    call that failed.
    """
    began = clock.now()
    for _ in range(8):
        clock.advance(0.1)
        health.record_failed_call()
        health.record_failure('status 500', 'z1', began)
    assert not health.is_ejected('z1')
    # Later runs made other calls.
    clock.advance(0.1)
    for _ in range(4):
        health.record_failure('status 500', 'z1', clock.now())
    assert health.is_ejected('z1')
