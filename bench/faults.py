"""Faults of generated requests, for trials of outlier policies."""

import enum
import random
import types

import attrs

_HEAVY_SHARE = 0.03
_HEAVY_FACTOR = 6.0
_SCATTER = 0.4


class Scope(enum.Enum):
    """Which servers have the fault."""

    NONE = 'none'
    ONE = 'one'
    DOMAIN = 'domain'
    ALL = 'all'


@attrs.frozen
class Fault:
    """What a faulty server does to its requests.

    :param factor: how much slower it answers.
    :param share: of the requests that are slower, 0 to 1.
    :param errors: share of the requests that fail, cut-short ones included.
    :param hangs: share of the requests that are never answered.
    :param hangs_reused: open connections hang, new ones work.
    :param good_seconds: time without the fault after each 10 s, 0 if none.
    """

    scope: Scope = Scope.ONE
    factor: float = 1.0
    share: float = 1.0
    errors: float = 0
    hangs: float = 0
    hangs_reused: bool = False
    good_seconds: float = 0

    def is_on(self, elapsed: float) -> bool:
        """Tell whether a flapping server is in its bad phase."""
        if not self.good_seconds:
            return True
        return elapsed % (10 + self.good_seconds) < 10


@attrs.frozen
class Response:
    """What happens to one request.

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


def draw_seconds(source: random.Random, median: float) -> float:
    """Draw a healthy service time: lognormal, and 3% are 6 times longer."""
    seconds = median * source.lognormvariate(0, _SCATTER)
    if source.random() < _HEAVY_SHARE:
        return seconds * _HEAVY_FACTOR
    return seconds


def draw_response(
    source: random.Random,
    median: float,
    fault: Fault,
    *,
    reused: bool,
) -> Response:
    """Draw what a server with a fault does to a request."""
    seconds = draw_seconds(source, median)
    if source.random() < fault.hangs or (fault.hangs_reused and reused):
        return Response(None, failed=True)
    if source.random() < fault.errors:
        return Response(seconds / 5, failed=True)
    if source.random() < fault.share:
        return Response(seconds * fault.factor, failed=False)
    return Response(seconds, failed=False)
