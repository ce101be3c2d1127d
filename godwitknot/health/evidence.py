"""Evidence and the decisions based on it, as records for operators."""

import collections
import enum
import threading

import attrs

from godwitknot.clock import Clock

_MAX_DECISIONS = 200


class EvidenceKind(enum.StrEnum):
    """Symptom that a score measures."""

    SLOW = 'slow'
    ERRORS = 'errors'
    SLOW_SHARE = 'slow-share'
    CONSECUTIVE_ERRORS = 'consecutive-errors'


@attrs.frozen
class Evidence:
    """Evidence for ejecting a server.

    :param samples: number of requests that the score is based on.
    :param hung: number of requests that hang at present.
    :param baseline_median: of the siblings, seconds.
    :param baseline_errors: error share of the siblings.
    :param score: log-likelihood ratio against the siblings.
    :param threshold: score at which the server is ejected.
    """

    work_class: str
    kind: EvidenceKind
    samples: int
    hung: int
    baseline_median: float
    baseline_errors: float
    score: float
    threshold: float

    @property
    def strength(self) -> float:
        """Score relative to the threshold; 1 ejects."""
        return self.score / self.threshold

    def explain(self) -> str:
        """Return one sentence for an operator."""
        return (
            f'class {self.work_class}, {self.kind}: score '
            f'{self.score:.1f} of {self.threshold:.1f} from '
            f'{self.samples} requests and {self.hung} hung; siblings have '
            f'median {self.baseline_median:.3f} s and errors '
            f'{self.baseline_errors:.1%}'
        )


class Action(enum.StrEnum):
    """Kind of decision about a server."""

    SUSPECTED = 'suspected'
    CLEARED = 'cleared'
    EJECTED = 'ejected'
    KEPT_BY_FLOOR = 'kept-by-floor'
    LEASE_LAPSED = 'lease-lapsed'
    PROBATION = 'probation'
    PROBATION_FAILED = 'probation-failed'
    RAMPING = 'ramping'
    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class Decision:
    """One decision about a server and its reason.

    :param at: wall clock, seconds since the epoch.
    :param promises: stay promises valid at that time.
    :param floor: stay promises needed.
    :param evidence: ``None`` for decisions that need no evidence.
    """

    at: float
    server: str
    action: Action
    promises: int = 0
    floor: int = 0
    evidence: Evidence | None = None

    def explain(self) -> str:
        """Return one line for an operator."""
        parts = [f'{self.server} {self.action}']
        if self.floor:
            parts.append(f'{self.promises} promises, floor {self.floor}')
        if self.evidence is not None:
            parts.append(self.evidence.explain())
        return '; '.join(parts)


class DecisionLog:
    """The latest decisions of a node, for the operator interface."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty log."""
        self._clock = clock
        self._lock = threading.Lock()
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=_MAX_DECISIONS
        )

    def add(
        self,
        server: str,
        action: Action,
        evidence: Evidence | None = None,
        *,
        promises: int = 0,
        floor: int = 0,
    ) -> Decision:
        """Record a decision taken now."""
        at = self._clock.wall()
        decision = Decision(at, server, action, promises, floor, evidence)
        with self._lock:
            self._decisions.append(decision)
        return decision

    def list_decisions(self, server: str) -> tuple[Decision, ...]:
        """Return the decisions about a server, oldest first."""
        with self._lock:
            entries = tuple(self._decisions)
        return tuple(entry for entry in entries if entry.server == server)
