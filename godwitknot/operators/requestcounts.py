"""Request counts and latencies by class of work over the last hour."""

import collections
import threading
from collections.abc import Iterable
from typing import Any

import attrs
import cattrs
from hdrh.histogram import HdrHistogram

from godwitknot.clock import Clock
from godwitknot.declarations.declaration import WorkClass
from godwitknot.errors import ProtocolError
from godwitknot.outcomes import Code

MINUTE_SECONDS = 60
WINDOW_MINUTES = 60
# Two histograms are kept, each of half the window; the later one is still
# being filled.
_HISTOGRAM_MINUTES = 30
_TICKS_PER_SECOND = 10000
_MAX_LATENCY_SECONDS = 600
_MAX_TICKS = _MAX_LATENCY_SECONDS * _TICKS_PER_SECOND
_SIGNIFICANT_DIGITS = 2
_MIN_SERVER_ERROR = 500
# The latest minutes are kept when the wall clock is set back by up to this.
_MAX_CLOCK_STEP_MINUTES = 5
_CONVERTER = cattrs.Converter()

# Errors of the caller, which do not count against the service.
_CALLER_CODES = frozenset(
    (
        Code.KEY_REQUIRED,
        Code.KEY_INVALID,
        Code.KEY_REUSED,
        Code.BODY_TOO_LARGE,
        Code.BAD_REQUEST,
        Code.LENGTH_REQUIRED,
        Code.CANCELLED,
    ),
)


@attrs.define
class Tally:
    """Counts of requests of one class by result.

    :param good: answered within the latency target.
    :param slow: answered, but later than the latency target.
    :param failed: server errors and lost responses.
    :param refused: refused by the fleet, by code.
    :param excluded: errors of the caller, which count in no objective.
    """

    good: int = 0
    slow: int = 0
    failed: int = 0
    excluded: int = 0
    refused: dict[Code, int] = attrs.Factory(dict)

    @property
    def answered(self) -> int:
        """Requests that were answered without an error."""
        return self.good + self.slow

    @property
    def total(self) -> int:
        """Requests that count towards the success objective."""
        return self.answered + self.failed + sum(self.refused.values())

    def add(self, other: 'Tally') -> None:
        """Add the counts of another tally."""
        self.good += other.good
        self.slow += other.slow
        self.failed += other.failed
        self.excluded += other.excluded
        for code, count in other.refused.items():
            self.refused[code] = self.refused.get(code, 0) + count


@attrs.define
class ClassCounts:
    """Counts of one class over the window.

    :param minutes: tallies by minute since the epoch.
    :param latencies: encoded histograms of the answered requests, in units
        of 0.1 ms.
    """

    minutes: dict[int, Tally] = attrs.Factory(dict)
    latencies: tuple[str, ...] = ()

    def sum_since(self, minute: int) -> Tally:
        """Add up the tallies from a minute on, this one included."""
        tally = Tally()
        for at, counts in self.minutes.items():
            if at >= minute:
                tally.add(counts)
        return tally

    def find_quantile(self, share: float) -> float:
        """Return a latency quantile.

        :param share: from 0 to 1.
        :returns: seconds, 0 without requests.
        """
        merged = _make_histogram()
        for text in self.latencies:
            merged.add(HdrHistogram.decode(text))
        ticks = merged.get_value_at_percentile(share * 100)
        return ticks / _TICKS_PER_SECOND


@attrs.define
class CountsSnapshot:
    """Counts of all classes, of one node or of several.

    :param nodes: ids of the nodes counted.
    """

    nodes: tuple[str, ...] = ()
    classes: dict[str, ClassCounts] = attrs.Factory(dict)


def merge_snapshots(snapshots: Iterable[CountsSnapshot]) -> CountsSnapshot:
    """Add up the counts of several nodes."""
    merged = CountsSnapshot()
    for snapshot in snapshots:
        merged.nodes = (*merged.nodes, *snapshot.nodes)
        for name, counts in snapshot.classes.items():
            total = merged.classes.setdefault(name, ClassCounts())
            total.latencies = (*total.latencies, *counts.latencies)
            for minute, tally in counts.minutes.items():
                total.minutes.setdefault(minute, Tally()).add(tally)
    return merged


def snapshot_to_json(snapshot: CountsSnapshot) -> dict[str, Any]:
    """Convert a snapshot to objects that JSON can represent."""
    return _CONVERTER.unstructure(snapshot)


def snapshot_from_json(raw: Any) -> CountsSnapshot:
    """Parse what :func:`snapshot_to_json` returned at another node.

    :raises ProtocolError: if it is malformed.
    """
    try:
        return _CONVERTER.structure(raw, CountsSnapshot)
    except cattrs.BaseValidationError as error:
        raise ProtocolError('malformed counts of a peer') from error


