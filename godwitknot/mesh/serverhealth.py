"""Health of the local server, and its ejection."""

import collections

import attrs

from godwitknot.clock import Clock
from godwitknot.mesh.events import EventLog

# A server is ejected after this many failures in a sample of its latest
# outcomes. Healthy servers fail about 1% of their requests, those with a gray
# failure 40% and more.
_SAMPLE_SIZE = 5
_MIN_FAILURES = 2
# Older outcomes are no evidence of the server's current state.
_WINDOW_SECONDS = 4.0
_INITIAL_EJECTION_SECONDS = 0.8
_MAX_EJECTION_SECONDS = 3.0
_EJECTION_GROWTH = 1.6
# Consecutive successes that end a trial.
_TRIAL_SUCCESSES = 1
# A run counts as hung after this multiple of its typical duration.
_HUNG_FACTOR = 3.5
_MIN_HUNG_SECONDS = 0.5
# A server becomes suspect once the ages of its unanswered runs add up to this
# multiple of the typical duration of one run. A lower factor loses fewer
# requests on servers that hang, but passes over healthy ones more often.
_SUSPECT_FACTOR = 2.0
_MIN_SUSPECT_SECONDS = 0.15
# Expected duration of a run before any was measured, as a share of its
# request's objective. With a fixed duration, servers with long runs would
# look hung after each start.
_INITIAL_RUN_SHARE = 0.2
_SMOOTHING_FACTOR = 0.1


@attrs.frozen
class _Outcome:
    at: float
    failed: bool
    zone: str


@attrs.define
class Ejection:
    """Ejection of the server for the callers of one failure domain.

    :param until: end of the ejection, on the node's clock.
    :param seconds: its duration, which grows with each failed trial.
    :param newest_failure_began: start of the failed run that began last.
        Runs that began earlier do not show whether the server has recovered.
    """

    until: float
    seconds: float
    newest_failure_began: float
    successes: int = 0


class ServerHealth:
    """Outcomes of requests to the local server, and its ejections.

    All requests to the server pass through the sidecar, so its outcomes are
    complete. Ejections are kept by the callers' failure domain, since some
    servers fail only for the callers of one domain.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Create the health state of a server without any outcomes."""
        self._clock = clock
        self._log = log
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=4 * _SAMPLE_SIZE
        )
        self._ejections: dict[str, Ejection] = {}
        self._typical_share = _INITIAL_RUN_SHARE
        # Latest start of a successful run, on the node's clock.
        self.last_success_began = float(0)

    def typical_seconds(self, objective: float) -> float:
        """Return the smoothed duration of successful runs.

        Requests with different objectives take different times on the same
        server, so durations are averaged as shares of the objective.

        :param objective: of the request, in seconds.
        """
        return self._typical_share * objective

    def hung_threshold_seconds(self, objective: float) -> float:
        """Return the age from which a run counts as hung.

        :param objective: of the request, in seconds.
        """
        typical = self.typical_seconds(objective)
        return max(_MIN_HUNG_SECONDS, _HUNG_FACTOR * typical)

    def suspect_threshold_seconds(self, objective: float) -> float:
        """Return the summed age of runs from which their server is suspect.

        :param objective: of the requests, in seconds.
        """
        typical = self.typical_seconds(objective)
        return max(_MIN_SUSPECT_SECONDS, _SUSPECT_FACTOR * typical)

    def reset(self) -> None:
        """Discard all state after the local server was replaced."""
        self._outcomes.clear()
        self._ejections.clear()
        self._typical_share = _INITIAL_RUN_SHARE

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
        share = seconds / objective
        self._typical_share += _SMOOTHING_FACTOR * (share - self._typical_share)
        now = self._clock.now()
        self.last_success_began = max(self.last_success_began, now - seconds)
        self._outcomes.append(_Outcome(now, False, zone))
        ejection = self._ejections.get(zone)
        if ejection is None or now - seconds <= ejection.newest_failure_began:
            return
        ejection.successes += 1
        if ejection.successes >= _TRIAL_SUCCESSES:
            self._ejections.pop(zone)
            self._outcomes.clear()
            self._log.write('server reinstated', zone=zone)

    def record_failure(self, reason: str, zone: str, began: float) -> None:
        """Record a failed, hung or lost run.

        :param reason: of the failure, for the log.
        :param zone: failure domain of the caller.
        :param began: start of the run, on the node's clock.
        """
        now = self._clock.now()
        self._outcomes.append(_Outcome(now, True, zone))
        recent = [
            outcome
            for outcome in self._outcomes
            if outcome.at > now - _WINDOW_SECONDS
        ]
        ejection = self._ejections.get(zone)
        if ejection is not None:
            if ejection.until <= began:
                self._extend(ejection, reason, zone)
            ejection.newest_failure_began = max(
                ejection.newest_failure_began, began
            )
            return
        sample = [each for each in recent if each.zone == zone][-_SAMPLE_SIZE:]
        if sum(each.failed for each in sample) >= _MIN_FAILURES:
            self._eject(zone, reason, sample, began)

    def ejection_seconds_left(self, zone: str) -> float:
        """Return the rest of the ejection in seconds, 0 if there is none.

        :param zone: failure domain of the callers.
        """
        ejection = self._ejections.get(zone)
        if ejection is None:
            return 0
        return max(0, ejection.until - self._clock.now())

    def on_trial(self, zone: str) -> bool:
        """Return whether an ejection expired and no trial succeeded yet."""
        ejection = self._ejections.get(zone)
        return ejection is not None and ejection.until <= self._clock.now()

    def last_failure_began(self, zone: str) -> float | None:
        """Return the latest start of a failed run for a failure domain.

        :returns: time on the node's clock, ``None`` without an ejection.
        """
        ejection = self._ejections.get(zone)
        return None if ejection is None else ejection.newest_failure_began

    def trial_age(self, zone: str) -> float:
        """Return the seconds since an ejection expired, 0 without one."""
        ejection = self._ejections.get(zone)
        if ejection is None:
            return 0
        return max(0, self._clock.now() - ejection.until)

    def _eject(
        self,
        zone: str,
        reason: str,
        evidence: list[_Outcome],
        began: float,
    ) -> None:
        ejection = Ejection(
            self._clock.now() + _INITIAL_EJECTION_SECONDS,
            _INITIAL_EJECTION_SECONDS,
            began,
        )
        self._ejections[zone] = ejection
        self._log.write(
            'server ejected',
            zone=zone,
            reason=reason,
            failures=sum(each.failed for each in evidence),
            outcomes=len(evidence),
            seconds=ejection.seconds,
        )

    def _extend(self, ejection: Ejection, reason: str, zone: str) -> None:
        ejection.seconds = min(
            _MAX_EJECTION_SECONDS, ejection.seconds * _EJECTION_GROWTH
        )
        ejection.until = self._clock.now() + ejection.seconds
        ejection.successes = 0
        self._log.write(
            'trial failed', zone=zone, reason=reason, seconds=ejection.seconds
        )
