"""Retry budget, and the rule which requests may be sent again."""

import collections
import enum
import threading

import attrs

from godwitknot.clock import Clock
from godwitknot.outcomes import Code, Outcome

_WINDOW_SECONDS = 10.0
_SHARE_OF_SUCCESSES = 0.1
_LEAST_PER_SECOND = 3
# A refusal as not run costs no server any work, so a short search for a
# free server is not charged.
_FREE_ATTEMPTS = 2
# The first send and three more; beyond that the service is in trouble.
_MAX_SENDS = 4

# Another server would give the same answer, or the caller no longer waits.
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


class _Window:
    """Counts events of the last seconds in buckets of one second."""

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
    """Limits retries to a share of the successes of one service."""

    def __init__(self, clock: Clock) -> None:
        """Start with the least budget."""
        self._clock = clock
        self._lock = threading.Lock()
        self._successes = _Window()
        self._spent = _Window()

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
            earned = _SHARE_OF_SUCCESSES * self._successes.total(now)
            budget = earned + _LEAST_PER_SECOND * _WINDOW_SECONDS
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
    :param code: refusal code, or ``None`` for an error of the server.
    :param repeatable: whether the class allows a repeat.
    :param sends: attempts so far, this one included.
    :param remaining: seconds until the deadline.
    :param service_time: seconds that another attempt needs at least.
    """

    outcome: Outcome
    code: Code | None
    repeatable: bool
    sends: int
    remaining: float
    service_time: float = 0


def decide_resend(attempt: Attempt) -> Resend:
    """Decide whether a request may be sent to another server.

    :returns: ``CHARGED`` if the retry budget must cover it.
    """
    if attempt.code in _FINAL_CODES or attempt.sends >= _MAX_SENDS:
        return Resend.NO
    if attempt.remaining <= attempt.service_time:
        return Resend.NO
    if attempt.outcome != Outcome.NOT_RUN:
        return Resend.CHARGED if attempt.repeatable else Resend.NO
    if attempt.sends <= _FREE_ATTEMPTS:
        return Resend.FREE
    return Resend.CHARGED
