"""Directory of nodes and their servers: merge rules and reachability."""

import enum
from collections.abc import Callable, Iterable

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import RecordChange, Unreachable
from godwitknot.control.recordchanges import ReassemblyBuffer, apply_change
from godwitknot.control.records import NodeRecord, NodeState, ServerState
from godwitknot.errors import SupersededError
from godwitknot.membership.directoryview import DirectoryView
from godwitknot.membership.entries import Entry
from godwitknot.membership.refutation import RefutationBackoff

# Reports of two watchers are needed, so that one broken link does not make a
# node unreachable.
_QUORUM = 2
# One millisecond, as incarnations are counted.
_INCARNATION_STEP = 65536

Subscriber = Callable[[NodeRecord], None]


class MergeResult(enum.Enum):
    """Result of merging a change into the directory."""

    APPLIED = enum.auto()
    KNOWN = enum.auto()
    INCOMPLETE = enum.auto()
    BASE_MISSING = enum.auto()


class Directory(DirectoryView):
    """Records of all nodes, with the merge rules and reachability.

    Of two records of a node the one of the higher incarnation, then of the
    higher version, is kept. Subscribers are called after the change, on the
    thread that made it.
    """

    def __init__(self, local: NodeRecord, clock: Clock) -> None:
        """Create a directory that holds only the local record."""
        super().__init__(local, clock)
        self._clock = clock
        self._reassembly = ReassemblyBuffer()
        self._refutation_backoff = RefutationBackoff(clock)
        self._subscribers: list[Subscriber] = []

    def subscribe(self, callback: Subscriber) -> None:
        """Call back when a node's record or reachability changes.

        :param callback: called with the record of the node.
        """
        self._subscribers.append(callback)

    def update_local_record(self, **changes: object) -> NodeRecord:
        """Change fields of the local record and increment its version."""
        with self._lock:
            self._update_local(changes)
        self._notify({self._local_id})
        return self.local_record

    def set_server_state(
        self,
        name: str,
        state: ServerState,
        **changes: object,
    ) -> NodeRecord:
        """Set the state of a server of this node.

        :param changes: other fields of the server to change as well.
        :raises KeyError: if this node has no server of this name.
        """
        with self._lock:
            if self.local_record.find_server(name) is None:
                raise KeyError(name)
            servers = tuple(
                attrs.evolve(server, state=state, **changes)
                if server.name == name
                else server
                for server in self.local_record.servers
            )
            self._update_local({'servers': servers})
        # The lock is not held here: subscribers take other locks and read
        # the directory, so that holding it could lead to a deadlock.
        self._notify({self._local_id})
        return self.local_record

    def merge(self, record: NodeRecord) -> bool:
        """Merge a complete record, if it is newer than the current one.

        :returns: whether the directory changed.
        :raises SupersededError: if another process uses the local node id.
        """
        return self.merge_change(RecordChange(record)) is MergeResult.APPLIED

    def merge_change(self, change: RecordChange) -> MergeResult:
        """Merge a record, a part of a record, or a delta to one.

        :raises SupersededError: if another process uses the local node id.
        """
        node_id = change.record.node_id
        with self._lock:
            if node_id == self._local_id:
                result = self._merge_local(change.record)
            else:
                result = self._merge_other(change)
        if result is MergeResult.APPLIED:
            self._notify({node_id})
        return result

    def report_unreachable(self, message: Unreachable) -> bool:
        """Record a watcher's report; refute it if it is about this node.

        :returns: whether the report was new and about the current version.
        """
        freshness = (message.incarnation, message.version)
        with self._lock:
            entry = self._table.find(message.node_id)
            if entry is None or entry.record.freshness != freshness:
                return False
            if message.watcher in entry.watchers:
                return False
            self._table.add_watcher(message.node_id, message.watcher)
            changed = self._update_reachability()
        self._notify(changed)
        return True

    def expire_and_refute(self) -> None:
        """Remove expired nodes, and refute reports if that is due."""
        with self._lock:
            changed = self._table.remove_expired(keep_id=self._local_id)
            changed |= self._update_reachability()
        self._notify(changed)

    def _update_local(self, changes: dict[str, object]) -> None:
        version = self.local_record.version + 1
        self._table.put(
            attrs.evolve(self.local_record, version=version, **changes)
        )

    def _merge_other(self, change: RecordChange) -> MergeResult:
        node_id = change.record.node_id
        if not self.is_new(node_id, change.record.freshness):
            return MergeResult.KNOWN
        complete = self._reassembly.add_part(change)
        if complete is None:
            return MergeResult.INCOMPLETE
        record = complete.record
        if complete.base:
            current = self.node(node_id)
            if not _can_apply(current, complete):
                return MergeResult.BASE_MISSING
            record = apply_change(current, record)
        self._reassembly.discard(node_id)
        self._table.put(record)
        return MergeResult.APPLIED

    def _merge_local(self, record: NodeRecord) -> MergeResult:
        local = self.local_record
        if record.incarnation > local.incarnation:
            # An earlier process of this node id at the same address cannot
            # run any more. Its clock was ahead of this one, so this process
            # continues above its incarnation.
            if record.peer != local.peer and record.state is not NodeState.GONE:
                raise SupersededError(
                    f'node id {local.node_id} is in use at {record.peer}'
                )
            incarnation = record.incarnation + _INCARNATION_STEP
            self._table.put(attrs.evolve(local, incarnation=incarnation))
            return MergeResult.APPLIED
        if local.state is NodeState.GONE or record.freshness < local.freshness:
            return MergeResult.KNOWN
        if record.freshness == local.freshness and record.state is local.state:
            return MergeResult.KNOWN
        self._table.put(attrs.evolve(local, version=record.version + 1))
        return MergeResult.APPLIED

    def _update_reachability(self) -> set[str]:
        """Update the reachability of all nodes that reports exist about.

        A single report is enough while no other watcher is free of reports
        itself, so a change of another node can make a node reachable again.

        :returns: ids of the nodes that changed, including the local id if
            this node refuted its reports.
        """
        reported = [
            entry
            for entry in self._table.all()
            if entry.watchers and entry.record.state is not NodeState.GONE
        ]
        return {
            entry.record.node_id
            for entry in reported
            if self._update_entry(entry)
        }

    def _update_entry(self, entry: Entry) -> bool:
        node_id = entry.record.node_id
        unreachable = self._has_quorum(node_id, entry.watchers)
        if node_id == self._local_id:
            return unreachable and self._refute()
        if unreachable is (entry.ended_at is not None):
            return False
        entry.ended_at = self._clock.now() if unreachable else None
        return True

    def _has_quorum(self, node_id: str, watchers: frozenset[str]) -> bool:
        if len(watchers) >= _QUORUM:
            return True
        # A single report is enough if all other watchers are reported too.
        unreported = {
            watcher
            for watcher in self._table.ring.neighbors(node_id)
            if not self._table[watcher].watchers
        }
        return unreported <= watchers

    def _refute(self) -> bool:
        if (
            self.local_record.state is NodeState.GONE
            or not self._refutation_backoff.try_refute()
        ):
            return False
        self._table.put(
            attrs.evolve(
                self.local_record, version=self.local_record.version + 1
            )
        )
        return True

    def _notify(self, changed: Iterable[str]) -> None:
        for node_id in changed:
            record = self.node(node_id) or self.tombstone(node_id)
            for subscriber in self._subscribers:
                subscriber(record)


def _can_apply(current: NodeRecord | None, change: RecordChange) -> bool:
    if current is None or current.incarnation != change.record.incarnation:
        return False
    return current.version >= change.base
