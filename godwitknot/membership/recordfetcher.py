"""Fetches records whose new versions were announced by rumors."""

import threading
from collections.abc import Iterable

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import VersionEntry
from godwitknot.control.records import NodeRecord
from godwitknot.membership.directory import Directory
from godwitknot.membership.reconcile import Reconciler
from godwitknot.membership.rumorsender import RumorSender
from godwitknot.units import Address

# A reply takes one round trip. After this time the record is requested from
# the next peer that announces it.
_REPLY_TIMEOUT_SECONDS = 1.0
_RETENTION_SECONDS = 60


@attrs.frozen
class _Fetch:
    freshness: tuple[int, int]
    requested_at: float


class PendingFetches:
    """Fetches in progress, so that a record is requested from one peer."""

    def __init__(self, clock: Clock) -> None:
        """Start without any fetch."""
        self._clock = clock
        self._fetches: dict[str, _Fetch] = {}
        self._lock = threading.Lock()

    def try_start(self, entry: VersionEntry) -> bool:
        """Record a fetch of a version.

        :returns: whether to request it now; not if a request of the same or
            a newer version was sent within the reply timeout.
        """
        now = self._clock.now()
        freshness = (entry.incarnation, entry.version)
        with self._lock:
            fetch = self._fetches.get(entry.node_id)
            if fetch is not None and fetch.freshness >= freshness:
                if now - fetch.requested_at < _REPLY_TIMEOUT_SECONDS:
                    return False
            self._fetches[entry.node_id] = _Fetch(freshness, now)
        return True

    def complete(self, record: NodeRecord) -> bool:
        """Remove the fetch of a record that arrived.

        :returns: whether this version or an older one had been requested.
        """
        earliest = self._clock.now() - _RETENTION_SECONDS
        with self._lock:
            fetch = self._fetches.pop(record.node_id, None)
            self._fetches = {
                node_id: other
                for node_id, other in self._fetches.items()
                if other.requested_at >= earliest
            }
        return fetch is not None and record.freshness >= fetch.freshness


class RecordFetcher:
    """Requests announced records, and announces those that arrived."""

    def __init__(
        self,
        directory: Directory,
        reconciler: Reconciler,
        rumor_sender: RumorSender,
        pending: PendingFetches,
    ) -> None:
        """Connect to the other parts of the control plane.

        :param pending: fetches in progress.
        """
        self._directory = directory
        self._reconciler = reconciler
        self._rumor_sender = rumor_sender
        self._pending = pending

    def handle_versions(
        self, entries: Iterable[VersionEntry], address: Address
    ) -> None:
        """Request records from the peer that announced new versions."""
        wanted = []
        for entry in entries:
            freshness = (entry.incarnation, entry.version)
            if not self._directory.is_new(entry.node_id, freshness):
                self._rumor_sender.buffer.record_duplicate(entry)
            elif self._pending.try_start(entry):
                wanted.append(entry.node_id)
        self._reconciler.request_records(address, wanted)

    def handle_record(self, node_id: str) -> None:
        """Announce a record that was fetched.

        Records that arrived through anti-entropy are not announced.
        """
        record = self._directory.node(node_id)
        if self._pending.complete(record):
            entry = VersionEntry(node_id, *record.freshness)
            self._rumor_sender.add(entry)
