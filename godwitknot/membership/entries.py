"""Table of node records with its indexes; the merge rules are not here."""

import attrs

from godwitknot.clock import Clock
from godwitknot.control.records import NodeRecord, NodeState
from godwitknot.membership.directoryhash import DirectoryHash
from godwitknot.membership.ring import Ring
from godwitknot.membership.servicecounts import ServiceCounts

# A network partition between regions lasts about 1 h.
TOMBSTONE_SECONDS = 7200


@attrs.define
class Entry:
    """What the directory holds of one node.

    :param watchers: who reports this version of the record unreachable.
    :param ended_at: when it became gone or unreachable, if it is.
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
        """Start empty."""
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._by_service: dict[str, set[str]] = {}
        self.hash = DirectoryHash()
        self.ring = Ring()
        self.counts = ServiceCounts(clock, TOMBSTONE_SECONDS)

    def __len__(self) -> int:
        """Give the number of entries."""
        return len(self._entries)

    def __getitem__(self, node_id: str) -> Entry:
        """Give the entry of a node."""
        return self._entries[node_id]

    def find(self, node_id: str) -> Entry | None:
        """Give the entry of a node, if there is one."""
        return self._entries.get(node_id)

    def all(self) -> list[Entry]:
        """Give all entries."""
        return list(self._entries.values())

    def with_service(self, service: str) -> list[Entry]:
        """Give the entries of nodes with servers of a service, by id."""
        node_ids = sorted(self._by_service.get(service, ()))
        return [self._entries[node_id] for node_id in node_ids]

    def tombstone(self, node_id: str) -> NodeRecord | None:
        """Give the gone record of a forgotten node."""
        tombstone = self._tombstones.get(node_id)
        return tombstone.record if tombstone else None

    def put(self, record: NodeRecord) -> None:
        """Replace the record of a node; its reports are void then."""
        node_id = record.node_id
        old = self.find(node_id)
        ended_at = None
        if record.state is NodeState.GONE:
            # A tombstone needs no servers, and is small to send.
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
        """Add a report on the current version of a node's record."""
        entry = self._entries[node_id]
        entry.watchers |= {watcher}
        self.hash.replace(entry.record, entry.watchers)

    def expire(self, keep: str) -> set[str]:
        """Forget nodes gone or unreachable for 2 h.

        :param keep: id of a node that is never forgotten.
        :returns: ids of the nodes forgotten now.
        """
        now = self._clock.now()
        ended = {
            node_id
            for node_id, entry in self._entries.items()
            if entry.ended_at is not None
            and now - entry.ended_at > TOMBSTONE_SECONDS
            and node_id != keep
        }
        for node_id in ended:
            self._forget(node_id, now + TOMBSTONE_SECONDS)
        self._tombstones = {
            node_id: tombstone
            for node_id, tombstone in self._tombstones.items()
            if tombstone.until > now
        }
        return ended

    def _forget(self, node_id: str, until: float) -> None:
        # Other nodes forget at slightly different times. The freshness is
        # kept for as long again, so that they do not bring the record back.
        record = self._entries.pop(node_id).record
        gone = attrs.evolve(record, servers=(), state=NodeState.GONE)
        self._tombstones[node_id] = _Tombstone(gone, until)
        self.ring.remove(node_id)
        self.hash.remove(node_id)
        self._index(record, None)

    def _index(self, old: NodeRecord | None, new: NodeRecord | None) -> None:
        self.counts.replace(old, new)
        for former in old.servers if old else ():
            self._by_service[former.service].discard(old.node_id)
        for server in new.servers if new else ():
            self._by_service.setdefault(server.service, set()).add(new.node_id)
