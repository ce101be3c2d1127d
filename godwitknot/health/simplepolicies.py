"""Simple outlier policies to compare the sequential one with."""

import threading

from godwitknot.clock import Clock
from godwitknot.health.outliers import OutlierPolicy, Sample, Verdict

_CONSECUTIVE_ERRORS = 5
_SWEEP_SECONDS = 10.0
_BASE_EJECTION_SECONDS = 30.0
_MAX_EJECTED_SHARE = 0.1


class RoundRobinPolicy(OutlierPolicy):
    """Never ejects; requests go to all servers in turn."""

    def observe(self, sample: Sample) -> None:
        """Ignore the request."""

    def tick(self, now: float) -> None:
        """Do nothing."""

    def verdict(self) -> Verdict:
        """Return a verdict without suspicion."""
        return Verdict()

    def reset(self) -> None:
        """Do nothing."""


class EjectionQuota:
    """Limits the share of servers that are ejected at the same time."""

    def __init__(self, servers: int) -> None:
        """Create a quota without ejected servers.

        :param servers: number of servers of the service.
        """
        # One server may be ejected even if a tenth is less than one.
        self._max_ejected = max(1, int(servers * _MAX_EJECTED_SHARE))
        self._ejected = 0
        self._lock = threading.Lock()

    def try_acquire(self) -> bool:
        """Count one more server as ejected if the limit permits it."""
        with self._lock:
            if self._ejected >= self._max_ejected:
                return False
            self._ejected += 1
            return True

    def release(self) -> None:
        """Count one server as reinstated."""
        with self._lock:
            self._ejected -= 1


class ConsecutiveErrorsPolicy(OutlierPolicy):
    """Ejects after five consecutive errors, for 30 s times the ejections."""

    def __init__(self, clock: Clock, quota: EjectionQuota) -> None:
        """Create a policy without errors.

        :param quota: shared by all servers of the service.
        """
        self._clock = clock
        self._quota = quota
        self._lock = threading.Lock()
        self._consecutive_errors = 0
        self._ejections = 0
        self._ejected_until: float | None = None
        self._next_sweep = clock.now() + _SWEEP_SECONDS

    def observe(self, sample: Sample) -> None:
        """Count consecutive errors; a timeout is an error."""
        with self._lock:
            if not sample.failed:
                self._consecutive_errors = 0
                return
            self._consecutive_errors += 1
            if self._consecutive_errors >= _CONSECUTIVE_ERRORS:
                self._eject()

    def tick(self, now: float) -> None:
        """Reinstate the server in the first sweep after its ejection time."""
        with self._lock:
            if now < self._next_sweep:
                return
            self._next_sweep = now + _SWEEP_SECONDS
            if self._ejected_until is not None and self._ejected_until <= now:
                self._ejected_until = None
                self._quota.release()

    def verdict(self) -> Verdict:
        """Request ejection until the ejection time has passed."""
        with self._lock:
            return Verdict(eject=self._ejected_until is not None)

    def reset(self) -> None:
        """Reset the errors; the caller controls the ejection from now on.

        The number of ejections stays.
        """
        with self._lock:
            self._consecutive_errors = 0
            if self._ejected_until is not None:
                self._ejected_until = None
                self._quota.release()

    def _eject(self) -> None:
        if self._ejected_until is not None or not self._quota.try_acquire():
            return
        self._consecutive_errors = 0
        self._ejections += 1
        seconds = _BASE_EJECTION_SECONDS * self._ejections
        self._ejected_until = self._clock.now() + seconds
