"""A token bucket that also issues tokens of the near future."""

import math

import attrs


@attrs.frozen
class Tokens:
    """Tokens and the times from which they may be spent.

    :param count: all tokens.
    :param ready: number of those that may be spent at once.
    :param delay: seconds until the first of the others.
    :param interval: seconds between the others.
    """

    count: int
    ready: int
    delay: float = 0
    interval: float = 0

    def list_delays(self) -> list[float]:
        """Return the seconds until each token may be spent, in order."""
        first = self.delay - self.interval * self.ready
        return [
            float(0) if number < self.ready else first + self.interval * number
            for number in range(self.count)
        ]


@attrs.define
class TokenBucket:
    """Tokens that are added at a constant rate, up to a capacity.

    :param rate: tokens per second, above 0.
    :param level: negative if tokens of the future were issued.
    :param updated: time of the level.
    """

    rate: float
    capacity: float
    level: float
    updated: float

    def advance(self, now: float) -> None:
        """Add the tokens of the time that has passed."""
        gained = self.rate * max(0, now - self.updated)
        self.level = min(self.capacity, self.level + gained)
        self.updated = max(now, self.updated)

    def change(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity from now on."""
        self.advance(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def take(self, wanted: int, horizon: float, now: float) -> Tokens:
        """Issue tokens, also those that are added within the horizon.

        :param horizon: in seconds.
        :returns: at most ``wanted`` tokens.
        """
        self.advance(now)
        count = min(wanted, math.floor(self.level + self.rate * horizon))
        if count <= 0:
            return Tokens(0, 0)
        ready = min(count, max(0, math.floor(self.level)))
        delay = max(0, ready + 1 - self.level) / self.rate
        self.level -= count
        return Tokens(count, ready, delay, 1 / self.rate)

    def seconds_until_token(self, now: float) -> float:
        """Return the seconds until there is a token."""
        self.advance(now)
        return max(0, 1 - self.level) / self.rate
