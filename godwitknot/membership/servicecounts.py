"""Largest number of servers of each service seen at one time."""

import collections

import attrs

from godwitknot.clock import Clock
from godwitknot.control.records import NodeRecord, NodeState, ServerState


@attrs.frozen
class _Peak:
    """A former count.

    :param ended_at: monotonic seconds when it dropped.
    """

    count: int
    ended_at: float


def count_servers(record: NodeRecord | None) -> collections.Counter[str]:
    """Count the servers of a node by service, without those gone."""
    if record is None or record.state is NodeState.GONE:
        return collections.Counter()
    return collections.Counter(
        server.service
        for server in record.servers
        if server.state is not ServerState.GONE
    )


class ServiceCounts:
    """Current count of each service and its peak within the hold time."""

    def __init__(self, clock: Clock, hold: float) -> None:
        """Start with no servers.

        :param hold: seconds for which a former count is remembered.
        """
        self._clock = clock
        self._hold = hold
        self._counts: collections.Counter[str] = collections.Counter()
        self._peaks: dict[str, collections.deque[_Peak]] = {}

    def replace(self, old: NodeRecord | None, new: NodeRecord | None) -> None:
        """Count a node's new record in place of its old one."""
        change = count_servers(new)
        change.subtract(count_servers(old))
        for service, difference in change.items():
            if difference < 0:
                self._note_peak(service)
            self._counts[service] += difference

    def peak_server_count(self, service: str) -> int:
        """Give the largest count within the hold time."""
        peaks = self._peaks.get(service, ())
        earliest = self._clock.now() - self._hold
        former = [peak.count for peak in peaks if peak.ended_at >= earliest]
        return max(*former, self._counts[service], 0)

    def _note_peak(self, service: str) -> None:
        now = self._clock.now()
        peaks = self._peaks.setdefault(service, collections.deque())
        while peaks and peaks[0].ended_at < now - self._hold:
            peaks.popleft()
        # A lower peak that ended earlier never is the largest again.
        while peaks and peaks[-1].count <= self._counts[service]:
            peaks.pop()
        peaks.append(_Peak(self._counts[service], now))
