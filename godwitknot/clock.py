"""Clocks, which are injected so that tests can control time."""

import abc
import time


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return seconds on a monotonic clock that includes suspension."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return the wall-clock time, in seconds since the epoch."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now(self) -> float:
        """Return seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall-clock time, in seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests that moves only when it is advanced."""

    def __init__(self, start: float = 1000.0) -> None:
        """Set both clocks to ``start`` seconds."""
        self._now = start

    def now(self) -> float:
        """Return the time that was set."""
        return self._now

    def wall(self) -> float:
        """Return the time that was set."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move time forward.

        :param seconds: the amount, which must not be negative.
        """
        self._now += seconds
