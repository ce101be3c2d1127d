"""Read side of the node directory."""

import threading
from collections.abc import Iterable

from godwitknot.clock import Clock
from godwitknot.control.messages import Unreachable, VersionEntry
from godwitknot.control.records import (
    LocatedServer,
    NodeRecord,
    NodeState,
    ServerState,
)
from godwitknot.membership.directoryhash import BUCKETS, hash_watchers
from godwitknot.membership.entries import EntryTable
from godwitknot.membership.ring import choose_watched


class DirectoryView:
    """Queries on the directory; they may be called from any thread."""

    def __init__(self, local_record: NodeRecord, clock: Clock) -> None:
        """Create a directory that holds only the local record."""
        self._lock = threading.RLock()
        self._local_id = local_record.node_id
        self._table = EntryTable(clock)
        self._table.put(local_record)

    @property
    def local_record(self) -> NodeRecord:
        """The record of this node."""
        return self._table[self._local_id].record

    @property
    def hash(self) -> int:
        """64-bit hash of all record versions and reports."""
        with self._lock:
            return self._table.hash.total

    @property
    def buckets(self) -> tuple[int, ...]:
        """32-bit hash of each bucket of node ids."""
        with self._lock:
            return self._table.hash.buckets

    @property
    def count(self) -> int:
        """Number of records, including those of nodes that are gone."""
        return len(self._table)

    def node(self, node_id: str) -> NodeRecord | None:
        """Return the record of a node, also if it is gone, or ``None``."""
        entry = self._table.find(node_id)
        return entry.record if entry else None

    def nodes(self) -> list[NodeRecord]:
        """Return the records of all nodes that are not gone."""
        with self._lock:
            records = [entry.record for entry in self._table.all()]
        return [each for each in records if each.state is not NodeState.GONE]

    def is_reachable(self, node_id: str) -> bool:
        """Return whether a node counts as alive in the fleet."""
        entry = self._table.find(node_id)
        return entry is not None and entry.ended_at is None

    def servers(self, service: str) -> list[LocatedServer]:
        """Return all servers of a service that are not gone."""
        with self._lock:
            return [
                LocatedServer(entry.record, server, entry.ended_at is None)
                for entry in self._table.with_service(service)
                for server in entry.record.servers
                if server.service == service
                and server.state is not ServerState.GONE
            ]

    def peak_server_count(self, service: str) -> int:
        """Return the highest number of servers that a service had at a time.

        :returns: the maximum over the last 2 h, including unreachable ones.
        """
        with self._lock:
            return self._table.counts.peak_server_count(service)

    def watched(self) -> list[NodeRecord]:
        """Return the records of the peers that this node watches."""
        with self._lock:
            nodes = {each.node_id: each for each in self.nodes()}
            chosen = choose_watched(self.local_record, self._table.ring, nodes)
            return [nodes[peer] for peer in chosen]

    def reports(self, node_id: str) -> list[Unreachable]:
        """Return the reports about the current version of a node."""
        with self._lock:
            entry = self._table.find(node_id)
            if entry is None:
                return []
            return [
                Unreachable(watcher, node_id, *entry.record.freshness)
                for watcher in sorted(entry.watchers)
            ]

    def tombstone(self, node_id: str) -> NodeRecord | None:
        """Return the tombstone of a removed node, which the node refutes."""
        return self._table.tombstone(node_id)

    def entries(self, buckets: Iterable[int] = ()) -> list[VersionEntry]:
        """Return the versions of all records in some buckets.

        :param buckets: bucket numbers; all buckets if empty.
        """
        with self._lock:
            return [
                VersionEntry(
                    node_id,
                    *self._table[node_id].record.freshness,
                    hash_watchers(self._table[node_id].watchers),
                )
                for bucket in buckets or range(BUCKETS)
                for node_id in self._table.hash.members(bucket)
            ]

    def is_new(self, node_id: str, freshness: tuple[int, int]) -> bool:
        """Return whether a record of this freshness would be merged."""
        current = self.node(node_id) or self.tombstone(node_id)
        return current is None or freshness > current.freshness
