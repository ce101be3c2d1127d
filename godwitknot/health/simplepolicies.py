"""Simple policies that the sequential one is measured against."""

import threading

from godwitknot.clock import Clock
from godwitknot.health.outliers import OutlierPolicy, Sample, Verdict

_CONSECUTIVE_ERRORS = 5
_SWEEP_SECONDS = 10.0
_OUT_SECONDS = 30.0
_MOST_OUT = 0.1


class RoundRobinPolicy(OutlierPolicy):
    """Never ejects; requests go to all servers in turn."""

    def observe(self, sample: Sample) -> None:
        """Ignore the request."""

    def tick(self, now: float) -> None:
        """Do nothing."""

    def verdict(self) -> Verdict:
        """Find nothing."""
        return Verdict()

    def reset(self) -> None:
        """Do nothing."""


class EjectionQuota:
    """Bounds the share of servers that are out at the same time."""

    def __init__(self, servers: int) -> None:
        """Start with all servers in.

        :param servers: number of servers of the service.
        """
        # One server may go out even where a tenth is less than one.
        self._most = max(1, int(servers * _MOST_OUT))
        self._out = 0
        self._lock = threading.Lock()

    def take(self) -> bool:
        """Count one more server as out, if the bound permits it."""
        with self._lock:
            if self._out >= self._most:
                return False
            self._out += 1
            return True

    def give_back(self) -> None:
        """Count one server as returned."""
        with self._lock:
            self._out -= 1


class ConsecutiveErrorsPolicy(OutlierPolicy):
    """Ejects after five errors in a row, for 30 s times the ejections."""

    def __init__(self, clock: Clock, quota: EjectionQuota) -> None:
        """Start without errors.

        :param quota: shared by all servers of the service.
        """
        self._clock = clock
        self._quota = quota
        self._lock = threading.Lock()
        self._errors = 0
        self._ejections = 0
        self._out_until: float | None = None
        self._next_sweep = clock.now() + _SWEEP_SECONDS

    def observe(self, sample: Sample) -> None:
        """Count errors in a row; a timeout is an error."""
        with self._lock:
            if not sample.failed:
                self._errors = 0
                return
            self._errors += 1
            if self._errors >= _CONSECUTIVE_ERRORS:
                self._eject()

    def tick(self, now: float) -> None:
        """Return the server at a sweep after its time is over."""
        with self._lock:
            if now < self._next_sweep:
                return
            self._next_sweep = now + _SWEEP_SECONDS
            if self._out_until is not None and self._out_until <= now:
                self._out_until = None
                self._quota.give_back()

    def verdict(self) -> Verdict:
        """Demand ejection while the server's time out lasts."""
        with self._lock:
            return Verdict(eject=self._out_until is not None)

    def reset(self) -> None:
        """Forget the errors in a row; the caller keeps the server out.

        The number of ejections is kept.
        """
        with self._lock:
            self._errors = 0
            if self._out_until is not None:
                self._out_until = None
                self._quota.give_back()

    def _eject(self) -> None:
        if self._out_until is not None or not self._quota.take():
            return
        self._errors = 0
        self._ejections += 1
        seconds = _OUT_SECONDS * self._ejections
        self._out_until = self._clock.now() + seconds
