"""Request statistics of sibling servers: windows, summaries, baselines."""

import collections
import math
import random
import statistics
import threading
from collections.abc import Iterable

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import ServerSummary, Summary

_WINDOW_SECONDS = 10.0
_MAX_WINDOW_SAMPLES = 512
# Older summaries may predate an overload that is going on.
_MAX_SUMMARY_AGE_SECONDS = 15.0
# The median of fewer requests is too uncertain.
_MIN_REQUESTS = 3
_MIN_SIBLINGS = 2
_SLOW_FACTOR = 3
# Keeps a message well below the datagram limit of 1,200 bytes.
_MAX_SUMMARIES_PER_MESSAGE = 8
# Each message goes to this many random siblings.
EXCHANGE_FANOUT = 3
_EXCHANGE_INTERVAL_SECONDS = 2.0
# A node with more servers than this exchanges less often, because its control
# traffic is limited to 5 KB/s in total.
_SERVERS_AT_FULL_RATE = 4

_ServerKey = tuple[str, str]


@attrs.frozen
class Baseline:
    """Expected behavior for a class, as medians over sibling servers.

    :param median: service time in seconds.
    :param spread: median absolute deviation in seconds.
    :param error_share: from 0 to 1.
    :param siblings: number of servers that it is based on.
    :param slow_share: share of requests slower than 3 medians, 0 to 1.
    """

    median: float
    spread: float
    error_share: float
    siblings: int
    slow_share: float = 0


@attrs.frozen
class _Observation:
    at: float
    seconds: float
    failed: bool


@attrs.frozen
class _ReceivedSummary:
    """A summary and when its window ended, on the clock of this node."""

    summary: ServerSummary
    ended: float


def compute_exchange_interval(local_servers: int) -> float:
    """Return the time between two summaries of a server, in seconds.

    :param local_servers: servers behind this node.
    """
    return _EXCHANGE_INTERVAL_SECONDS * max(
        1, local_servers / _SERVERS_AT_FULL_RATE
    )


class Window:
    """Finished requests of one server and class in a sliding window."""

    def __init__(self) -> None:
        """Create an empty window."""
        self._observations: collections.deque[_Observation] = collections.deque(
            maxlen=_MAX_WINDOW_SAMPLES
        )

    def add(self, now: float, seconds: float, *, failed: bool) -> None:
        """Add a finished request.

        :param seconds: service time.
        """
        self._observations.append(_Observation(now, seconds, failed))

    def recent(self, now: float) -> list[_Observation]:
        """Return the requests in the window and drop older ones."""
        observations = self._observations
        while observations and observations[0].at < now - _WINDOW_SECONDS:
            observations.popleft()
        return list(observations)


