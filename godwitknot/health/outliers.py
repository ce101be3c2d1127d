"""Outlier detection for one server: a sequential test against siblings."""

import abc
import math
import threading
import types
from collections.abc import Callable

import attrs

from godwitknot.clock import Clock
from godwitknot.declarations.declaration import Weighing
from godwitknot.health.evidence import Evidence, EvidenceKind
from godwitknot.health.inflight import InFlightRequests
from godwitknot.health.likelihood import SLOWDOWN, log_excess
from godwitknot.health.samples import Sample
from godwitknot.health.scores import ClassScores
from godwitknot.health.siblings import Baseline

_SAMPLE_AGE_SECONDS = 300.0
_KINDS = (EvidenceKind.SLOW, EvidenceKind.ERRORS, EvidenceKind.SLOW_SHARE)
# A CUSUM with threshold ln(x) gives at most one false alarm in about x
# requests, if healthy requests follow the baseline.
_THRESHOLDS = types.MappingProxyType(
    {
        Weighing.DETECTION: math.log(10**6),
        Weighing.BALANCED: math.log(10**8),
        Weighing.CAUTION: math.log(10**10),
    },
)
# Share of the threshold from which a server is suspect and refuses stay
# promises. Two slow requests suffice, so that servers that all slow down at
# once soon refuse to let each other leave.
_SUSPECT_STRENGTH = 0.35


@attrs.frozen
class Verdict:
    """Result of a policy for one server.

    :param suspect: the evidence suffices for suspicion.
    :param eject: the evidence suffices to eject.
    :param evidence: the strongest evidence, ``None`` if there is none.
    """

    suspect: bool = False
    eject: bool = False
    evidence: Evidence | None = None


class OutlierPolicy(abc.ABC):
    """Detects whether one server is an outlier, from its requests."""

    @abc.abstractmethod
    def observe(self, sample: Sample) -> None:
        """Add a finished request to the evidence."""

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Update time-dependent state; called about once a second."""

    @abc.abstractmethod
    def verdict(self) -> Verdict:
        """Evaluate the evidence on the server."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Drop the evidence after the server was ejected."""

    def is_good(self, sample: Sample) -> bool:
        """Return whether a request of a server on probation succeeded."""
        return not sample.failed

    def wants_fresh_connections(self) -> bool:
        """Return whether requests should be sent on new connections only."""
        return False

    def begin(
        self,
        request_id: str,
        work_class: str,
        *,
        fresh_connection: bool,
    ) -> None:
        """Record that a request was sent and is in flight."""

    def abandon(self, request_id: str) -> None:
        """Remove a request that the caller cancelled."""


class SequentialPolicy(OutlierPolicy):
    """CUSUM of log-likelihood ratios for each class and kind of evidence."""

    def __init__(
        self,
        clock: Clock,
        baseline_of: Callable[[str], Baseline | None],
        weighing_of: Callable[[str], Weighing],
    ) -> None:
        """Create a policy without evidence.

        :param baseline_of: returns the sibling baseline of a class.
        :param weighing_of: returns the weighing of a class.
        """
        self._clock = clock
        self._baseline_of = baseline_of
        self._weighing_of = weighing_of
        self._lock = threading.Lock()
        self._classes: dict[str, ClassScores] = {}
        self._in_flight = InFlightRequests(clock)

    def begin(
        self,
        request_id: str,
        work_class: str,
        *,
        fresh_connection: bool,
    ) -> None:
        """Record that a request was sent and is in flight."""
        with self._lock:
            self._in_flight.add(
                request_id, work_class, fresh_connection=fresh_connection
            )
            self._ensure_scores(work_class)

    def abandon(self, request_id: str) -> None:
        """Remove a request that the caller cancelled."""
        with self._lock:
            self._in_flight.remove(request_id)

    def observe(self, sample: Sample) -> None:
        """Add the evidence of a finished request.

        A timeout on a reused connection is ignored, since the connection may
        have been dead before the request was sent.
        """
        with self._lock:
            self._in_flight.remove(sample.request_id)
            if sample.timed_out and not sample.fresh_connection:
                return
            self._ensure_scores(sample.work_class).add(sample)

    def tick(self, now: float) -> None:
        """Update the baselines and score all samples against them."""
        with self._lock:
            for work_class, scores in self._classes.items():
                baseline = self._baseline_of(work_class)
                scores.rescore(baseline, now - _SAMPLE_AGE_SECONDS)
                scores.record_baseline(now)

    def verdict(self) -> Verdict:
        """Return the verdict from the strongest evidence of any class."""
        with self._lock:
            candidates = [
                self._collect_evidence(work_class, scores, kind)
                for work_class, scores in self._classes.items()
                for kind in _KINDS
                if scores.baseline is not None
            ]
        strongest = max(
            candidates, key=lambda each: each.strength, default=None
        )
        if strongest is None or strongest.score == 0:
            return Verdict()
        return Verdict(
            strongest.strength >= _SUSPECT_STRENGTH,
            strongest.strength >= 1 and self._may_eject(strongest),
            strongest,
        )

    def is_good(self, sample: Sample) -> bool:
        """Return whether a request succeeded in less than 3 medians."""
        baseline = self._baseline_of(sample.work_class)
        if sample.failed or baseline is None:
            return not sample.failed
        return log_excess(sample.seconds, baseline.median) < SLOWDOWN

    def wants_fresh_connections(self) -> bool:
        """Return whether a request hangs on a reused connection.

        Only requests on new connections show whether the server or the
        connection is at fault.
        """
        with self._lock:
            return any(
                self._in_flight.hangs_on_reused_connection(
                    work_class, scores.baseline.median
                )
                for work_class, scores in self._classes.items()
                if scores.baseline is not None
            )

    def reset(self) -> None:
        """Drop all requests, including those in flight."""
        with self._lock:
            self._classes.clear()
            self._in_flight.clear()

    def _may_eject(self, evidence: Evidence) -> bool:
        """Return whether the baseline is stable enough for an ejection."""
        scores = self._classes.get(evidence.work_class)
        return scores is not None and scores.is_stable(evidence.kind)

    def _ensure_scores(self, work_class: str) -> ClassScores:
        scores = self._classes.get(work_class)
        if scores is None:
            scores = ClassScores(baseline=self._baseline_of(work_class))
            self._classes[work_class] = scores
        return scores

    def _collect_evidence(
        self,
        work_class: str,
        scores: ClassScores,
        kind: EvidenceKind,
    ) -> Evidence:
        baseline = scores.baseline
        score, hung = scores.score(kind), 0
        if kind is EvidenceKind.SLOW:
            weights = self._in_flight.weigh_hanging(work_class, baseline)
            hung = len(weights)
            score += math.fsum(weights)
        return Evidence(
            work_class=work_class,
            kind=kind,
            samples=len(scores.samples),
            hung=hung,
            baseline_median=baseline.median,
            baseline_errors=baseline.error_share,
            score=score,
            threshold=_THRESHOLDS[self._weighing_of(work_class)],
        )
