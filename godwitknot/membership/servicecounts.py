"""Number of servers of each service, now and at its recent peak."""

import collections

import attrs

from godwitknot.clock import Clock
from godwitknot.control.records import NodeRecord, NodeState, ServerState


@attrs.frozen
class _Peak:
    """An earlier server count of a service.

    :param ended_at: monotonic seconds when the count decreased.
    """

    count: int
    ended_at: float


def count_servers(record: NodeRecord | None) -> collections.Counter[str]:
    """Count the servers of a node by service, except those gone."""
    if record is None or record.state is NodeState.GONE:
        return collections.Counter()
    return collections.Counter(
        server.service
        for server in record.servers
        if server.state is not ServerState.GONE
    )


class ServiceCounts:
    """Current server count of each service and its peak while retained."""

    def __init__(self, clock: Clock, retention: float) -> None:
        """Create counts of zero servers.

        :param retention: seconds for which an earlier count is retained.
        """
        self._clock = clock
        self._retention = retention
        self._counts: collections.Counter[str] = collections.Counter()
        self._peaks: dict[str, collections.deque[_Peak]] = {}

    def replace(self, old: NodeRecord | None, new: NodeRecord | None) -> None:
        """Count a node's new record in place of its old one."""
        change = count_servers(new)
        change.subtract(count_servers(old))
        for service, difference in change.items():
            if difference < 0:
                self._record_peak(service)
            self._counts[service] += difference

    def peak_server_count(self, service: str) -> int:
        """Return the largest count within the retention period."""
        peaks = self._peaks.get(service, ())
        earliest = self._clock.now() - self._retention
        earlier = [peak.count for peak in peaks if peak.ended_at >= earliest]
        return max(*earlier, self._counts[service], 0)

    def _record_peak(self, service: str) -> None:
        now = self._clock.now()
        peaks = self._peaks.setdefault(service, collections.deque())
        while peaks and peaks[0].ended_at < now - self._retention:
            peaks.popleft()
        # A peak that ended earlier and is not higher can never be the
        # maximum again, so the deque stays in descending order.
        while peaks and peaks[-1].count <= self._counts[service]:
            peaks.pop()
        peaks.append(_Peak(self._counts[service], now))
