"""Directory of nodes and their servers: merge rules and reachability."""

import enum
from collections.abc import Callable, Iterable

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import RecordChange, Unreachable
from godwitknot.control.recordchanges import PartsBuffer, apply_change
from godwitknot.control.records import NodeRecord, NodeState, ServerState
from godwitknot.errors import SupersededError
from godwitknot.membership.directoryview import DirectoryView
from godwitknot.membership.entries import Entry
from godwitknot.membership.refutation import RefutationPace

# Two watchers are needed, so that one bad link takes no node out.
_QUORUM = 2
# One millisecond in the layout of incarnations.
_INCARNATION_STEP = 65536

Subscriber = Callable[[NodeRecord], None]


class Merge(enum.Enum):
    """What a change did to the directory."""

    APPLIED = enum.auto()
    KNOWN = enum.auto()
    INCOMPLETE = enum.auto()
    BASE_MISSING = enum.auto()


class Directory(DirectoryView):
    """Records of all nodes; the higher incarnation, then version, wins.

    Subscribers are called after the change, on the thread that made it.
    """

    def __init__(self, own: NodeRecord, clock: Clock) -> None:
        """Start with the own record only."""
        super().__init__(own, clock)
        self._clock = clock
        self._parts = PartsBuffer()
        self._pace = RefutationPace(clock)
        self._subscribers: list[Subscriber] = []

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with a node's record when it or its reach changes."""
        self._subscribers.append(callback)

    def update_local_record(self, **changes: object) -> NodeRecord:
        """Change fields of the own record as its next version."""
        with self._lock:
            self._put_own(changes)
        self._notify({self._own_id})
        return self.local_record

    def set_server_state(
        self,
        name: str,
        state: ServerState,
        **changes: object,
    ) -> NodeRecord:
        """Set the state of an own server.

        :param changes: other fields of the server that change with it.
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
            self._put_own({'servers': servers})
        # Subscribers have locks of their own and read the directory.
        self._notify({self._own_id})
        return self.local_record

    def merge(self, record: NodeRecord) -> bool:
        """Take a whole record in, if it is newer than the one held.

        :returns: whether the directory changed.
        :raises SupersededError: if another process runs with the own id.
        """
        return self.merge_change(RecordChange(record)) is Merge.APPLIED

    def merge_change(self, change: RecordChange) -> Merge:
        """Take a record, a part of one, or a change of one in.

        :raises SupersededError: if another process runs with the own id.
        """
        node_id = change.record.node_id
        with self._lock:
            if node_id == self._own_id:
                outcome = self._merge_own(change.record)
            else:
                outcome = self._merge_other(change)
        if outcome is Merge.APPLIED:
            self._notify({node_id})
        return outcome

    def report_unreachable(self, message: Unreachable) -> bool:
        """Note a watcher's report; refute it if it is about this node.

        :returns: whether the report was new and about the version held.
        """
        freshness = (message.incarnation, message.version)
        with self._lock:
            entry = self._table.find(message.node_id)
            if entry is None or entry.record.freshness != freshness:
                return False
            if message.watcher in entry.watchers:
                return False
            self._table.add_watcher(message.node_id, message.watcher)
            changed = self._judge_reports()
        self._notify(changed)
        return True

    def tick(self) -> None:
        """Forget nodes that ended long ago; make a refutation that waits."""
        with self._lock:
            changed = self._table.expire(keep=self._own_id)
            changed |= self._judge_reports()
        self._notify(changed)

    def _put_own(self, changes: dict[str, object]) -> None:
        version = self.local_record.version + 1
        self._table.put(
            attrs.evolve(self.local_record, version=version, **changes)
        )

    def _merge_other(self, change: RecordChange) -> Merge:
        node_id = change.record.node_id
        if not self.is_new(node_id, change.record.freshness):
            return Merge.KNOWN
        whole = self._parts.join(change)
        if whole is None:
            return Merge.INCOMPLETE
        record = whole.record
        if whole.base:
            held = self.node(node_id)
            if not _can_apply(held, whole):
                return Merge.BASE_MISSING
            record = apply_change(held, record)
        self._parts.discard(node_id)
        self._table.put(record)
        return Merge.APPLIED

    def _merge_own(self, record: NodeRecord) -> Merge:
        own = self.local_record
        if record.incarnation > own.incarnation:
            # A process of this id at this address cannot run any more. Its
            # clock was ahead of ours, so we continue above its incarnation.
            if record.peer != own.peer and record.state is not NodeState.GONE:
                raise SupersededError(
                    f'node id {own.node_id} is in use at {record.peer}'
                )
            incarnation = record.incarnation + _INCARNATION_STEP
            self._table.put(attrs.evolve(own, incarnation=incarnation))
            return Merge.APPLIED
        if own.state is NodeState.GONE or record.freshness < own.freshness:
            return Merge.KNOWN
        if record.freshness == own.freshness and record.state is own.state:
            return Merge.KNOWN
        self._table.put(attrs.evolve(own, version=record.version + 1))
        return Merge.APPLIED

    def _judge_reports(self) -> set[str]:
        """Find the nodes that reports make unreachable, or no longer do.

        A single report counts while no other watcher is in order, so a
        change elsewhere can make a node reachable again.

        :returns: ids of nodes that changed, the own id if it refuted.
        """
        reported = [
            entry
            for entry in self._table.all()
            if entry.watchers and entry.record.state is not NodeState.GONE
        ]
        return {
            entry.record.node_id for entry in reported if self._judge(entry)
        }

    def _judge(self, entry: Entry) -> bool:
        node_id = entry.record.node_id
        lost = self._has_quorum(node_id, entry.watchers)
        if node_id == self._own_id:
            return lost and self._refute()
        if lost is (entry.ended_at is not None):
            return False
        entry.ended_at = self._clock.now() if lost else None
        return True

    def _has_quorum(self, node_id: str, watchers: frozenset[str]) -> bool:
        if len(watchers) >= _QUORUM:
            return True
        # One report is enough if no other watcher is itself in order.
        able = {
            watcher
            for watcher in self._table.ring.neighbours(node_id)
            if not self._table[watcher].watchers
        }
        return able <= watchers

    def _refute(self) -> bool:
        if (
            self.local_record.state is NodeState.GONE
            or not self._pace.try_refute()
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


def _can_apply(held: NodeRecord | None, change: RecordChange) -> bool:
    if held is None or held.incarnation != change.record.incarnation:
        return False
    return held.version >= change.base
