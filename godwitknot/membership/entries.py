"""Table of node records with its indexes.

Which record replaces another one is decided in the directory module.
"""

import attrs

from godwitknot.clock import Clock
from godwitknot.control.records import NodeRecord, NodeState
from godwitknot.membership.directoryhash import DirectoryHash
from godwitknot.membership.ring import Ring
from godwitknot.membership.servicecounts import ServiceCounts

# Must exceed a network partition between regions, which lasts about 1 h, so
# that the separated nodes cannot bring a removed record back.
TOMBSTONE_SECONDS = 7200


@attrs.define
class Entry:
    """The state of one node in the directory.

    :param watchers: ids of the nodes that report this version of the record
        as unreachable.
    :param ended_at: monotonic seconds when the node became gone or
        unreachable; ``None`` while it is alive.
    """

    record: NodeRecord
    watchers: frozenset[str] = frozenset()
    ended_at: float | None = None


@attrs.frozen
class _Tombstone:
    record: NodeRecord
    until: float


class EntryTable:
    """Entries by node id, indexed by service, ring position and hash."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._by_service: dict[str, set[str]] = {}
        self.hash = DirectoryHash()
        self.ring = Ring()
        self.counts = ServiceCounts(clock, TOMBSTONE_SECONDS)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __getitem__(self, node_id: str) -> Entry:
        """Return the entry of a node."""
        return self._entries[node_id]

    def find(self, node_id: str) -> Entry | None:
        """Return the entry of a node, or ``None``."""
        return self._entries.get(node_id)

    def all(self) -> list[Entry]:
        """Return all entries."""
        return list(self._entries.values())

    def with_service(self, service: str) -> list[Entry]:
        """Return the entries of nodes with servers of a service, by id."""
        node_ids = sorted(self._by_service.get(service, ()))
        return [self._entries[node_id] for node_id in node_ids]

    def tombstone(self, node_id: str) -> NodeRecord | None:
        """Return the tombstone record of a removed node, or ``None``."""
        tombstone = self._tombstones.get(node_id)
        return tombstone.record if tombstone else None

    def put(self, record: NodeRecord) -> None:
        """Add or replace the record of a node, without its reports."""
        node_id = record.node_id
        old = self.find(node_id)
        ended_at = None
        if record.state is NodeState.GONE:
            # Nobody needs the servers of a node that is gone, and the record
            # is smaller to send without them.
            record = attrs.evolve(record, servers=())
            ended_at = self._clock.now()
            self.ring.remove(node_id)
        else:
            self.ring.add(node_id)
        self._entries[node_id] = Entry(record, ended_at=ended_at)
        self._tombstones.pop(node_id, None)
        self.hash.replace(record, frozenset())
        self._index(old.record if old else None, record)

    def add_watcher(self, node_id: str, watcher: str) -> None:
        """Add a report that the current version of a node is unreachable."""
        entry = self._entries[node_id]
        entry.watchers |= {watcher}
        self.hash.replace(entry.record, entry.watchers)

    def remove_expired(self, keep_id: str) -> set[str]:
        """Remove nodes that have been gone or unreachable for 2 h.

        :param keep_id: id of a node that is never removed.
        :returns: ids of the nodes removed.
        """
        now = self._clock.now()
        ended = {
            node_id
            for node_id, entry in self._entries.items()
            if entry.ended_at is not None
            and now - entry.ended_at > TOMBSTONE_SECONDS
            and node_id != keep_id
        }
        for node_id in ended:
            self._remove(node_id, now + TOMBSTONE_SECONDS)
        self._tombstones = {
            node_id: tombstone
            for node_id, tombstone in self._tombstones.items()
            if tombstone.until > now
        }
        return ended

    def _remove(self, node_id: str, until: float) -> None:
        # Other nodes remove the record at slightly different times. Its
        # freshness is kept for the same time again, so that they do not
        # bring it back.
        record = self._entries.pop(node_id).record
        gone = attrs.evolve(record, servers=(), state=NodeState.GONE)
        self._tombstones[node_id] = _Tombstone(gone, until)
        self.ring.remove(node_id)
        self.hash.remove(node_id)
        self._index(record, None)

    def _index(self, old: NodeRecord | None, new: NodeRecord | None) -> None:
        self.counts.replace(old, new)
        for old_server in old.servers if old else ():
            self._by_service[old_server.service].discard(old.node_id)
        for server in new.servers if new else ():
            self._by_service.setdefault(server.service, set()).add(new.node_id)
