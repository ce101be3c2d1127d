"""What the fleet knows of its nodes and their servers."""

from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
import xxhash

from godwitknot.mesh.model import ServerState
from godwitknot.units import Address


@attrs.frozen
class Member:
    """One node and the server beside it.

    :param address: where the node takes requests and news of other nodes.
    :param server_id: id of the server, empty before it is known.
    :param born: Unix milliseconds of the server's start.
    :param incarnation: of the node; a restarted node has a higher one.
    :param revision: counts the changes of one incarnation.
    :param serving: whether the node takes requests of other nodes.
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

    @property
    def record_version(self) -> tuple[int, int]:
        """Order of records about one node."""
        return (self.incarnation, self.revision)

    @property
    def accepts_requests(self) -> bool:
        """Whether requests may be sent to its server."""
        return self.serving and self.state is ServerState.READY


@attrs.frozen
class Crash:
    """Fingerprints of the requests in flight when a server crashed."""

    service: str
    node: str
    server_id: str
    fingerprints: tuple[int, ...]


# Two nodes compare this many hashes, and exchange the records behind those
# that differ: one hash costs 8 bytes, one record about 150.
BUCKETS = 32


class Directory:
    """The newest record of each node, by its address.

    A record replaces another of the same address only if it is newer, so
    that late and repeated news change nothing.
    """

    def __init__(self, own: Member) -> None:
        """Start with the own record."""
        self._members: dict[Address, Member] = {}
        self._buckets: tuple[dict[Address, Member], ...] = tuple(
            {} for _ in range(BUCKETS)
        )
        self._hashes: list[int | None] = [None for _ in range(BUCKETS)]
        self._own_address = own.address
        self._by_service: dict[str, list[Member]] = {}
        self.listeners: list[Callable[[Member], None]] = []
        self._store(own)

    @property
    def local_member(self) -> Member:
        """The own record."""
        return self._members[self._own_address]

    @property
    def members(self) -> tuple[Member, ...]:
        """All records, those of nodes that are gone included."""
        return tuple(self._members.values())

    def list_peers(self) -> list[Member]:
        """Give the records of all nodes but the own."""
        return [
            member
            for member in self._members.values()
            if member.address != self._own_address
        ]

    def find_servers(self, service: str) -> list[Member]:
        """Give the members whose server takes work of this node."""
        return self._by_service.get(service, [])

    def find(self, address: Address) -> Member | None:
        """Give the record of an address."""
        return self._members.get(address)

    def hash_buckets(self) -> tuple[int, ...]:
        """Give a hash over the ages of the records of each bucket."""
        for number, known in enumerate(self._hashes):
            if known is None:
                self._hashes[number] = _hash_ages(self._buckets[number])
        return tuple(self._hashes)

    def find_differing_buckets(self, digests: Sequence[int]) -> tuple[int, ...]:
        """Give the buckets that differ from those of another node.

        :param digests: of the other node; all differ if they are not as
            many as here.
        """
        own = self.hash_buckets()
        if len(digests) != len(own):
            return tuple(range(BUCKETS))
        return tuple(
            number
            for number, pair in enumerate(zip(own, digests, strict=True))
            if pair[0] != pair[1]
        )

    def list_bucket_members(self, numbers: Iterable[int]) -> tuple[Member, ...]:
        """Give the records of some buckets."""
        return tuple(
            member
            for number in numbers
            for member in self._buckets[number % BUCKETS].values()
        )

    def update_local_member(self, **changes: object) -> bool:
        """Change the own record.

        :returns: whether anything differs from before.
        """
        own = self.local_member
        changed = attrs.evolve(own, **changes)
        if changed == own:
            return False
        self._store(attrs.evolve(changed, revision=own.revision + 1))
        return True

    def merge(self, members: Iterable[Member]) -> list[Member]:
        """Take in records of others.

        A record of an earlier run of this node raises the own incarnation
        above it, since the wall clock may have stepped back in between.

        :returns: the records that were new, the own one if it was raised.
        """
        fresh: list[Member] = []
        for member in members:
            known = self._members.get(member.address)
            if (
                known is not None
                and member.record_version <= known.record_version
            ):
                continue
            if member.address == self._own_address:
                raised = attrs.evolve(
                    known, incarnation=member.incarnation + 1, revision=0
                )
                self._store(raised)
                fresh.append(raised)
                continue
            self._store(member)
            fresh.append(member)
        return fresh

    def _serves_here(self, member: Member) -> bool:
        """Tell whether it is the own server, which a stopping node uses."""
        here = member.address == self._own_address
        return here and member.state is ServerState.READY

    def _store(self, member: Member) -> None:
        self._members[member.address] = member
        number = _find_bucket(member.address)
        self._buckets[number][member.address] = member
        self._hashes[number] = None
        self._by_service = {}
        for each in self._members.values():
            if each.accepts_requests or self._serves_here(each):
                self._by_service.setdefault(each.service, []).append(each)
        for listener in self.listeners:
            listener(member)


def _find_bucket(address: Address) -> int:
    return xxhash.xxh3_64_intdigest(str(address).encode()) % BUCKETS


def _hash_ages(members: Mapping[Address, Member]) -> int:
    text = ';'.join(
        f'{address}:{member.record_version}'
        for address, member in sorted(members.items())
    )
    return xxhash.xxh3_64_intdigest(text.encode())
