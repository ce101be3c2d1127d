"""Evidence on the health of the local server, and its ejection."""

import collections

import attrs

from godwitknot.clock import Clock
from godwitknot.mesh.events import EventLog

# Failures among the last outcomes that eject a server. Sound servers fail
# about 1% of their requests, gray ones 40% and more.
_SAMPLE = 5
_FAILURES = 2
# Outcomes older than this say nothing on the present, in seconds.
_MEMORY_SECONDS = 4.0
_FIRST_EJECTION_SECONDS = 0.8
_MOST_EJECTION_SECONDS = 3.0
_GROWTH = 1.6
# Good answers in a row that end a trial.
_TRIAL_SUCCESSES = 1
# A run this many times longer than usual counts as hung.
_HUNG_FACTOR = 3.5
_LEAST_HUNG_SECONDS = 0.5
# Runs without an answer make their server suspect once they have waited
# together this many times as long as one run usually takes. Servers that hang
# lose fewer requests with less; sound ones are passed over more often.
_SUSPECT_FACTOR = 2.0
_LEAST_SUSPECT_SECONDS = 0.15
# A run takes about this part of its request's objective before any was seen.
# A fixed time makes servers with long runs look hung after each start.
_USUAL_SHARE = 0.2
_SMOOTHING = 0.1


@attrs.frozen
class _Outcome:
    at: float
    bad: bool
    zone: str


@attrs.define
class Ejection:
    """An ejection.

    :param until: end of the ejection, on the node's clock.
    :param seconds: its length, which grows with each in a row.
    :param bad_began: when the newest failed run began. Runs that began
        earlier say nothing on whether the server has recovered.
    """

    until: float
    seconds: float
    bad_began: float
    successes: int = 0


class ServerHealth:
    """Outcomes of requests on the local server, by callers' domain.

    The sidecar is the only path to the server, so that its outcomes are
    all there are. Some servers fail only for the callers of one domain,
    which are then ejected from it alone.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Start without evidence."""
        self._clock = clock
        self._log = log
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=4 * _SAMPLE
        )
        self._ejected: dict[str, Ejection] = {}
        self._usual_share = _USUAL_SHARE
        # When the run began that was good last, on the node's clock.
        self.last_success_began = float(0)

    def typical_seconds(self, objective: float) -> float:
        """Give the smoothed time of a good run.

        Requests of different objectives take different times on the same
        server, which are compared as parts of the objective.

        :param objective: of the request, in seconds.
        """
        return self._usual_share * objective

    def hung_threshold_seconds(self, objective: float) -> float:
        """Give the age from which a run counts as hung."""
        usual = self.typical_seconds(objective)
        return max(_LEAST_HUNG_SECONDS, _HUNG_FACTOR * usual)

    def suspect_threshold_seconds(self, objective: float) -> float:
        """Give the sum of ages from which runs make their server suspect."""
        usual = self.typical_seconds(objective)
        return max(_LEAST_SUSPECT_SECONDS, _SUSPECT_FACTOR * usual)

    def reset(self) -> None:
        """Forget everything, since another server is there."""
        self._outcomes.clear()
        self._ejected.clear()
        self._usual_share = _USUAL_SHARE

    def record_success(
        self, seconds: float, objective: float, zone: str
    ) -> None:
        """Take in a good run.

        :param seconds: that it took.
        :param objective: of its request, in seconds.
        """
        share = seconds / objective
        self._usual_share += _SMOOTHING * (share - self._usual_share)
        now = self._clock.now()
        self.last_success_began = max(self.last_success_began, now - seconds)
        self._outcomes.append(_Outcome(now, False, zone))
        verdict = self._ejected.get(zone)
        if verdict is None or now - seconds <= verdict.bad_began:
            return
        verdict.successes += 1
        if verdict.successes >= _TRIAL_SUCCESSES:
            self._ejected.pop(zone)
            self._outcomes.clear()
            self._log.write('server reinstated', zone=zone)

    def record_failure(self, reason: str, zone: str, began: float) -> None:
        """Take in a failed, hung or lost run.

        :param began: when the run began, on the node's clock.
        """
        now = self._clock.now()
        self._outcomes.append(_Outcome(now, True, zone))
        recent = [
            outcome
            for outcome in self._outcomes
            if outcome.at > now - _MEMORY_SECONDS
        ]
        verdict = self._ejected.get(zone)
        if verdict is not None:
            if verdict.until <= began:
                self._extend(verdict, reason, zone)
            verdict.bad_began = max(verdict.bad_began, began)
            return
        own = [each for each in recent if each.zone == zone][-_SAMPLE:]
        if sum(each.bad for each in own) >= _FAILURES:
            self._eject(zone, reason, own, began)

    def ejection_seconds_left(self, zone: str) -> float:
        """Give the seconds that a domain's callers must stay away, or 0."""
        verdict = self._ejected.get(zone)
        if verdict is None:
            return 0
        return max(0, verdict.until - self._clock.now())

    def on_trial(self, zone: str) -> bool:
        """Tell whether an ejection has ended and is not yet revoked."""
        verdict = self._ejected.get(zone)
        return verdict is not None and verdict.until <= self._clock.now()

    def last_failure_began(self, zone: str) -> float | None:
        """Give the time at which the last failed run of a domain began.

        :returns: on the node's clock, ``None`` if it is not ejected there.
        """
        verdict = self._ejected.get(zone)
        return None if verdict is None else verdict.bad_began

    def trial_age(self, zone: str) -> float:
        """Give the seconds since an ejection has ended, 0 without one."""
        verdict = self._ejected.get(zone)
        if verdict is None:
            return 0
        return max(0, self._clock.now() - verdict.until)

    def _eject(
        self,
        zone: str,
        reason: str,
        seen: list[_Outcome],
        began: float,
    ) -> None:
        verdict = Ejection(
            self._clock.now() + _FIRST_EJECTION_SECONDS,
            _FIRST_EJECTION_SECONDS,
            began,
        )
        self._ejected[zone] = verdict
        self._log.write(
            'server ejected',
            zone=zone,
            reason=reason,
            failures=sum(each.bad for each in seen),
            outcomes=len(seen),
            seconds=verdict.seconds,
        )

    def _extend(self, verdict: Ejection, reason: str, zone: str) -> None:
        verdict.seconds = min(_MOST_EJECTION_SECONDS, verdict.seconds * _GROWTH)
        verdict.until = self._clock.now() + verdict.seconds
        verdict.successes = 0
        self._log.write(
            'trial failed', zone=zone, reason=reason, seconds=verdict.seconds
        )
