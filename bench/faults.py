"""Simulated server faults, for trials of outlier policies."""

import enum
import random
import types

import attrs

_TAIL_SHARE = 0.03
_TAIL_FACTOR = 6.0
_LOG_SIGMA = 0.4


class Scope(enum.Enum):
    """The servers that a fault affects."""

    NONE = 'none'
    ONE = 'one'
    DOMAIN = 'domain'
    ALL = 'all'


@attrs.frozen
class Fault:
    """How a faulty server treats its requests.

    :param factor: by which it responds more slowly.
    :param share: of the requests that are slower, 0 to 1.
    :param errors: share of the requests that fail, including truncated ones.
    :param hangs: share of the requests without a response.
    :param hangs_reused: requests on reused connections hang, new connections
        work.
    :param good_seconds: seconds without the fault after each 10 s with it,
        0 if the fault is permanent.
    """

    scope: Scope = Scope.ONE
    factor: float = 1.0
    share: float = 1.0
    errors: float = 0
    hangs: float = 0
    hangs_reused: bool = False
    good_seconds: float = 0

    def is_on(self, elapsed: float) -> bool:
        """Return whether the fault is active at a time since its start.

        :param elapsed: seconds since the start of the fault.
        """
        if not self.good_seconds:
            return True
        return elapsed % (10 + self.good_seconds) < 10


@attrs.frozen
class Response:
    """The simulated response to one request.

    :param seconds: until the first byte; ``None`` if it hangs.
    """

    seconds: float | None
    failed: bool


HEALTHY = Fault(Scope.NONE)
FAULTS = types.MappingProxyType(
    {
        'fails all work, answers probes': Fault(errors=1),
        'hung with open connections': Fault(hangs=1),
        '3x slower': Fault(factor=3),
        '10x slower': Fault(factor=10),
        '3x slower on 30%': Fault(factor=3, share=0.3),
        '10x slower on 20%': Fault(factor=10, share=0.2),
        'errors on 20%': Fault(errors=0.2),
        'cut-short answers on 50%': Fault(errors=0.5),
        'flapping 10 s bad, 5 s good': Fault(errors=0.7, good_seconds=5),
        'silent open connections': Fault(hangs_reused=True),
        'failure domain 5x slower': Fault(Scope.DOMAIN, factor=5),
        'everything 5x slower': Fault(Scope.ALL, factor=5),
        'everything fails 30%': Fault(Scope.ALL, errors=0.3),
    },
)


def draw_seconds(rng: random.Random, median: float) -> float:
    """Draw a healthy service time: lognormal, with 3% 6 times longer.

    :param median: of the distribution, seconds.
    """
    seconds = median * rng.lognormvariate(0, _LOG_SIGMA)
    if rng.random() < _TAIL_SHARE:
        return seconds * _TAIL_FACTOR
    return seconds


def draw_response(
    rng: random.Random,
    median: float,
    fault: Fault,
    *,
    reused: bool,
) -> Response:
    """Draw the response of a server with a fault.

    :param median: healthy service time, seconds.
    :param reused: whether the request uses an open connection.
    """
    seconds = draw_seconds(rng, median)
    if rng.random() < fault.hangs or (fault.hangs_reused and reused):
        return Response(None, failed=True)
    if rng.random() < fault.errors:
        return Response(seconds / 5, failed=True)
    if rng.random() < fault.share:
        return Response(seconds * fault.factor, failed=False)
    return Response(seconds, failed=False)
