"""Hashes of a directory, by which two nodes find out where they differ."""

import xxhash

from godwitknot.control.records import NodeRecord

BUCKETS = 64
_BUCKET_MASK = 0xFFFFFFFF


def hash_node_id(name: str) -> int:
    """Return a 32-bit hash of a node id."""
    return xxhash.xxh32_intdigest(name.encode())


def bucket_of(node_id: str) -> int:
    """Return the bucket that a node id belongs to, from 0."""
    return hash_node_id(node_id) % BUCKETS


def hash_watchers(watchers: frozenset[str]) -> int:
    """Return a 32-bit hash of a set of watchers, 0 for none."""
    total = 0
    for watcher in watchers:
        total ^= hash_node_id(watcher)
    return total


def hash_entry(record: NodeRecord, watchers: frozenset[str]) -> int:
    """Return a 64-bit hash of a node's record version and watchers."""
    state = f'{record.incarnation} {record.version} {hash_watchers(watchers)}'
    return xxhash.xxh64_intdigest(f'{record.node_id} {state}'.encode())


class DirectoryHash:
    """Hash of all entries, updated incrementally.

    It is the exclusive or of the hashes of the entries, which does not
    depend on the order of changes. So two directories with equal entries
    have equal hashes.
    """

    def __init__(self) -> None:
        """Create the hash of an empty directory."""
        self._entries: dict[str, int] = {}
        self._buckets = [0 for _ in range(BUCKETS)]
        self._members: list[set[str]] = [set() for _ in range(BUCKETS)]

    @property
    def total(self) -> int:
        """Hash of the whole directory, 64 bits."""
        total = 0
        for bucket in self._buckets:
            total ^= bucket
        return total

    @property
    def buckets(self) -> tuple[int, ...]:
        """32-bit hash of each bucket."""
        return tuple(bucket & _BUCKET_MASK for bucket in self._buckets)

    def members(self, bucket: int) -> list[str]:
        """Return the node ids of a bucket in order."""
        return sorted(self._members[bucket])

    def replace(self, record: NodeRecord, watchers: frozenset[str]) -> None:
        """Add or replace the entry of a node."""
        self.remove(record.node_id)
        entry = hash_entry(record, watchers)
        self._entries[record.node_id] = entry
        bucket = bucket_of(record.node_id)
        self._buckets[bucket] ^= entry
        self._members[bucket].add(record.node_id)

    def remove(self, node_id: str) -> None:
        """Remove the entry of a node, if there is one."""
        old = self._entries.pop(node_id, 0)
        bucket = bucket_of(node_id)
        self._buckets[bucket] ^= old
        self._members[bucket].discard(node_id)