class RequestCounter:
    """Counts the requests that this node accepted as ingress.

    Memory is bounded: tallies of the last hour and two histograms for each
    class, about 20 KB per class.
    """

    def __init__(self, node_id: str, clock: Clock) -> None:
        """Create a counter without counts.

        :param node_id: id of this node, which the snapshots carry.
        """
        self._node_id = node_id
        self._clock = clock
        self._lock = threading.Lock()
        self._classes: dict[str, _ClassCounter] = {}

    def record_request(
        self,
        work: WorkClass,
        status: int,
        seconds: float,
        code: Code | None,
    ) -> None:
        """Count an ended request.

        :param work: its class.
        :param status: HTTP status that the caller got.
        :param seconds: from acceptance to the first byte of the response.
        :param code: refusal code, ``None`` if a server answered.
        """
        if code is not None:
            self.record_refusal(work, code)
        elif status >= _MIN_SERVER_ERROR:
            self.record_failure(work)
        else:
            self.record_response(work, seconds)

    def record_response(self, work: WorkClass, seconds: float) -> None:
        """Count a request that a server answered without an error.

        :param work: its class.
        :param seconds: from acceptance to the first byte of the response.
        """
        with self._lock:
            class_counter, tally = self._open_counts(work)
            if seconds > work.latency.seconds:
                tally.slow += 1
            else:
                tally.good += 1
            class_counter.record(self._current_minute(), seconds)

    def record_failure(self, work: WorkClass) -> None:
        """Count a request with a server error or a lost response."""
        with self._lock:
            _, tally = self._open_counts(work)
            tally.failed += 1

    def record_refusal(self, work: WorkClass, code: Code) -> None:
        """Count a request that the fleet refused."""
        with self._lock:
            _, tally = self._open_counts(work)
            if code in _CALLER_CODES:
                tally.excluded += 1
            else:
                tally.refused[code] = tally.refused.get(code, 0) + 1

    def snapshot(self) -> CountsSnapshot:
        """Copy the counts of the last hour."""
        with self._lock:
            return CountsSnapshot(
                nodes=(self._node_id,),
                classes={
                    name: class_counter.copy(self._current_minute())
                    for name, class_counter in self._classes.items()
                },
            )

    def _current_minute(self) -> int:
        return int(self._clock.wall() // MINUTE_SECONDS)

    def _open_counts(self, work: WorkClass) -> tuple['_ClassCounter', Tally]:
        class_counter = self._classes.get(work.name)
        if class_counter is None:
            class_counter = _ClassCounter()
            self._classes[work.name] = class_counter
        return class_counter, class_counter.open_minute(self._current_minute())


class _ClassCounter:
    """Counts of one class; the caller holds the lock."""

    def __init__(self) -> None:
        self._minutes: dict[int, Tally] = {}
        # Half hour since the epoch and its histogram, the latest last.
        self._histograms: collections.deque[tuple[int, HdrHistogram]]
        self._histograms = collections.deque(maxlen=2)

    def open_minute(self, minute: int) -> Tally:
        tally = self._minutes.get(minute)
        if tally is None:
            tally = Tally()
            self._minutes[minute] = tally
            self._drop_expired(minute)
        return tally

    def record(self, minute: int, seconds: float) -> None:
        half_hour = minute // _HISTOGRAM_MINUTES
        if not self._histograms or self._histograms[-1][0] != half_hour:
            self._histograms.append((half_hour, _make_histogram()))
        ticks = min(_MAX_TICKS, max(1, int(seconds * _TICKS_PER_SECOND)))
        self._histograms[-1][1].record_value(ticks)

    def copy(self, minute: int) -> ClassCounts:
        self._drop_expired(minute)
        oldest = (minute - WINDOW_MINUTES) // _HISTOGRAM_MINUTES
        counts = ClassCounts(
            latencies=tuple(
                histogram.encode().decode()
                for half_hour, histogram in self._histograms
                if half_hour > oldest
            ),
        )
        for at, tally in self._minutes.items():
            counts.minutes[at] = Tally()
            counts.minutes[at].add(tally)
        return counts

    def _drop_expired(self, minute: int) -> None:
        # Minutes far in the future were counted before the wall clock was
        # set back; they would not expire by their age.
        newest = minute + _MAX_CLOCK_STEP_MINUTES
        for at in list(self._minutes):
            if not minute - WINDOW_MINUTES < at <= newest:
                self._minutes.pop(at)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_TICKS, _SIGNIFICANT_DIGITS)
