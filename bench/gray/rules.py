"""Rules of ejection that the estimate of faults is compared with."""

import collections

import attrs

from godwitknot.clock import Clock
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.faultbelief import Evidence
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.serverselector import Reach, ServerSelector, Target
from godwitknot.units import Address

_NEVER = -1e9
_SAMPLE_SIZE = 5
_MIN_FAILURES = 2
_WINDOW_SECONDS = 4.0
_INITIAL_EJECTION_SECONDS = 0.8
_MAX_EJECTION_SECONDS = 3.0
_EJECTION_GROWTH = 1.6
_CONSECUTIVE_ERRORS = 5
_BASE_EJECTION_SECONDS = 30.0


class _TimedEjectionHealth(ServerHealth):
    """Ejects a server for some seconds, for all callers.

    :ivar until: end of the ejection, on the node's clock.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Create the health of a server that is not ejected."""
        super().__init__(clock, log)
        self.until = _NEVER
        self.ejected = False

    def record_survival(self, zone: str, began: float) -> None:
        """Ignore it: only results count."""

    def is_ejected(self, zone: str) -> bool:
        """Return whether the server is ejected."""
        return self.ejected

    def is_unsafe(self, zone: str, *, last_resort: bool) -> bool:
        """Return whether requests that must not be repeated stay away."""
        return self.ejected

    def ejection_seconds_left(self, zone: str) -> float:
        """Return the seconds until the next trial, 0 without an ejection."""
        return max(0, self.until - self._clock.now()) if self.ejected else 0


@attrs.frozen
class _Outcome:
    at: float
    failed: bool


class TwoFailuresHealth(_TimedEjectionHealth):
    """The earlier rule: two failures among five outcomes eject.

    One successful trial reinstates.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Create the health of a server without outcomes."""
        super().__init__(clock, log)
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=_SAMPLE_SIZE
        )
        self._seconds = _INITIAL_EJECTION_SECONDS
        self._failure_began = _NEVER

    def record_success(
        self, seconds: float, objective: float, zone: str
    ) -> None:
        """Count a success, which ends an ejection."""
        self.durations.add(seconds, objective)
        now = self._clock.now()
        self._hangs.add_answered(now - seconds)
        self._outcomes.append(_Outcome(now, False))
        if self.ejected and now - seconds > self._failure_began:
            self.ejected = False
            self._seconds = _INITIAL_EJECTION_SECONDS
            self._outcomes.clear()

    def record_failure(
        self,
        reason: str,
        zone: str,
        began: float,
        evidence: Evidence = Evidence.LATE_FAILURE,
    ) -> None:
        """Count a failure, which prolongs an ejection."""
        now = self._clock.now()
        self._outcomes.append(_Outcome(now, True))
        if self.ejected:
            if self.until <= began:
                self._seconds = min(
                    _MAX_EJECTION_SECONDS, self._seconds * _EJECTION_GROWTH
                )
                self.until = now + self._seconds
            self._failure_began = max(self._failure_began, began)
            return
        recent = [
            each
            for each in self._outcomes
            if each.failed and each.at > now - _WINDOW_SECONDS
        ]
        if len(recent) >= _MIN_FAILURES:
            self.ejected = True
            self.until = now + self._seconds
            self._failure_began = began

    def last_failure_began(self, zone: str) -> float | None:
        """Return the latest start of a failed run, ``None`` if not ejected."""
        return self._failure_began if self.ejected else None

    def fails_early(self, zone: str) -> bool:
        """Return that a trial lasts until its result."""
        return False


class ConsecutiveErrorsHealth(_TimedEjectionHealth):
    """The customary rule: five errors in a row eject for 30 s.

    Each further ejection lasts 30 s longer. No trial is made.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Create the health of a server without outcomes."""
        super().__init__(clock, log)
        self._errors = 0
        self._ejections = 0

    def record_success(
        self, seconds: float, objective: float, zone: str
    ) -> None:
        """Count a success."""
        self.durations.add(seconds, objective)
        self._hangs.add_answered(self._clock.now() - seconds)
        self._errors = 0

    def record_failure(
        self,
        reason: str,
        zone: str,
        began: float,
        evidence: Evidence = Evidence.LATE_FAILURE,
    ) -> None:
        """Count an error."""
        self._errors += 1
        if self._errors >= _CONSECUTIVE_ERRORS and not self.is_ejected(zone):
            self._ejections += 1
            self._errors = 0
            self.ejected = True
            seconds = _BASE_EJECTION_SECONDS * self._ejections
            self.until = self._clock.now() + seconds

    def is_ejected(self, zone: str) -> bool:
        """Return whether the server is ejected."""
        if self.until <= self._clock.now():
            self.ejected = False
        return self.ejected

    def is_unsafe(self, zone: str, *, last_resort: bool) -> bool:
        """Return whether the server is ejected."""
        return self.is_ejected(zone)

    def ejection_seconds_left(self, zone: str) -> float:
        """Return the rest of the ejection in seconds."""
        return max(0, self.until - self._clock.now())

    def last_failure_began(self, zone: str) -> float | None:
        """Return that no trial decides on the ejection."""


class UnwatchedHealth(_TimedEjectionHealth):
    """Never ejects."""

    def record_failure(
        self,
        reason: str,
        zone: str,
        began: float,
        evidence: Evidence = Evidence.LATE_FAILURE,
    ) -> None:
        """Ignore a failure."""

    def last_failure_began(self, zone: str) -> float | None:
        """Return that the server is never ejected."""


class RoundRobinSelector(ServerSelector):
    """Selects the servers of a region in turn."""

    def choose(
        self,
        service: str,
        excluded: set[Address],
        *,
        avoided: bool,
        reach: Reach,
        protocol: int = 0,
        region: str | None = None,
    ) -> Target | None:
        """Return the server that was selected longest ago."""
        members = [
            member
            for member in self._directory.find_servers(service)
            if member.address not in excluded
            and (member.region == self._placement.region)
            == (reach is Reach.OWN_REGION)
            and region in {None, member.region}
        ]
        if not members:
            return None
        # The key of the dictionary moves to its end with each selection.
        turns = self.__dict__.setdefault('_turns', {})
        best = min(members, key=lambda each: turns.get(each.address, 0))
        turns[best.address] = max(turns.values(), default=0) + 1
        distance = self._distance(best)
        return Target(best, self._is_local(best), (0.002, 0.01, 0.08)[distance])
