"""Statistics of sibling servers: windows, summaries and the baseline."""

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
_WINDOW_SAMPLES = 512
# Older summaries may be from before an overload began.
_STALE_SECONDS = 15.0
# A median of fewer requests says little about its server.
_MIN_REQUESTS = 3
_MIN_SIBLINGS = 2
_SLOW_FACTOR = 3
# Keeps a message well below the datagram limit of 1,200 bytes.
_SUMMARIES_PER_MESSAGE = 8
# Messages go to this many random siblings.
EXCHANGE_FANOUT = 3
_EXCHANGE_SECONDS = 2.0
# A node with more servers than this exchanges less often, because its
# control traffic is limited to 5 KB/s in all.
_SERVERS_AT_FULL_RATE = 4

_ServerKey = tuple[str, str]


@attrs.frozen
class Baseline:
    """What is normal for a class, as the median over sibling servers.

    :param median: service time in seconds.
    :param spread: median absolute deviation in seconds.
    :param error_share: from 0 to 1.
    :param siblings: servers that it rests on.
    :param slow_share: share of times above 3 medians, 0 to 1.
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
class _Held:
    """A summary and when its window ended, by the own clock."""

    summary: ServerSummary
    ended: float


def exchange_seconds(own_servers: int) -> float:
    """Give the time between two summaries of a server, in seconds.

    :param own_servers: servers behind this node.
    """
    return _EXCHANGE_SECONDS * max(1, own_servers / _SERVERS_AT_FULL_RATE)


class Window:
    """Requests of one server and class over the last seconds."""

    def __init__(self) -> None:
        """Start empty."""
        self._observations: collections.deque[_Observation] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )

    def add(self, now: float, seconds: float, *, failed: bool) -> None:
        """Add a finished request.

        :param seconds: service time.
        """
        self._observations.append(_Observation(now, seconds, failed))

    def recent(self, now: float) -> list[_Observation]:
        """Give the requests of the window and forget older ones."""
        kept = self._observations
        while kept and kept[0].at < now - _WINDOW_SECONDS:
            kept.popleft()
        return list(kept)


class SiblingStatistics:
    """Windows of the own servers and summaries of their siblings.

    A summary is trusted only as one voice: the baseline is a median over
    servers, so a minority that lies about itself cannot move it beyond
    what honest siblings report.
    """

    def __init__(
        self,
        node_id: str,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Start without knowledge.

        :param node_id: own node, whose summaries are taken from nobody else.
        :param random_source: draws the summaries to relay.
        """
        self._random = random_source or random.Random()
        self._node_id = node_id
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[tuple[str, str, str], Window] = {}
        self._held: dict[tuple[str, _ServerKey, str], _Held] = {}

    def record(
        self,
        service: str,
        server: str,
        work_class: str,
        seconds: float,
        *,
        failed: bool,
    ) -> None:
        """Count a finished request of an own server."""
        with self._lock:
            place = (service, server, work_class)
            window = self._windows.setdefault(place, Window())
            window.add(self._clock.now(), seconds, failed=failed)

    def forget_server(self, server: str) -> None:
        """Drop the windows of an own server, after it was ejected."""
        with self._lock:
            for place in tuple(self._windows):
                if place[1] == server:
                    self._windows.pop(place)

    def merge(self, message: Summary) -> None:
        """Take over what a sibling knows, unless it is older or invalid."""
        with self._lock:
            now = self._clock.now()
            for summary in message.servers:
                if summary.node_id == self._node_id or not _is_valid(summary):
                    continue
                self._keep(summary, now)

    def compose(self, service: str) -> Summary:
        """Give the message for a sibling: own servers, then some others.

        The others are drawn at random, so that each server of a large
        service is relayed now and then and no message exceeds the limit.
        """
        with self._lock:
            now = self._clock.now()
            own = self._summarize_own(service, now)
            relayed = [
                attrs.evolve(held.summary, age=now - held.ended)
                for held in self._fresh(service, now)
            ]
            self._random.shuffle(relayed)
        return Summary(tuple((own + relayed)[:_SUMMARIES_PER_MESSAGE]))

    def baseline(
        self,
        service: str,
        server: str,
        work_class: str,
    ) -> Baseline | None:
        """Give what is normal for a class on the siblings of an own server.

        :returns: ``None`` with fewer than two siblings with fresh summaries.
        """
        with self._lock:
            now = self._clock.now()
            known = self._summarize_own(service, now)
            known.extend(held.summary for held in self._fresh(service, now))
        own_key = (self._node_id, server)
        return _combine(
            summary
            for summary in known
            if summary.work_class == work_class and _key(summary) != own_key
        )

    def _keep(self, summary: ServerSummary, now: float) -> None:
        place = (summary.service, _key(summary), summary.work_class)
        ended = now - summary.age
        held = self._held.get(place)
        if held is None or ended > held.ended:
            self._held[place] = _Held(summary, ended)

    def _fresh(self, service: str, now: float) -> list[_Held]:
        stale = [
            place
            for place, held in self._held.items()
            if held.ended < now - _STALE_SECONDS
        ]
        for place in stale:
            self._held.pop(place)
        return [
            held for place, held in self._held.items() if place[0] == service
        ]

    def _summarize_own(self, service: str, now: float) -> list[ServerSummary]:
        summaries = []
        for place, window in self._windows.items():
            recent = window.recent(now)
            if place[0] == service and recent:
                _, server, work_class = place
                identity = (service, self._node_id, server, work_class)
                summaries.append(_summarize(identity, recent))
        return summaries


def _summarize(
    identity: tuple[str, str, str, str],
    recent: list[_Observation],
) -> ServerSummary:
    """Summarize; failures have no service time unless all failed."""
    answered = [seen.seconds for seen in recent if not seen.failed]
    times = answered or [seen.seconds for seen in recent]
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
    """Give the medians; of two, the upper one, so that a low lie is void."""
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
    figures = (
        summary.median,
        summary.spread,
        summary.error_share,
        summary.age,
        summary.slow_share,
    )
    if not all(math.isfinite(figure) and figure >= 0 for figure in figures):
        return False
    return max(summary.error_share, summary.slow_share) <= 1


def _key(summary: ServerSummary) -> _ServerKey:
    return (summary.node_id, summary.server)
