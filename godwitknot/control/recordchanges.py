"""Changes of node records: deltas, and parts that fit a datagram.

A record of 16 servers takes about 950 bytes and fits; with long names or
more servers it does not. Its parts have the same incarnation and version,
and the record is applied when the last part has arrived.
"""

from collections.abc import Iterable

import attrs

from godwitknot.control import codec
from godwitknot.control.messages import RecordChange, Rumors
from godwitknot.control.records import NodeRecord, ServerRecord

# A datagram of 1,200 bytes minus the envelope and the other fields.
MAX_CHANGE_BYTES = 1050
# Enough for about 200 servers with names of full length; no node sends more.
MAX_PARTS = 64


def encoded_size(change: RecordChange) -> int:
    """Return the encoded size of a change in bytes."""
    return len(codec.encode(Rumors(changes=(change,))))


def split_record(record: NodeRecord, base: int = 0) -> list[RecordChange]:
    """Split a record into changes that each fit one datagram.

    The result depends only on the record, so that parts from different
    senders can be combined.

    :param record: with the servers to send.
    :param base: see :class:`RecordChange`.
    """
    complete = RecordChange(record, base)
    if encoded_size(complete) <= MAX_CHANGE_BYTES or not record.servers:
        return [complete]
    groups: list[list[ServerRecord]] = [[]]
    without_servers = attrs.evolve(record, servers=())
    for server in sorted(record.servers, key=_name_of):
        extended = attrs.evolve(without_servers, servers=(*groups[-1], server))
        if (
            groups[-1]
            and encoded_size(RecordChange(extended, base)) > MAX_CHANGE_BYTES
        ):
            groups.append([])
        groups[-1].append(server)
    return [
        RecordChange(
            attrs.evolve(without_servers, servers=tuple(group)),
            base,
            part,
            len(groups),
        )
        for part, group in enumerate(groups)
    ]


def diff_records(
    old: NodeRecord,
    new: NodeRecord,
    intermediate: Iterable[NodeRecord] = (),
) -> list[RecordChange]:
    """Return the changes between two versions of one incarnation.

    :param intermediate: versions between both. A receiver that has one of
        them applies the changes too, so a server that differs in any of
        them is included, even if it is the same in ``old`` and ``new``.
    :returns: changes with the servers that differ, or with all servers if
        one was removed.
    """
    versions = (old, *intermediate)
    names = {server.name for server in new.servers}
    for record in versions:
        if any(server.name not in names for server in record.servers):
            return split_record(new)
    unchanged = set.intersection(*(set(record.servers) for record in versions))
    changed = tuple(server for server in new.servers if server not in unchanged)
    return split_record(attrs.evolve(new, servers=changed), old.version)


def apply_change(old: NodeRecord, change: NodeRecord) -> NodeRecord:
    """Return a record with the servers of a change added or replaced."""
    changed = {server.name: server for server in change.servers}
    updated = [changed.pop(server.name, server) for server in old.servers]
    return attrs.evolve(change, servers=(*updated, *changed.values()))


class ReassemblyBuffer:
    """Reassembles records from parts, one version of each node at a time."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._pending: dict[str, dict[int, RecordChange]] = {}

    def add_part(self, change: RecordChange) -> RecordChange | None:
        """Add a part.

        :returns: the complete change, or ``None`` while parts are missing.
        """
        if change.parts == 1:
            return change
        if not change.part < change.parts <= MAX_PARTS:
            return None
        parts = self._matching_parts(change)
        parts[change.part] = change
        if len(parts) < change.parts:
            return None
        self._pending.pop(change.record.node_id)
        servers = [
            server
            for part in sorted(parts)
            for server in parts[part].record.servers
        ]
        record = attrs.evolve(change.record, servers=tuple(servers))
        return RecordChange(record, change.base)

    def discard(self, node_id: str) -> None:
        """Discard the parts of a node's record."""
        self._pending.pop(node_id, None)

    def _matching_parts(self, change: RecordChange) -> dict[int, RecordChange]:
        node_id = change.record.node_id
        pending = self._pending.get(node_id, {})
        for other in pending.values():
            if _order_of(other) > _order_of(change):
                # This part belongs to an older version, so it is dropped.
                return {}
            if _order_of(other) != _order_of(change):
                pending = {}
            break
        self._pending[node_id] = pending
        return pending


def _order_of(change: RecordChange) -> tuple[int, int, int, int]:
    # Of equal versions, changes to a lower base apply to more directories.
    return (*change.record.freshness, -change.base, change.parts)


def _name_of(server: ServerRecord) -> str:
    return server.name
