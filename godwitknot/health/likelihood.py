"""Log-likelihood ratios of one request: failing server against healthy.

The logarithm of service times is modelled by a Laplace distribution. Its
tails bound the weight of a single request, so that one odd value cannot
eject a server, and it needs only a median and a spread.
"""

import math

SLOWDOWN = math.log(3)
_LOG_2 = math.log(2)
# A scale below this would trust a few quiet seconds of the siblings too
# much; above the other, no slowdown could be told from noise.
_LEAST_SCALE = 0.25
_GREATEST_SCALE = 1.0
# Differences of a few ms are scheduling noise, not a failing server.
_LEAST_MEDIAN_SECONDS = 0.005
_LEAST_ERROR_SHARE = 0.01
_FAILING_ERROR_SHARE = 0.2
_FAILING_FACTOR = 10
_GREATEST_SHARE = 0.9
_LEAST_SLOW_SHARE = 0.02
_FAILING_SLOW_SHARE = 0.2
_FAILING_SLOW_FACTOR = 4
# One hung request alone stays below every threshold.
_HUNG_LIMIT = 8.0


def log_excess(seconds: float, median: float) -> float:
    """Give the logarithm of a service time relative to the baseline."""
    least = _LEAST_MEDIAN_SECONDS
    return math.log(max(seconds, least) / max(median, least))


def find_scale(median: float, spread: float) -> float:
    """Give the scale of the Laplace distribution of the logarithm.

    :param spread: median absolute deviation, seconds.
    """
    relative = spread / max(median, _LEAST_MEDIAN_SECONDS)
    scale = math.log1p(relative) / _LOG_2
    return min(_GREATEST_SCALE, max(_LEAST_SCALE, scale))


def weigh_time(excess: float, scale: float) -> float:
    """Weigh a finished request: 3 times slower against healthy."""
    return (abs(excess) - abs(excess - SLOWDOWN)) / scale


def weigh_hang(excess: float, scale: float) -> float:
    """Weigh an unfinished request: hung against healthy, never below 0.

    A healthy request exceeds ``excess`` with probability
    ``exp(-excess / scale) / 2``, a hung one always does.
    """
    if excess < SLOWDOWN:
        return 0
    return min(_HUNG_LIMIT, excess / scale + _LOG_2)


def weigh_outcome(*, failed: bool, error_share: float) -> float:
    """Weigh success or failure against the error share of the siblings."""
    healthy = max(_LEAST_ERROR_SHARE, error_share)
    failing = max(_FAILING_ERROR_SHARE, _FAILING_FACTOR * healthy)
    return _weigh_share(failed, healthy, failing)


def weigh_slow_share(*, slow: bool, slow_share: float) -> float:
    """Weigh whether a request was much slower than the baseline.

    Finds a server that is slow for a share of its requests, whose other
    requests would outweigh them in :func:`weigh_time`.
    """
    healthy = max(_LEAST_SLOW_SHARE, slow_share)
    failing = max(_FAILING_SLOW_SHARE, _FAILING_SLOW_FACTOR * healthy)
    return _weigh_share(slow, healthy, failing)


def _weigh_share(hit: bool, healthy: float, failing: float) -> float:
    failing = min(_GREATEST_SHARE, failing)
    if failing <= healthy:
        return 0
    if hit:
        return math.log(failing / healthy)
    return math.log((1 - failing) / (1 - healthy))
