"""Health of the local server, and its ejection."""

from collections.abc import Iterable

import attrs

from godwitknot.clock import Clock
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.faultbelief import Evidence, FaultBelief, FaultMode
from godwitknot.mesh.rundurations import RunDurations
from godwitknot.overload.hangbelief import HangBelief, RunEvidence

# A server is ejected while a fault is at least this probable.
_EJECTION_PROBABILITY = 0.5
# Requests that must not be repeated are lost at a server that fails them, so
# they need better health unless no other server has room.
_UNSAFE_PROBABILITY = 0.25
_LAST_RESORT_PROBABILITY = 0.6
_INITIAL_EJECTION_SECONDS = 0.5
_MAX_EJECTION_SECONDS = 3.0
_EJECTION_GROWTH = 1.6


@attrs.define
class _Ejection:
    """Ejection of the server for the callers of one or more domains.

    :param until: when the next trial may begin, on the node's clock.
    :param seconds: time between trials, which grows with each failed one.
    :param newest_failure_began: start of the failed run that began last.
    """

    until: float
    seconds: float
    newest_failure_began: float


class ServerHealth:
    """Evidence on the local server, and its ejections.

    All requests to the server pass through the sidecar, so the evidence is
    complete.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Create the health state of a server without any outcomes."""
        self._clock = clock
        self._log = log
        self.durations = RunDurations()
        self._belief = FaultBelief(clock)
        self._hangs = HangBelief(clock)
        self._ejection: _Ejection | None = None
        self._ejected_zones: set[str] = set()
        # End of the last call of the server that failed elsewhere.
        self._call_failed_at = float(0)

    def reset(self) -> None:
        """Discard all state after the local server was replaced."""
        self.durations = RunDurations()
        self._belief = FaultBelief(self._clock)
        self._hangs = HangBelief(self._clock)
        self._ejection = None
        self._ejected_zones.clear()

    def record_success(
        self,
        seconds: float,
        objective: float,
        zone: str,
    ) -> None:
        """Record a successful run.

        :param seconds: duration of the run.
        :param objective: of its request, in seconds.
        :param zone: failure domain of the caller.
        """
        self.durations.add(seconds, objective)
        began = self._clock.now() - seconds
        self._hangs.add_answered(began)
        self._add_passed(Evidence.SUCCESS, zone, began)

    def record_long_run(self, seconds: float, objective: float) -> None:
        """Record a run that was taken for hung and has succeeded.

        Without its duration, the tail of its class would not be learned.

        :param seconds: duration of the run.
        :param objective: of its request, in seconds.
        """
        self.durations.add(seconds, objective)
        self._hangs.add_answered(self._clock.now() - seconds)

    def record_unanswered(self, began: float, objective: float) -> None:
        """Record a run that was given up before the server responded.

        :param began: start of the run, on the node's clock.
        :param objective: of its request, in seconds.
        """
        age = self._clock.now() - began
        self._hangs.add_unanswered(
            began, self.durations.survival(age, objective)
        )

    def hang_probability(self, runs: Iterable[RunEvidence]) -> float:
        """Return the probability that the server hangs.

        :param runs: unanswered runs that are on it.
        """
        return self._hangs.probability(runs)

    @property
    def hang_revision(self) -> tuple[HangBelief, int]:
        """What differs once there is new evidence of runs that ended."""
        return self._hangs, self._hangs.ended_runs

    @property
    def hanging_share(self) -> float:
        """Share of the time in which the server hangs, as far as known."""
        return self._hangs.hanging_share

    @property
    def proven(self) -> bool:
        """Whether the server has answered a run since its start."""
        return self._hangs.proven

    def record_survival(self, zone: str, began: float) -> None:
        """Record that a run has lasted longer than early failures take.

        :param zone: failure domain of the caller.
        :param began: start of the run, on the node's clock.
        """
        self._add_passed(Evidence.SURVIVAL, zone, began)

    def record_failed_call(self) -> None:
        """Record that a call of the local server failed on another one.

        The run that made it fails as well, and it is not known which one.
        """
        self._call_failed_at = self._clock.now()

    def record_failure(
        self,
        reason: str,
        zone: str,
        began: float,
        evidence: Evidence = Evidence.LATE_FAILURE,
    ) -> None:
        """Record a failed, hung or lost run.

        :param reason: of the failure, for the log.
        :param zone: failure domain of the caller.
        :param began: start of the run, on the node's clock.
        """
        if evidence is Evidence.LATE_FAILURE and began < self._call_failed_at:
            return
        self._belief.add(evidence, zone)
        ejection = self._ejection
        now = self._clock.now()
        if ejection is None:
            ejection = _Ejection(
                now + _INITIAL_EJECTION_SECONDS,
                _INITIAL_EJECTION_SECONDS,
                began,
            )
            self._ejection = ejection
        elif ejection.until <= began:
            ejection.seconds = min(
                _MAX_EJECTION_SECONDS, ejection.seconds * _EJECTION_GROWTH
            )
            ejection.until = now + ejection.seconds
        ejection.newest_failure_began = max(
            ejection.newest_failure_began, began
        )
        self._update_zone(zone, reason)

    def fault_probability(self, zone: str) -> float:
        """Return the probability that the server has a fault.

        :param zone: failure domain of the callers that it affects.
        """
        return self._belief.probability(zone)

    def is_ejected(self, zone: str) -> bool:
        """Return whether the server is ejected for a failure domain."""
        return self._belief.probability(zone) >= _EJECTION_PROBABILITY

    def is_unsafe(self, zone: str, *, last_resort: bool) -> bool:
        """Return whether requests that must not be repeated stay away.

        :param zone: failure domain of the caller.
        :param last_resort: whether no other server has room.
        """
        limit = _LAST_RESORT_PROBABILITY if last_resort else _UNSAFE_PROBABILITY
        return self._belief.probability(zone) >= limit

    def ejection_seconds_left(self, zone: str) -> float:
        """Return the seconds until the next trial, 0 without an ejection.

        :param zone: failure domain of the callers.
        """
        if self._ejection is None or not self.is_ejected(zone):
            return 0
        return max(0, self._ejection.until - self._clock.now())

    def on_trial(self, zone: str) -> bool:
        """Return whether the server is ejected, and a trial may begin."""
        return self.is_ejected(zone) and not self.ejection_seconds_left(zone)

    def last_failure_began(self, zone: str) -> float | None:
        """Return the latest start of a failed run.

        :param zone: failure domain of the callers.
        :returns: time on the node's clock, ``None`` without an ejection.
        """
        if self._ejection is None or not self.is_ejected(zone):
            return None
        return self._ejection.newest_failure_began

    def fails_early(self, zone: str) -> bool:
        """Return whether a run that has not failed early counts as passed."""
        failing = self._belief.probability(zone, FaultMode.FAILING)
        return failing >= self._belief.probability(zone, FaultMode.STALLING)

    def _add_passed(self, evidence: Evidence, zone: str, began: float) -> None:
        ejection = self._ejection
        if ejection is not None and began <= ejection.newest_failure_began:
            # The run began before the server failed.
            return
        self._belief.add(evidence, zone)
        self._update_zone(zone, evidence.value)

    def _update_zone(self, zone: str, reason: str) -> None:
        """Log the begin or the end of an ejection."""
        probability = self._belief.probability(zone)
        ejected = probability >= _EJECTION_PROBABILITY
        if ejected == (zone in self._ejected_zones):
            return
        event = 'server ejected'
        if ejected:
            self._ejected_zones.add(zone)
        else:
            self._ejected_zones.discard(zone)
            event = 'server reinstated'
            if not self._ejected_zones:
                self._ejection = None
        self._log.write(
            event,
            zone=zone,
            reason=reason,
            probability=round(probability, 3),
        )
