"""A rate of events per second, of which later ones count more."""

import math

import attrs


@attrs.define
class EventRate:
    """Events per second, smoothed exponentially.

    :param smoothing: in seconds; after it, an event counts for a third.
    :param updated: time of the rate.
    """

    smoothing: float
    updated: float
    rate: float = 0

    def record(self, now: float, count: int = 1) -> None:
        """Count events."""
        self.rate = self.estimate(now) + count / self.smoothing
        self.updated = now

    def estimate(self, now: float) -> float:
        """Return the events per second."""
        return self.rate * math.exp((self.updated - now) / self.smoothing)