class SiblingStatistics:
    """Windows of the servers of this node and summaries of their siblings.

    The baseline is a median over servers, so a minority that sends false
    figures cannot move it beyond what correct siblings report.
    """

    def __init__(
        self,
        node_id: str,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Create statistics without data.

        :param node_id: this node; its summaries from other nodes are ignored.
        :param random_source: selects the summaries to relay.
        """
        self._random = random_source or random.Random()
        self._node_id = node_id
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[tuple[str, str, str], Window] = {}
        self._received: dict[tuple[str, _ServerKey, str], _ReceivedSummary] = {}

    def record(
        self,
        service: str,
        server: str,
        work_class: str,
        seconds: float,
        *,
        failed: bool,
    ) -> None:
        """Record a finished request of a server of this node.

        :param seconds: service time.
        """
        with self._lock:
            key = (service, server, work_class)
            window = self._windows.setdefault(key, Window())
            window.add(self._clock.now(), seconds, failed=failed)

    def forget_server(self, server: str) -> None:
        """Drop the windows of a server of this node after its ejection."""
        with self._lock:
            for key in tuple(self._windows):
                if key[1] == server:
                    self._windows.pop(key)

    def merge(self, message: Summary) -> None:
        """Store the valid summaries that are newer than the present ones."""
        with self._lock:
            now = self._clock.now()
            for summary in message.servers:
                if summary.node_id == self._node_id or not _is_valid(summary):
                    continue
                self._store(summary, now)

    def compose(self, service: str) -> Summary:
        """Return the message for a sibling: local servers, then some others.

        The others are selected at random, so that each server of a large
        service is relayed eventually and no message exceeds the limit.
        """
        with self._lock:
            now = self._clock.now()
            local = self._summarize_local(service, now)
            relayed = [
                attrs.evolve(received.summary, age=now - received.ended)
                for received in self._find_recent(service, now)
            ]
            self._random.shuffle(relayed)
        return Summary(tuple((local + relayed)[:_MAX_SUMMARIES_PER_MESSAGE]))

    def baseline(
        self,
        service: str,
        server: str,
        work_class: str,
    ) -> Baseline | None:
        """Return the baseline of a class for a server of this node.

        :returns: ``None`` if fewer than two siblings have recent summaries.
        """
        with self._lock:
            now = self._clock.now()
            known = self._summarize_local(service, now)
            known.extend(
                received.summary for received in self._find_recent(service, now)
            )
        local_key = (self._node_id, server)
        return _combine(
            summary
            for summary in known
            if summary.work_class == work_class and _key(summary) != local_key
        )

    def _store(self, summary: ServerSummary, now: float) -> None:
        key = (summary.service, _key(summary), summary.work_class)
        ended = now - summary.age
        received = self._received.get(key)
        if received is None or ended > received.ended:
            self._received[key] = _ReceivedSummary(summary, ended)

    def _find_recent(self, service: str, now: float) -> list[_ReceivedSummary]:
        stale = [
            key
            for key, received in self._received.items()
            if received.ended < now - _MAX_SUMMARY_AGE_SECONDS
        ]
        for key in stale:
            self._received.pop(key)
        return [
            received
            for key, received in self._received.items()
            if key[0] == service
        ]

    def _summarize_local(self, service: str, now: float) -> list[ServerSummary]:
        summaries = []
        for key, window in self._windows.items():
            recent = window.recent(now)
            if key[0] == service and recent:
                _, server, work_class = key
                identity = (service, self._node_id, server, work_class)
                summaries.append(_summarize(identity, recent))
        return summaries


def _summarize(
    identity: tuple[str, str, str, str],
    recent: list[_Observation],
) -> ServerSummary:
    """Summarize a window; failures count for times only if all failed."""
    answered = [
        observation.seconds for observation in recent if not observation.failed
    ]
    times = answered or [observation.seconds for observation in recent]
    median = statistics.median(times)
    spread = statistics.median(abs(seconds - median) for seconds in times)
    failures = len(recent) - len(answered)
    slow = sum(seconds > _SLOW_FACTOR * median for seconds in times)
    return ServerSummary(
        *identity,
        count=len(recent),
        median=median,
        spread=spread,
        error_share=failures / len(recent),
        age=0,
        slow_share=slow / len(times),
    )


def _combine(summaries: Iterable[ServerSummary]) -> Baseline | None:
    """Return the medians over servers.

    Of two values the upper one counts, so that one server that reports
    falsely low times has no effect.
    """
    usable = [
        summary for summary in summaries if summary.count >= _MIN_REQUESTS
    ]
    if len(usable) < _MIN_SIBLINGS:
        return None
    return Baseline(
        statistics.median_high(summary.median for summary in usable),
        statistics.median_high(summary.spread for summary in usable),
        statistics.median_high(summary.error_share for summary in usable),
        len(usable),
        statistics.median_high(summary.slow_share for summary in usable),
    )


def _is_valid(summary: ServerSummary) -> bool:
    values = (
        summary.median,
        summary.spread,
        summary.error_share,
        summary.age,
        summary.slow_share,
    )
    if not all(math.isfinite(value) and value >= 0 for value in values):
        return False
    return max(summary.error_share, summary.slow_share) <= 1


def _key(summary: ServerSummary) -> _ServerKey:
    return (summary.node_id, summary.server)
