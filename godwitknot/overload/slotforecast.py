"""Forecast of the load of a service's servers in a failure domain or region."""

import math

import attrs

from godwitknot.clock import Clock

# Time constants of the averages, in seconds. Waves rise within about 4 s, and a
# node gets a few reports a second of a service.
_FAST_SECONDS = 0.7
_SLOW_SECONDS = 2.5
# A single report does not show that a domain is full. With less recent weight
# than this, in reports, the domain counts as idle.
_MIN_WEIGHT = 1.5
# Without reports this much older in one average than in the other, a slope
# would be mostly noise.
_MIN_GAP_SECONDS = 0.5
# Loads above this count as this: servers report requests that wait, too.
_MAX_BUSY_SHARE = 1.5
_MAX_KEYS = 512


@attrs.define
class _DecayingMean:
    """Mean of reports whose weight decays with their age.

    :param seconds: time constant of the decay.
    :ivar moment: weighted sum of the times of the reports.
    """

    seconds: float
    total: float = 0
    moment: float = 0
    weight: float = 0
    updated: float = 0

    @property
    def mean(self) -> float:
        """Mean of the reports."""
        return self.total / self.weight

    @property
    def time(self) -> float:
        """Mean time of the reports, on the node's clock."""
        return self.moment / self.weight

    def add(self, busy_share: float, now: float) -> None:
        """Add a report."""
        decay = math.exp((self.updated - now) / self.seconds)
        self.total = self.total * decay + busy_share
        self.moment = self.moment * decay + now
        self.weight = self.weight * decay + 1
        self.updated = now

    def count(self, now: float) -> float:
        """Return the weight of the reports, each new one counting 1."""
        return self.weight * math.exp((self.updated - now) / self.seconds)


@attrs.define
class _Trend:
    """A line through a recent and an earlier mean."""

    fast: _DecayingMean = attrs.field(
        factory=lambda: _DecayingMean(_FAST_SECONDS)
    )
    slow: _DecayingMean = attrs.field(
        factory=lambda: _DecayingMean(_SLOW_SECONDS)
    )

    def expect(self, at: float, now: float) -> float:
        """Return the load that is expected at a time, 0 without reports."""
        if self.slow.count(now) < _MIN_WEIGHT:
            return 0
        gap = self.fast.time - self.slow.time
        if gap < _MIN_GAP_SECONDS or self.fast.count(now) < 1:
            return self.slow.mean
        slope = (self.fast.mean - self.slow.mean) / gap
        return self.fast.mean + slope * (at - self.fast.time)


class SlotForecast:
    """Shares of busy slots, extrapolated from the loads in replies."""

    def __init__(self, clock: Clock) -> None:
        """Create a forecast without reports, which takes all as idle."""
        self._clock = clock
        self._trends: dict[tuple[str, str], _Trend] = {}

    def record(self, service: str, place: str, busy_share: float) -> None:
        """Add the load that a server has reported.

        :param place: failure domain or region of the server.
        :param busy_share: requests that run or wait, divided by the slots.
        """
        key = (service, place)
        trend = self._trends.get(key)
        if trend is None:
            if len(self._trends) >= _MAX_KEYS:
                return
            trend = self._trends.setdefault(key, _Trend())
        now = self._clock.now()
        share = min(busy_share, _MAX_BUSY_SHARE)
        trend.fast.add(share, now)
        trend.slow.add(share, now)

    def expect_busy_share(
        self, service: str, place: str, seconds: float = 0
    ) -> float:
        """Return the expected share of busy slots.

        :param place: failure domain or region of the servers.
        :param seconds: from now.
        :returns: 0 to 1.5; above 1 if requests are expected to wait.
        """
        trend = self._trends.get((service, place))
        if trend is None:
            return 0
        now = self._clock.now()
        expected = trend.expect(now + seconds, now)
        return min(_MAX_BUSY_SHARE, max(0, expected))
