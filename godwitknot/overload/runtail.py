"""Distribution of the durations of one class of runs, with its tail."""

import math

# Bounds of the buckets grow by this factor: a quantile is known to 10%.
_BUCKET_GROWTH = 1.25
# Durations are shares of an objective. Shorter and longer ones than these
# go to the first and the last bucket.
_MIN_SHARE = 0.002
_MAX_SHARE = 30.0
_BUCKETS = math.ceil(math.log(_MAX_SHARE / _MIN_SHARE, _BUCKET_GROWTH)) + 1
# About this many of the latest runs count, so that one run in thirty is still
# seen, and a release that changes durations is learned within minutes.
_MEMORY_RUNS = 300
# The assumed distribution counts as this many runs.
_PRIOR_RUNS = 5.0
# Of a healthy server's runs this share outlasts any limit, for reasons of
# their own.
MIN_SURVIVAL = 0.02


class RunTail:
    """Durations of a class of runs in a histogram of constant size.

    Starts from an exponential distribution, and learns the one that runs
    show. The counts of earlier runs fade with each later one.
    """

    def __init__(self) -> None:
        """Create the distribution of a class without runs."""
        self._counts = [float(0) for _ in range(_BUCKETS)]
        self._total = float(0)

    def add(self, share: float) -> None:
        """Add the duration of a run that has ended.

        :param share: of the objective of its class.
        """
        fading = 1 - 1 / _MEMORY_RUNS
        self._counts = [count * fading for count in self._counts]
        self._counts[int(_locate(share))] += 1
        self._total = self._total * fading + 1

    def survival(self, share: float, typical: float) -> float:
        """Return the probability that a healthy run lasts longer.

        :param share: age of the run, as a share of the objective.
        :param typical: mean duration in the same unit, on which the
            distribution of a class without runs is based.
        :returns: at least ``MIN_SURVIVAL``.
        """
        place = _locate(share)
        index = int(place)
        longer = sum(self._counts[index + 1 :])
        longer += self._counts[index] * (1 - (place - index))
        longer += _PRIOR_RUNS * math.exp(-share / typical)
        survival = longer / (self._total + _PRIOR_RUNS)
        return MIN_SURVIVAL + (1 - MIN_SURVIVAL) * survival

    def quantile(self, probability: float) -> float:
        """Return the duration that this part of the known runs stays below.

        :param probability: below 1.
        :returns: share of the objective; 0 without runs.
        """
        longer = (1 - probability) * self._total
        for index in reversed(range(_BUCKETS)):
            longer -= self._counts[index]
            if longer < 0:
                return _MIN_SHARE * _BUCKET_GROWTH ** (index + 1)
        return 0


def _locate(share: float) -> float:
    """Return the bucket of a duration, and the place in it as a fraction."""
    place = math.log(max(share, _MIN_SHARE) / _MIN_SHARE, _BUCKET_GROWTH)
    return min(place, _BUCKETS - 1)
