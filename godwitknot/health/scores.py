"""Scores of one server and class against the sibling baseline."""

import collections

import attrs

from godwitknot.health.evidence import EvidenceKind
from godwitknot.health.likelihood import (
    SLOWDOWN,
    estimate_scale,
    log_excess,
    weigh_hang,
    weigh_outcome,
    weigh_slow_share,
    weigh_time,
)
from godwitknot.health.samples import Sample
from godwitknot.health.siblings import Baseline

_MAX_SAMPLES = 256
# A baseline that changed recently mixes times from before and after a fault
# that affects all siblings, so each server looks bad against it.
_STABILITY_WINDOW_SECONDS = 12.0
_MAX_MEDIAN_RATIO = 1.5
_MAX_ERROR_SHARE_CHANGE = 0.1


@attrs.frozen
class _PastBaseline:
    """Baseline at a given time."""

    at: float
    baseline: Baseline


@attrs.define
class ClassScores:
    """Samples and CUSUM scores of one class against its baseline.

    :param slow: score for service times.
    :param errors: score for failures.
    :param slow_share: score for the share of slow requests.
    :param history: baselines within the stability window.
    """

    samples: collections.deque[Sample] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_SAMPLES)
    )
    baseline: Baseline | None = None
    slow: float = 0
    errors: float = 0
    slow_share: float = 0
    history: collections.deque[_PastBaseline] = attrs.field(
        factory=collections.deque
    )

    def score(self, kind: EvidenceKind) -> float:
        """Return the score of one kind of evidence."""
        if kind is EvidenceKind.ERRORS:
            return self.errors
        if kind is EvidenceKind.SLOW_SHARE:
            return self.slow_share
        return self.slow

    def is_stable(self, kind: EvidenceKind) -> bool:
        """Return whether the baseline was stable throughout the window."""
        if not self.history:
            return True
        if kind is EvidenceKind.ERRORS:
            shares = [each.baseline.error_share for each in self.history]
            return max(shares) <= _MAX_ERROR_SHARE_CHANGE + min(shares)
        medians = [each.baseline.median for each in self.history]
        return max(medians) <= _MAX_MEDIAN_RATIO * min(medians)

    def record_baseline(self, now: float) -> None:
        """Add the current baseline to the history and drop old ones."""
        if self.baseline is not None:
            self.history.append(_PastBaseline(now, self.baseline))
        while (
            self.history
            and self.history[0].at < now - _STABILITY_WINDOW_SECONDS
        ):
            self.history.popleft()

    def add(self, sample: Sample) -> None:
        """Add a request to the scores."""
        self.samples.append(sample)
        self._add_weights(sample)

    def rescore(self, baseline: Baseline | None, oldest: float) -> None:
        """Recompute the scores of all samples against a new baseline.

        This drops evidence that arose from a general slowdown before the
        siblings had reported it.

        :param oldest: samples that started earlier are dropped.
        """
        while self.samples and self.samples[0].started < oldest:
            self.samples.popleft()
        self.baseline = baseline
        self.slow = 0
        self.errors = 0
        self.slow_share = 0
        for sample in self.samples:
            self._add_weights(sample)

    def _add_weights(self, sample: Sample) -> None:
        baseline = self.baseline
        if baseline is None:
            return
        weight = weigh_outcome(
            failed=sample.failed, error_share=baseline.error_share
        )
        self.errors = max(0, self.errors + weight)
        if sample.failed and not sample.timed_out:
            # Errors are often fast and give no evidence on service times.
            return
        excess = log_excess(sample.seconds, baseline.median)
        scale = estimate_scale(baseline.median, baseline.spread)
        weigh = weigh_hang if sample.timed_out else weigh_time
        self.slow = max(0, self.slow + weigh(excess, scale))
        weight = weigh_slow_share(
            slow=excess > SLOWDOWN, slow_share=baseline.slow_share
        )
        self.slow_share = max(0, self.slow_share + weight)
