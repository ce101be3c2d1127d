from godwitknot.clock import ManualClock
from godwitknot.health.outliers import Sample
from godwitknot.health.simplepolicies import (
    ConsecutiveErrorsPolicy,
    EjectionQuota,
    RoundRobinPolicy,
)

FIVE_ERRORS = (True, True, True, True, True)


def _feed(policy, outcomes):
    for failed in outcomes:
        policy.observe(Sample('lookup', 0.05, failed, True, 0))
    return policy.verdict().eject


def _run(clock, policy, seconds):
    for _ in range(seconds):
        clock.advance(1)
        policy.tick(clock.now())
    return policy.verdict().eject


def test_five_errors_in_a_row_eject():
    """Guards against counting errors that a success interrupts."""
    policy = ConsecutiveErrorsPolicy(ManualClock(), EjectionQuota(25))
    assert not _feed(
        policy, (True, True, True, True, False, True, True, True, True)
    )
    assert _feed(policy, [True])


def test_time_out_grows_with_the_ejections():
    """Guards against a constant ejection time for a flapping server."""
    clock = ManualClock()
    policy = ConsecutiveErrorsPolicy(clock, EjectionQuota(25))
    _feed(policy, FIVE_ERRORS)
    assert _run(clock, policy, 29)
    assert not _run(clock, policy, 11)
    _feed(policy, FIVE_ERRORS)
    assert _run(clock, policy, 59)
    assert not _run(clock, policy, 11)


def test_at_most_a_tenth_is_out():
    """Guards against ejecting more servers than the quota permits."""
    clock = ManualClock()
    quota = EjectionQuota(25)
    policies = [ConsecutiveErrorsPolicy(clock, quota) for _ in range(4)]
    assert [_feed(policy, FIVE_ERRORS) for policy in policies] == [
        True,
        True,
        False,
        False,
    ]
    _run(clock, policies[0], 40)
    assert _feed(policies[2], [True])


def test_round_robin_never_ejects():
    """Guards against ejections by the policy that must not eject."""
    policy = RoundRobinPolicy()
    policy.tick(0)
    assert not _feed(policy, FIVE_ERRORS)


def test_reset_hands_the_time_out_to_the_caller():
    """Guards against a second ejection for the same errors.

    After the reset the caller measures the ejection time, and the policy
    must request no further one.
    """
    quota = EjectionQuota(1)
    policy = ConsecutiveErrorsPolicy(ManualClock(), quota)
    assert _feed(policy, FIVE_ERRORS)
    policy.reset()
    assert not policy.verdict().eject
    assert quota.try_acquire()
