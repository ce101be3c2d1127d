"""Clocks, injected so that tests can move time."""

import abc
import time


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Give seconds on a monotonic clock that runs during a pause."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Give seconds since the epoch."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now(self) -> float:
        """Give seconds since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Give seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to; for tests."""

    def __init__(self, start: float = 1000.0) -> None:
        """Start at ``start`` seconds on both clocks."""
        self._now = start

    def now(self) -> float:
        """Give the current setting."""
        return self._now

    def wall(self) -> float:
        """Give the current setting."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move time forward.

        :param seconds: how far; not negative.
        """
        self._now += seconds
