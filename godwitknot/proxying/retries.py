"""Retry budget, and the rule for which requests may be sent again."""

import collections
import enum
import threading

import attrs

from godwitknot.clock import Clock
from godwitknot.outcomes import Code, Outcome

_WINDOW_SECONDS = 10.0
_BUDGET_RATIO = 0.1
_MIN_RETRIES_PER_SECOND = 3
# An attempt refused as "not run" cost no server any work, so the first
# ones are not charged to the budget.
_UNCHARGED_ATTEMPTS = 2
# The first attempt and three retries; if all of these fail, the service as
# a whole is in trouble.
_MAX_ATTEMPTS = 4

# Not retried: another server would refuse for the same reason, or the caller
# no longer waits.
_FINAL_CODES = frozenset(
    (
        Code.NO_CLASS,
        Code.DEADLINE_PASSED,
        Code.KEY_REQUIRED,
        Code.KEY_INVALID,
        Code.KEY_REUSED,
        Code.KEY_OWNER_GONE,
        Code.ANSWER_NOT_KEPT,
        Code.CLAIM_LAPSED,
        Code.QUERY_OF_DEATH,
        Code.BODY_TOO_LARGE,
        Code.BAD_REQUEST,
        Code.CANCELLED,
        Code.RETRY_BUDGET,
        Code.LENGTH_REQUIRED,
    ),
)


class _SlidingCounter:
    """Counts the events of the last 10 s in buckets of one second."""

    def __init__(self) -> None:
        self._buckets: collections.Counter[int] = collections.Counter()

    def add(self, now: float) -> None:
        self._buckets[int(now)] += 1

    def total(self, now: float) -> int:
        oldest = now - _WINDOW_SECONDS
        expired = {second for second in self._buckets if second <= oldest}
        for second in expired:
            self._buckets.pop(second)
        return self._buckets.total()


class RetryBudget:
    """Limits the retries of one service to a share of its successes.

    A minimum rate of retries is always allowed.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a budget that allows only the minimum rate."""
        self._clock = clock
        self._lock = threading.Lock()
        self._successes = _SlidingCounter()
        self._spent = _SlidingCounter()

    def record_success(self) -> None:
        """Count a request that succeeded."""
        with self._lock:
            self._successes.add(self._clock.now())

    def try_spend(self) -> bool:
        """Charge one retry.

        :returns: whether the budget covers it.
        """
        with self._lock:
            now = self._clock.now()
            earned = _BUDGET_RATIO * self._successes.total(now)
            budget = earned + _MIN_RETRIES_PER_SECOND * _WINDOW_SECONDS
            if self._spent.total(now) + 1 > budget:
                return False
            self._spent.add(now)
            return True


class Resend(enum.Enum):
    """Whether a request may be sent to another server."""

    NO = 'no'
    FREE = 'free'
    CHARGED = 'charged'


@attrs.frozen
class Attempt:
    """A failed attempt.

    :param outcome: what is known about its execution.
    :param code: refusal code, or ``None`` for a server error response.
    :param repeatable: whether the class allows a request to run twice.
    :param attempt_count: attempts so far, including this one.
    :param remaining: seconds until the deadline.
    :param service_time: seconds that another attempt takes at least.
    """

    outcome: Outcome
    code: Code | None
    repeatable: bool
    attempt_count: int
    remaining: float
    service_time: float = 0


def decide_resend(attempt: Attempt) -> Resend:
    """Decide whether a request may be sent to another server.

    :returns: ``CHARGED`` if the retry must be charged to the retry budget.
    """
    if attempt.code in _FINAL_CODES or attempt.attempt_count >= _MAX_ATTEMPTS:
        return Resend.NO
    if attempt.remaining <= attempt.service_time:
        return Resend.NO
    if attempt.outcome != Outcome.NOT_RUN:
        return Resend.CHARGED if attempt.repeatable else Resend.NO
    if attempt.attempt_count <= _UNCHARGED_ATTEMPTS:
        return Resend.FREE
    return Resend.CHARGED
