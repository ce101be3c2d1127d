import pytest

from godwitknot.clock import ManualClock
from godwitknot.outcomes import Code, Outcome
from godwitknot.proxying.retries import (
    Attempt,
    Resend,
    RetryBudget,
    decide_resend,
)


def spend_all(budget):
    spent = 0
    while budget.try_spend():
        spent += 1
    return spent


def test_least_budget_then_a_tenth_of_successes():
    """Guards against retry storms during an outage."""
    clock = ManualClock()
    budget = RetryBudget(clock)
    assert spend_all(budget) == 30
    for _ in range(200):
        budget.record_success()
    assert spend_all(budget) == 20
    clock.advance(11)
    assert spend_all(budget) == 30


@pytest.mark.parametrize(
    ('outcome', 'code', 'repeatable', 'sends', 'expected'),
    [
        (Outcome.NOT_RUN, Code.QUEUE_FULL, False, 1, Resend.FREE),
        (Outcome.NOT_RUN, Code.EJECTED, False, 2, Resend.FREE),
        (Outcome.NOT_RUN, Code.EJECTED, False, 3, Resend.CHARGED),
        (Outcome.NOT_RUN, Code.EJECTED, False, 4, Resend.NO),
        (Outcome.NOT_RUN, Code.QUERY_OF_DEATH, True, 1, Resend.NO),
        (Outcome.MAY_HAVE_RUN, Code.CONNECTION_LOST, False, 1, Resend.NO),
        (Outcome.MAY_HAVE_RUN, Code.CONNECTION_LOST, True, 1, Resend.CHARGED),
        (Outcome.RAN, None, True, 1, Resend.CHARGED),
        (Outcome.RAN, None, False, 1, Resend.NO),
    ],
)
def test_resend_rule(outcome, code, repeatable, sends, expected):
    """Guards against resending a booking that may already have run."""
    attempt = Attempt(outcome, code, repeatable, sends, remaining=1)
    assert decide_resend(attempt) is expected


def test_no_resend_without_time():
    attempt = Attempt(Outcome.NOT_RUN, Code.SHED, True, 1, 0.1, 0.2)
    assert decide_resend(attempt) is Resend.NO
