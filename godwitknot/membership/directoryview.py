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
    """What the directory tells; methods may be called from any thread."""

    def __init__(self, own: NodeRecord, clock: Clock) -> None:
        """Start with the own record only."""
        self._lock = threading.RLock()
        self._own_id = own.node_id
        self._table = EntryTable(clock)
        self._table.put(own)

    @property
    def local_record(self) -> NodeRecord:
        """The own record."""
        return self._table[self._own_id].record

    @property
    def hash(self) -> int:
        """64-bit hash of all records and reports."""
        with self._lock:
            return self._table.hash.total

    @property
    def buckets(self) -> tuple[int, ...]:
        """32-bit hash of each bucket of node ids."""
        with self._lock:
            return self._table.hash.buckets

    @property
    def count(self) -> int:
        """Number of records, gone ones included."""
        return len(self._table)

    def node(self, node_id: str) -> NodeRecord | None:
        """Give the record of a node, also if it is gone."""
        entry = self._table.find(node_id)
        return entry.record if entry else None

    def nodes(self) -> list[NodeRecord]:
        """Give the records of all nodes that are not gone."""
        with self._lock:
            records = [entry.record for entry in self._table.all()]
        return [each for each in records if each.state is not NodeState.GONE]

    def is_reachable(self, node_id: str) -> bool:
        """Tell whether the fleet believes that a node is alive."""
        entry = self._table.find(node_id)
        return entry is not None and entry.ended_at is None

    def servers(self, service: str) -> list[LocatedServer]:
        """Give all servers of a service that are not gone."""
        with self._lock:
            return [
                LocatedServer(entry.record, server, entry.ended_at is None)
                for entry in self._table.with_service(service)
                for server in entry.record.servers
                if server.service == service
                and server.state is not ServerState.GONE
            ]

    def peak_server_count(self, service: str) -> int:
        """Give the largest number of servers of a service seen at one time.

        :returns: the maximum over the last 2 h, unreachable ones included.
        """
        with self._lock:
            return self._table.counts.peak_server_count(service)

    def watched(self) -> list[NodeRecord]:
        """Give the records of the peers that this node watches."""
        with self._lock:
            nodes = {each.node_id: each for each in self.nodes()}
            chosen = choose_watched(self.local_record, self._table.ring, nodes)
            return [nodes[peer] for peer in chosen]

    def reports(self, node_id: str) -> list[Unreachable]:
        """Give the reports that are held about a node's current version."""
        with self._lock:
            entry = self._table.find(node_id)
            if entry is None:
                return []
            return [
                Unreachable(watcher, node_id, *entry.record.freshness)
                for watcher in sorted(entry.watchers)
            ]

    def tombstone(self, node_id: str) -> NodeRecord | None:
        """Give the gone record of a forgotten node, for it to refute."""
        return self._table.tombstone(node_id)

    def entries(self, buckets: Iterable[int] = ()) -> list[VersionEntry]:
        """Give the versions held, of some buckets or of all."""
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
        """Tell whether a record of this freshness would be merged."""
        held = self.node(node_id) or self.tombstone(node_id)
        return held is None or freshness > held.freshness
