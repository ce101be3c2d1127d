"""Splits a record into changes that fit a datagram, and joins them again.

A record of 16 servers takes about 950 bytes and fits; with long names or
more servers it does not. Its parts carry the same incarnation and version,
and the record takes effect when the last part has arrived.
"""

from collections.abc import Iterable

import attrs

from godwitknot.control import codec
from godwitknot.control.messages import RecordChange, Rumors
from godwitknot.control.records import NodeRecord, ServerRecord

# A datagram of 1,200 bytes less the envelope and the other fields.
CHANGE_BYTES = 1050
# No owner makes more parts: about 200 servers with names of full length.
MAX_PARTS = 64


def size_of(change: RecordChange) -> int:
    """Give the encoded size of a change in bytes."""
    return len(codec.encode(Rumors(changes=(change,))))


def split_record(record: NodeRecord, base: int = 0) -> list[RecordChange]:
    """Split a record into changes for one datagram each.

    Two nodes that split the same record get the same parts.

    :param record: with the servers to send.
    :param base: see :class:`RecordChange`.
    """
    whole = RecordChange(record, base)
    if size_of(whole) <= CHANGE_BYTES or not record.servers:
        return [whole]
    groups: list[list[ServerRecord]] = [[]]
    head = attrs.evolve(record, servers=())
    for server in sorted(record.servers, key=_name_of):
        grown = attrs.evolve(head, servers=(*groups[-1], server))
        if groups[-1] and size_of(RecordChange(grown, base)) > CHANGE_BYTES:
            groups.append([])
        groups[-1].append(server)
    return [
        RecordChange(
            attrs.evolve(head, servers=tuple(group)), base, part, len(groups)
        )
        for part, group in enumerate(groups)
    ]


def find_change(
    old: NodeRecord,
    new: NodeRecord,
    between: Iterable[NodeRecord] = (),
) -> list[RecordChange]:
    """Give what changed between two versions of one incarnation.

    :param between: versions between both. A receiver that holds one of
        them applies the change too, so a server that differs in one of
        them is part of it, even if it is now as in ``old``.
    :returns: the servers that differ; all of them if one was removed.
    """
    earlier = (old, *between)
    names = {server.name for server in new.servers}
    for record in earlier:
        if any(server.name not in names for server in record.servers):
            return split_record(new)
    kept = set.intersection(*(set(record.servers) for record in earlier))
    changed = tuple(server for server in new.servers if server not in kept)
    return split_record(attrs.evolve(new, servers=changed), old.version)


def apply_change(old: NodeRecord, change: NodeRecord) -> NodeRecord:
    """Put the servers of a change in place of the old ones."""
    changed = {server.name: server for server in change.servers}
    kept = [changed.pop(server.name, server) for server in old.servers]
    return attrs.evolve(change, servers=(*kept, *changed.values()))


class PartsBuffer:
    """Collects the parts of records; holds one version for each node."""

    def __init__(self) -> None:
        """Start empty."""
        self._pending: dict[str, dict[int, RecordChange]] = {}

    def join(self, change: RecordChange) -> RecordChange | None:
        """Add a part.

        :returns: the whole change once all its parts are there.
        """
        if change.parts == 1:
            return change
        if not change.part < change.parts <= MAX_PARTS:
            return None
        parts = self._parts_for(change)
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
        """Forget the parts of a node's record."""
        self._pending.pop(node_id, None)

    def _parts_for(self, change: RecordChange) -> dict[int, RecordChange]:
        node_id = change.record.node_id
        pending = self._pending.get(node_id, {})
        for other in pending.values():
            if _version_of(other) > _version_of(change):
                # Parts of an older version have no use; drop this one.
                return {}
            if _version_of(other) != _version_of(change):
                pending = {}
            break
        self._pending[node_id] = pending
        return pending


def _version_of(change: RecordChange) -> tuple[int, int, int, int]:
    # At the same version a lower base applies to more directories.
    return (*change.record.freshness, -change.base, change.parts)


def _name_of(server: ServerRecord) -> str:
    return server.name
