"""How likely a server hangs, from the ages of its unanswered runs.

A hidden Markov model over the starts of runs: at each start the server either
hangs, so that most runs get no answer, or it does not. An unanswered run is
evidence as far as healthy runs of its class seldom last as long, so that long
work is told from a hang by the tail of its own class.
"""

import collections
import math
import operator
from collections.abc import Iterable

import attrs

from godwitknot.clock import Clock

# Part of the runs that a hanging server does not answer; callers report three
# quarters.
_HIT_SHARE = 0.75
# Mean duration of a hang, and time between two of them before any is known.
_HANG_SECONDS = 3.0
_INITIAL_INTERVAL_SECONDS = 15.0
# Hangs of this much time tell how often a server hangs.
_RATE_MEMORY_SECONDS = 120.0
# A server that hangs more often than this is still used between hangs.
_MAX_HANGING_SHARE = 0.3
# A hang is counted at the upper probability, and has ended at the lower one.
_COUNTED_PROBABILITY = 0.5
_ENDED_PROBABILITY = 0.2
# Ended runs count for this long; by then a hang has probably ended.
_MEMORY_SECONDS = 15.0
_MAX_ENDED_RUNS = 64


@attrs.frozen
class RunEvidence:
    """What one run shows about its server.

    :param began: start of the run, on the node's clock.
    :param survival: probability that a healthy run of its class is still
        unanswered at this age; ``None`` if the run was answered.
    """

    began: float
    survival: float | None = None

    @property
    def hang_ratio(self) -> float:
        """How much likelier the evidence is if the server hung at the start."""
        answered = 1 - _HIT_SHARE
        if self.survival is None:
            return answered
        return answered + _HIT_SHARE / self.survival


class HangRate:
    """How often a server begins to hang, learned from the latest minutes."""

    def __init__(self, clock: Clock) -> None:
        """Create the rate of a server of which nothing is known."""
        self._clock = clock
        self._updated = clock.now()
        self._seconds = float(0)
        self._hangs = float(0)
        self._hanging = False

    def update(self, probability: float) -> None:
        """Count a hang once it is probable.

        :param probability: that the server hangs now.
        """
        now = self._clock.now()
        elapsed = now - self._updated
        self._updated = now
        fading = math.exp(-elapsed / _RATE_MEMORY_SECONDS)
        self._seconds = self._seconds * fading + elapsed
        self._hangs *= fading
        if probability >= _COUNTED_PROBABILITY and not self._hanging:
            self._hanging = True
            self._hangs += 1
        if probability < _ENDED_PROBABILITY:
            self._hanging = False

    @property
    def hanging_share(self) -> float:
        """Share of the time in which the server hangs."""
        rate = (1 + self._hangs) / (_INITIAL_INTERVAL_SECONDS + self._seconds)
        share = rate / (rate + 1 / _HANG_SECONDS)
        return min(_MAX_HANGING_SHARE, share)


class HangBelief:
    """Probability that a server hangs the runs that it gets now."""

    def __init__(self, clock: Clock) -> None:
        """Create the belief about a server without runs."""
        self._clock = clock
        self._ended: collections.deque[RunEvidence] = collections.deque(
            maxlen=_MAX_ENDED_RUNS
        )
        self._rate = HangRate(clock)
        # Whether the server has answered a run.
        self.proven = False
        # Number of runs that have ended.
        self.ended_runs = 0

    def add_answered(self, began: float) -> None:
        """Count a run that was answered.

        :param began: start of the run, on the node's clock.
        """
        self.proven = True
        self._add(RunEvidence(began))

    def add_unanswered(self, began: float, survival: float) -> None:
        """Count a run that ended without an answer.

        :param survival: probability that a healthy run lasts as long.
        """
        self._add(RunEvidence(began, survival))

    @property
    def hanging_share(self) -> float:
        """Share of the time in which the server hangs, as far as known."""
        return self._rate.hanging_share

    def probability(self, unanswered: Iterable[RunEvidence] = ()) -> float:
        """Return the probability that the server hangs now.

        :param unanswered: the runs that are on the server.
        """
        now = self._clock.now()
        oldest = now - _MEMORY_SECONDS
        recent = [each for each in self._ended if each.began >= oldest]
        runs = sorted([*recent, *unanswered], key=operator.attrgetter('began'))
        share = self._rate.hanging_share
        hanging = share
        reached = now
        for run in runs:
            hanging = _advance(hanging, share, run.began - reached)
            reached = run.began
            weight = hanging * run.hang_ratio
            hanging = weight / (weight + 1 - hanging)
        hanging = _advance(hanging, share, now - reached)
        self._rate.update(hanging)
        return hanging

    def _add(self, run: RunEvidence) -> None:
        self.ended_runs += 1
        self._ended.append(run)


def _advance(hanging: float, share: float, seconds: float) -> float:
    """Let hangs begin and end for some seconds.

    :param hanging: probability of a hang before.
    :param share: of the time in which the server hangs.
    """
    if seconds <= 0:
        return hanging
    # Hangs end at this rate, and begin at one that keeps their share.
    rate = 1 / _HANG_SECONDS / (1 - share)
    return share + (hanging - share) * math.exp(-seconds * rate)
