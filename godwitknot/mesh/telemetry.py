"""Counters, levels and latency histograms in the Prometheus text format."""

import bisect
import collections
import importlib
from collections.abc import Callable, Mapping

import attrs

from godwitknot.overload.workcounts import WorkCounts

# Upper bounds that cover the objectives of 0.2 to 8 s that operators declare.
_BUCKET_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8)


# Counts by account and result.
Labelled = Mapping[str, Mapping[str, int]]
# Values by those of the labels.
LabelledValues = Mapping[tuple[str, ...], float]
# Accounts with counters of their own; each has one for each result. The others
# are counted together.
_MAX_ACCOUNTS = 200
_OTHER_ACCOUNTS = '(other)'

# Rendering imports a library that would take a fifth of the start of a node.
_RENDERER = 'godwitknot.mesh.exposition'


@attrs.define
class Histogram:
    """Counts durations by bucket.

    :ivar counts: one for each upper bound, and one for longer durations.
    :ivar total: sum of all durations in seconds.
    """

    bounds: tuple[float, ...] = _BUCKET_SECONDS
    counts: list[int] = attrs.field(
        factory=lambda: [0 for _ in range(len(_BUCKET_SECONDS) + 1)]
    )
    total: float = 0

    def observe(self, seconds: float) -> None:
        """Count a duration."""
        self.counts[bisect.bisect_left(self.bounds, seconds)] += 1
        self.total += seconds


@attrs.frozen
class Family:
    """Counters or levels that differ in their labels.

    :param labels: names of the labels.
    :param read: returns the values, when the metrics are rendered.
    :param is_level: whether values may fall.
    """

    labels: tuple[str, ...]
    read: Callable[[], LabelledValues]
    is_level: bool = False


class Telemetry:
    """Counters and histograms of one node."""

    def __init__(self) -> None:
        """Create a registry without metrics."""
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, Callable[[], int]] = {}
        self._labelled: dict[str, Labelled] = {}
        self._families: dict[str, Family] = {}
        # Requests by account and result.
        self._account_requests: dict[str, collections.Counter[str]] = {}
        self.add_labelled('account_requests', self._account_requests)

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter, creating it on first use.

        :param name: in snake case, without unit and prefix.
        """
        self._counters[name] += amount

    def count_account(self, account: str, outcome: str) -> None:
        """Count a request of a client account.

        :param account: name of the account.
        :param outcome: what became of the request.
        """
        counts = self._account_requests.get(account)
        if counts is None:
            if len(self._account_requests) >= _MAX_ACCOUNTS:
                account = _OTHER_ACCOUNTS
            counts = self._account_requests.setdefault(
                account, collections.Counter()
            )
        counts[outcome] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a latency histogram, creating it on first use.

        :param name: in snake case, ends in ``_seconds``.
        """
        self._histograms.setdefault(name, Histogram()).observe(seconds)

    def add_gauge(self, name: str, read: Callable[[], int]) -> None:
        """Add a level, which is read when the metrics are rendered.

        :param name: in snake case, without prefix.
        """
        self._gauges[name] = read

    def add_labelled(self, name: str, counts: Labelled) -> None:
        """Add counters by account and result.

        :param name: in snake case, without unit and prefix.
        :param counts: read at each rendering.
        """
        self._labelled[name] = counts

    def add_family(self, name: str, family: Family) -> None:
        """Add counters or levels with labels.

        :param name: in snake case, without prefix.
        """
        self._families[name] = family

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        renderer = importlib.import_module(_RENDERER)
        return renderer.render(
            self._counters,
            self._histograms,
            self._gauges,
            self._labelled,
            self._families,
        )


def add_work_metrics(telemetry: Telemetry, counts: WorkCounts) -> None:
    """Add the counts of requests by service and route."""
    work = ('service', 'route')
    for name, family in (
        ('work_requests', Family((*work, 'result'), counts.read_results)),
        ('work_answers', Family((*work, 'place'), counts.read_places)),
        ('work_waiting', Family(work, counts.count_waiting, is_level=True)),
        (
            'work_longest_wait_seconds',
            Family(work, counts.find_longest_waits, is_level=True),
        ),
    ):
        telemetry.add_family(name, family)
