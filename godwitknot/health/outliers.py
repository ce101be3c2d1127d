"""Outlier detection of one server: a sequential test against siblings."""

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
# A suspect server refuses stay promises. Two slow requests suffice, so that
# servers that all slow down at once refuse each other early.
_SUSPECT_STRENGTH = 0.35


@attrs.frozen
class Verdict:
    """What a policy thinks of a server.

    :param suspect: evidence is gathering.
    :param eject: evidence suffices to eject.
    :param evidence: the strongest, ``None`` if there is none.
    """

    suspect: bool = False
    eject: bool = False
    evidence: Evidence | None = None


class OutlierPolicy(abc.ABC):
    """Judges one server by its requests."""

    @abc.abstractmethod
    def observe(self, sample: Sample) -> None:
        """Take in a finished request."""

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Take in the passing of time; called about once a second."""

    @abc.abstractmethod
    def verdict(self) -> Verdict:
        """Judge the server now."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Forget the evidence, when the server was ejected."""

    def is_good(self, sample: Sample) -> bool:
        """Judge one request of a server on probation."""
        return not sample.failed

    def wants_fresh_connections(self) -> bool:
        """Tell whether requests should be sent on new connections only."""
        return False

    def begin(
        self,
        request_id: str,
        work_class: str,
        *,
        fresh_connection: bool,
    ) -> None:
        """Note that a request was sent; it may hang."""

    def abandon(self, request_id: str) -> None:
        """Forget a request that the caller cancelled."""


class SequentialPolicy(OutlierPolicy):
    """CUSUM of log-likelihood ratios per class and test."""

    def __init__(
        self,
        clock: Clock,
        baseline_of: Callable[[str], Baseline | None],
        weighing_of: Callable[[str], Weighing],
    ) -> None:
        """Start without evidence.

        :param baseline_of: gives the sibling baseline of a class.
        :param weighing_of: gives the weighing of a class.
        """
        self._clock = clock
        self._baseline_of = baseline_of
        self._weighing_of = weighing_of
        self._lock = threading.Lock()
        self._classes: dict[str, ClassScores] = {}
        self._hanging = InFlightRequests(clock)

    def begin(
        self,
        request_id: str,
        work_class: str,
        *,
        fresh_connection: bool,
    ) -> None:
        """Note that a request was sent; it may hang."""
        with self._lock:
            self._hanging.add(
                request_id, work_class, fresh_connection=fresh_connection
            )
            self._record(work_class)

    def abandon(self, request_id: str) -> None:
        """Forget a request that the caller cancelled."""
        with self._lock:
            self._hanging.remove(request_id)

    def observe(self, sample: Sample) -> None:
        """Add the evidence of a finished request.

        A timeout on a reused connection counts against the connection,
        which may have been silent since before the request.
        """
        with self._lock:
            self._hanging.remove(sample.request_id)
            if sample.timed_out and not sample.fresh_connection:
                return
            self._record(sample.work_class).add(sample)

    def tick(self, now: float) -> None:
        """Fetch the baselines and weigh the samples against them."""
        with self._lock:
            for work_class, record in self._classes.items():
                baseline = self._baseline_of(work_class)
                record.rescore(baseline, now - _SAMPLE_AGE_SECONDS)
                record.follow_baseline(now)

    def verdict(self) -> Verdict:
        """Judge by the strongest evidence of any class."""
        with self._lock:
            found = [
                self._gather(work_class, record, kind)
                for work_class, record in self._classes.items()
                for kind in _KINDS
                if record.baseline is not None
            ]
        strongest = max(found, key=lambda each: each.strength, default=None)
        if strongest is None or strongest.score == 0:
            return Verdict()
        return Verdict(
            strongest.strength >= _SUSPECT_STRENGTH,
            strongest.strength >= 1 and self._may_eject(strongest),
            strongest,
        )

    def is_good(self, sample: Sample) -> bool:
        """Judge one request: no failure and less than 3 times as slow."""
        baseline = self._baseline_of(sample.work_class)
        if sample.failed or baseline is None:
            return not sample.failed
        return log_excess(sample.seconds, baseline.median) < SLOWDOWN

    def wants_fresh_connections(self) -> bool:
        """Tell whether a request hangs on a reused connection.

        Only requests on new connections show whether the server or the
        connection is at fault.
        """
        with self._lock:
            return any(
                self._hanging.is_connection_silent(
                    work_class, record.baseline.median
                )
                for work_class, record in self._classes.items()
                if record.baseline is not None
            )

    def reset(self) -> None:
        """Forget all requests, those that still hang included."""
        with self._lock:
            self._classes.clear()
            self._hanging.clear()

    def _may_eject(self, evidence: Evidence) -> bool:
        """Hold back while the siblings themselves become better or worse."""
        record = self._classes.get(evidence.work_class)
        return record is not None and record.is_settled(evidence.kind)

    def _record(self, work_class: str) -> ClassScores:
        record = self._classes.get(work_class)
        if record is None:
            record = ClassScores(baseline=self._baseline_of(work_class))
            self._classes[work_class] = record
        return record

    def _gather(
        self,
        work_class: str,
        record: ClassScores,
        kind: EvidenceKind,
    ) -> Evidence:
        baseline = record.baseline
        score, hung = record.score(kind), 0
        if kind is EvidenceKind.SLOW:
            weights = self._hanging.weigh(work_class, baseline)
            hung = len(weights)
            score += math.fsum(weights)
        return Evidence(
            work_class=work_class,
            kind=kind,
            samples=len(record.samples),
            hung=hung,
            baseline_median=baseline.median,
            baseline_errors=baseline.error_share,
            score=score,
            threshold=_THRESHOLDS[self._weighing_of(work_class)],
        )
