"""Directory of the fleet's nodes and their servers."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import attrs
import xxhash

from godwitknot.mesh.model import ServerState
from godwitknot.units import Address


# Version 1 has compressed frames, and offers whose head follows. Version 2 has
# client accounts in offers, the frames of their quotas, and bodies that follow
# in parts. Version 3 has such bodies without a stated length.
PROTOCOL_VERSION = 3
QUOTA_PROTOCOL = 2
STREAMING_PROTOCOL = 2
UNSTATED_LENGTH_PROTOCOL = 3


@attrs.frozen
class Member:
    """A node and its local server.

    :param address: listens for requests and gossip from other nodes.
    :param server_id: id of the server, empty while it is unknown.
    :param born: start of the server in Unix milliseconds.
    :param incarnation: of the node, higher after each restart.
    :param revision: number of changes within the incarnation.
    :param serving: whether the node accepts requests from other nodes.
    :param protocol: newest version of the protocol that the node speaks; 0
        before there were versions.
    """

    node: str
    address: Address
    zone: str
    region: str
    service: str
    server_id: str
    born: int
    state: ServerState
    slots: int
    incarnation: int
    revision: int
    serving: bool
    protocol: int = 0

    @property
    def record_version(self) -> tuple[int, int]:
        """Sort key of the records of one node: a higher one is newer."""
        return (self.incarnation, self.revision)

    @property
    def accepts_requests(self) -> bool:
        """Whether other nodes may send requests to its server."""
        return self.serving and self.state is ServerState.READY

    @property
    def is_departing(self) -> bool:
        """Whether its server is leaving or has left."""
        return self.state in {ServerState.DRAINING, ServerState.GONE}


@attrs.frozen
class Crash:
    """Fingerprints of the requests in flight when a server crashed."""

    service: str
    node: str
    server_id: str
    fingerprints: tuple[int, ...]


# Nodes compare one hash per bucket and exchange only the records of buckets
# that differ. A hash takes 8 bytes, a record about 150.
BUCKET_COUNT = 32
# Of a record and its places in the tables; 1,022 as measured with 5,000.
_RECORD_BYTES = 1050
# Removed records that others may still send; gossip is over within seconds.
_MAX_REMOVED = 1024


class Directory:
    """The newest record of each node, by its address.

    A record replaces another of the same address only if it is newer, so
    late and repeated updates have no effect.
    """

    def __init__(self, local_member: Member) -> None:
        """Create a directory that contains only the local member."""
        self._members: dict[Address, Member] = {}
        self._buckets: tuple[dict[Address, Member], ...] = tuple(
            {} for _ in range(BUCKET_COUNT)
        )
        # Records of earlier runs of nodes whose server left during that run.
        self._departures: dict[Address, Member] = {}
        # Records that were removed, the latest ones.
        self._removed: dict[Address, Member] = {}
        self._hashes: list[int | None] = [None for _ in range(BUCKET_COUNT)]
        self._local_address = local_member.address
        # Members that accept requests, by service and address.
        self._by_service: dict[str, dict[Address, Member]] = {}
        self.listeners: list[Callable[[Member], None]] = []
        self._store(local_member)

    @property
    def local_member(self) -> Member:
        """The record of this node."""
        return self._members[self._local_address]

    @property
    def table_bytes(self) -> int:
        """Estimated size of all records, in bytes."""
        kept = (self._members, self._departures, self._removed)
        return _RECORD_BYTES * sum(map(len, kept))

    @property
    def members(self) -> tuple[Member, ...]:
        """All records, including those of nodes that are gone."""
        return tuple(self._members.values())

    def list_peers(self) -> list[Member]:
        """Return the records of all nodes except this one."""
        return [
            member
            for member in self._members.values()
            if member.address != self._local_address
        ]

    def find_servers(self, service: str) -> Collection[Member]:
        """Return the members whose server accepts requests from this node."""
        return self._by_service.get(service, {}).values()

    def find(self, address: Address) -> Member | None:
        """Return the record of an address."""
        return self._members.get(address)

    def find_departure(self, address: Address) -> Member | None:
        """Return the record of a server that left in an earlier run of a node.

        :returns: ``None`` if the node has another server, or reports that the
            server left.
        """
        departure = self._departures.get(address)
        current = self._members.get(address)
        if departure is None or current is None or current.is_departing:
            return None
        if current.server_id in {'', departure.server_id}:
            return departure if current.born <= departure.born else None
        return None

    def hash_buckets(self) -> tuple[int, ...]:
        """Return a hash of the record versions of each bucket."""
        for number, cached in enumerate(self._hashes):
            if cached is None:
                self._hashes[number] = _hash_versions(self._buckets[number])
        return tuple(self._hashes)

    def find_differing_buckets(self, hashes: Sequence[int]) -> tuple[int, ...]:
        """Return the numbers of the buckets that differ from another node's.

        :param hashes: the other node's bucket hashes. If their number
            differs from the local one, all buckets count as different.
        """
        local_hashes = self.hash_buckets()
        if len(hashes) != len(local_hashes):
            return tuple(range(BUCKET_COUNT))
        return tuple(
            number
            for number, pair in enumerate(
                zip(local_hashes, hashes, strict=True)
            )
            if pair[0] != pair[1]
        )

    def list_bucket_members(self, numbers: Iterable[int]) -> tuple[Member, ...]:
        """Return the records in the given buckets."""
        return tuple(
            member
            for number in numbers
            for member in self._buckets[number % BUCKET_COUNT].values()
        )

    def list_records_for(
        self, node: Address, numbers: Iterable[int]
    ) -> tuple[Member, ...]:
        """Return the records in the given buckets that a node lacks.

        A node that restarted also lacks the departure of its server, if a
        restore dropped it from the store.
        """
        departure = self.find_departure(node)
        earlier = () if departure is None else (departure,)
        return earlier + self.list_bucket_members(numbers)

    def update_local_member(self, **changes: object) -> bool:
        """Change fields of this node's record and raise its revision.

        :returns: whether any value differs from before.
        """
        current = self.local_member
        changed = attrs.evolve(current, **changes)
        if changed == current:
            return False
        self._store(attrs.evolve(changed, revision=current.revision + 1))
        return True

    def merge(self, members: Iterable[Member]) -> list[Member]:
        """Merge records received from the store or from other nodes.

        If an earlier run of this node left a newer record, the local
        incarnation is raised above it: the wall clock, which sets the
        incarnation, may have stepped back between the runs.

        :returns: the changed records, including the local one if its
            incarnation was raised.
        """
        updated: list[Member] = []
        for member in members:
            known = self._members.get(member.address)
            if (
                known is not None
                and member.record_version <= known.record_version
            ):
                continue
            removed = self._removed.get(member.address)
            if (
                removed is not None
                and member.record_version <= removed.record_version
            ):
                if member.serving:
                    # Its sender, or the node itself, lacks the later record.
                    self._store(self._removed.pop(member.address))
                    updated.append(removed)
                continue
            if member.address == self._local_address:
                raised = attrs.evolve(
                    known, incarnation=member.incarnation + 1, revision=0
                )
                self._store(raised)
                updated.append(raised)
                continue
            self._store(member)
            updated.append(member)
        return updated

    def remove_stopped(self, keys: Collection[str]) -> None:
        """Remove the records of nodes whose rows were deleted from the store.

        A node that serves keeps its record: it writes its row again.

        :param keys: addresses of the nodes as text.
        """
        stopped = [
            member
            for member in self._members.values()
            if not member.serving and str(member.address) in keys
        ]
        for member in stopped:
            self._remove(member)

    def _remove(self, member: Member) -> None:
        address = member.address
        if address == self._local_address:
            return
        number = _find_bucket(address)
        self._members.pop(address)
        self._buckets[number].pop(address)
        self._hashes[number] = None
        self._departures.pop(address, None)
        # Nodes that do not know of the deletion yet may send the record.
        self._removed.pop(address, None)
        self._removed[address] = member
        if len(self._removed) > _MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))

    def _is_ready_local(self, member: Member) -> bool:
        """Return whether this is the local server and it is ready.

        A stopping node still uses its local server.
        """
        is_local = member.address == self._local_address
        return is_local and member.state is ServerState.READY

    def _store(self, member: Member) -> None:
        known = self._members.get(member.address)
        if known is not None and known.is_departing:
            if known.incarnation < member.incarnation:
                self._departures[member.address] = known
        self._members[member.address] = member
        number = _find_bucket(member.address)
        self._buckets[number][member.address] = member
        self._hashes[number] = None
        if known is not None:
            self._by_service.get(known.service, {}).pop(member.address, None)
        if member.accepts_requests or self._is_ready_local(member):
            servers = self._by_service.setdefault(member.service, {})
            servers[member.address] = member
        for listener in self.listeners:
            listener(member)


def _find_bucket(address: Address) -> int:
    return xxhash.xxh3_64_intdigest(str(address).encode()) % BUCKET_COUNT


def _hash_versions(members: Mapping[Address, Member]) -> int:
    text = ';'.join(
        f'{address}:{member.record_version}'
        for address, member in sorted(members.items())
    )
    return xxhash.xxh3_64_intdigest(text.encode())
