"""Log-likelihood ratios of one request: failing server against healthy.

The logarithm of service times is modelled by a Laplace distribution. Its
tails bound the weight of a single request, so that one outlying value cannot
eject a server, and it needs only a median and a spread.
"""

import math

SLOWDOWN = math.log(3)
_LOG_2 = math.log(2)
# With a smaller scale, a few seconds of low variance at the siblings would
# count too much; with a larger one, no slowdown could be told from noise.
_MIN_SCALE = 0.25
_MAX_SCALE = 1.0
# Differences of a few ms are scheduling noise, not a failing server.
_MIN_MEDIAN_SECONDS = 0.005
_MIN_ERROR_SHARE = 0.01
_FAILING_ERROR_SHARE = 0.2
_FAILING_ERROR_FACTOR = 10
_MAX_FAILING_SHARE = 0.9
_MIN_SLOW_SHARE = 0.02
_FAILING_SLOW_SHARE = 0.2
_FAILING_SLOW_FACTOR = 4
# Keeps one hung request below every ejection threshold.
_MAX_HANG_WEIGHT = 8.0


def log_excess(seconds: float, median: float) -> float:
    """Return the logarithm of a service time relative to the baseline."""
    min_seconds = _MIN_MEDIAN_SECONDS
    return math.log(max(seconds, min_seconds) / max(median, min_seconds))


def estimate_scale(median: float, spread: float) -> float:
    """Return the scale of the Laplace distribution of the logarithm.

    :param spread: median absolute deviation, seconds.
    """
    relative = spread / max(median, _MIN_MEDIAN_SECONDS)
    scale = math.log1p(relative) / _LOG_2
    return min(_MAX_SCALE, max(_MIN_SCALE, scale))


def weigh_time(excess: float, scale: float) -> float:
    """Return the log-likelihood ratio of a time: 3 times slower or healthy."""
    return (abs(excess) - abs(excess - SLOWDOWN)) / scale


def weigh_hang(excess: float, scale: float) -> float:
    """Return the log-likelihood ratio of an unfinished request, at least 0.

    A healthy request exceeds ``excess`` with probability
    ``exp(-excess / scale) / 2``, a hung one always does.
    """
    if excess < SLOWDOWN:
        return 0
    return min(_MAX_HANG_WEIGHT, excess / scale + _LOG_2)


def weigh_outcome(*, failed: bool, error_share: float) -> float:
    """Return the log-likelihood ratio of a success or failure.

    :param error_share: error share of the siblings, 0 to 1.
    """
    healthy = max(_MIN_ERROR_SHARE, error_share)
    failing = max(_FAILING_ERROR_SHARE, _FAILING_ERROR_FACTOR * healthy)
    return _weigh_share(failed, healthy, failing)


def weigh_slow_share(*, slow: bool, slow_share: float) -> float:
    """Return the log-likelihood ratio of a request being slow or not.

    Detects a server that is slow for a share of its requests, which its
    other requests would outweigh in :func:`weigh_time`.

    :param slow_share: share of slow requests of the siblings, 0 to 1.
    """
    healthy = max(_MIN_SLOW_SHARE, slow_share)
    failing = max(_FAILING_SLOW_SHARE, _FAILING_SLOW_FACTOR * healthy)
    return _weigh_share(slow, healthy, failing)


def _weigh_share(hit: bool, healthy: float, failing: float) -> float:
    failing = min(_MAX_FAILING_SHARE, failing)
    if failing <= healthy:
        return 0
    if hit:
        return math.log(failing / healthy)
    return math.log((1 - failing) / (1 - healthy))
