"""Scores of one server and class against the sibling baseline."""

import collections

import attrs

from godwitknot.health.evidence import EvidenceKind
from godwitknot.health.likelihood import (
    SLOWDOWN,
    find_scale,
    log_excess,
    weigh_hang,
    weigh_outcome,
    weigh_slow_share,
    weigh_time,
)
from godwitknot.health.samples import Sample
from godwitknot.health.siblings import Baseline

_SAMPLES_KEPT = 256
# A baseline that moved lately mixes times from before and after a general
# trouble, so each server looks bad against it.
_SETTLING_SECONDS = 12.0
_SETTLED_FACTOR = 1.5
_SETTLED_ERRORS = 0.1


@attrs.frozen
class _Past:
    """Baseline at a moment."""

    at: float
    baseline: Baseline


@attrs.define
class ClassScores:
    """Samples and scores of one class against one baseline."""

    samples: collections.deque[Sample] = attrs.field(
        factory=lambda: collections.deque(maxlen=_SAMPLES_KEPT)
    )
    baseline: Baseline | None = None
    slow: float = 0
    errors: float = 0
    slow_share: float = 0
    past: collections.deque[_Past] = attrs.field(factory=collections.deque)

    def score(self, kind: EvidenceKind) -> float:
        """Give the score of one kind of evidence."""
        if kind is EvidenceKind.ERRORS:
            return self.errors
        if kind is EvidenceKind.SLOW_SHARE:
            return self.slow_share
        return self.slow

    def is_settled(self, kind: EvidenceKind) -> bool:
        """Tell whether the siblings stayed the same for a window."""
        if not self.past:
            return True
        if kind is EvidenceKind.ERRORS:
            shares = [each.baseline.error_share for each in self.past]
            return max(shares) <= _SETTLED_ERRORS + min(shares)
        medians = [each.baseline.median for each in self.past]
        return max(medians) <= _SETTLED_FACTOR * min(medians)

    def follow_baseline(self, now: float) -> None:
        """Note the present baseline and forget what was before a window."""
        if self.baseline is not None:
            self.past.append(_Past(now, self.baseline))
        while self.past and self.past[0].at < now - _SETTLING_SECONDS:
            self.past.popleft()

    def add(self, sample: Sample) -> None:
        """Weigh one more request."""
        self.samples.append(sample)
        self._score(sample)

    def rescore(self, baseline: Baseline | None, oldest: float) -> None:
        """Weigh all samples again against a new baseline.

        Evidence from before a general slowdown was known vanishes as soon
        as the siblings report it.
        """
        while self.samples and self.samples[0].started < oldest:
            self.samples.popleft()
        self.baseline = baseline
        self.slow = 0
        self.errors = 0
        self.slow_share = 0
        for sample in self.samples:
            self._score(sample)

    def _score(self, sample: Sample) -> None:
        baseline = self.baseline
        if baseline is None:
            return
        weight = weigh_outcome(
            failed=sample.failed, error_share=baseline.error_share
        )
        self.errors = max(0, self.errors + weight)
        if sample.failed and not sample.timed_out:
            # Errors are often fast; they say nothing about the speed.
            return
        excess = log_excess(sample.seconds, baseline.median)
        scale = find_scale(baseline.median, baseline.spread)
        weigh = weigh_hang if sample.timed_out else weigh_time
        self.slow = max(0, self.slow + weigh(excess, scale))
        weight = weigh_slow_share(
            slow=excess > SLOWDOWN, slow_share=baseline.slow_share
        )
        self.slow_share = max(0, self.slow_share + weight)
