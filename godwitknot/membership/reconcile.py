"""Anti-entropy: two directories exchange the records that differ.

A digest holds one hash of the whole directory. If the peer's differs, it
answers with the hashes of 64 buckets of node ids. Versions are exchanged for
the buckets that differ, and records for the versions that differ. So a
difference of one record costs about 2 KB, whatever the size of the fleet.
"""

import random
import threading
from collections.abc import Iterable

from godwitknot.clock import Clock
from godwitknot.control.bytebudget import ByteBudget
from godwitknot.control.messages import (
    Digest,
    Message,
    Records,
    RecordsRequest,
    VersionEntry,
    Versions,
)
from godwitknot.control.recordchanges import split_record
from godwitknot.control.transport import Endpoint
from godwitknot.membership.directory import Directory
from godwitknot.membership.directoryhash import BUCKETS
from godwitknot.membership.reconcileschedule import Joining
from godwitknot.units import Address

# A message of versions stays within one datagram.
_ENTRIES_BYTES = 1000
_ENTRY_BYTES = 24
_MAX_REQUESTED = 12
# A node that holds no more records than this gets its first peers.
_NEWCOMER_COUNT = 3
# Bytes a second for first peers. Nodes that already joined ask the seeds for
# what the seeds learn first; newcomers must not have to wait for that.
WELCOME_RATE = 200
_WELCOME_BURST_BYTES = 8000
_WELCOME_START_BYTES = 64000


class Reconciler:
    """Thread that compares the directory with that of a random peer.

    ``seeds`` are the addresses to ask while no peer is known.
    """

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        clock: Clock,
        budget: ByteBudget,
        rng: random.Random,
    ) -> None:
        """Subscribe to the messages of anti-entropy.

        :param budget: for all messages that are sent here.
        """
        self._directory = directory
        self._endpoint = endpoint
        self._clock = clock
        self._budget = budget
        self._rng = rng
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None
        self.seeds: tuple[Address, ...] = ()
        self._joining = Joining(directory, rng)
        self._welcome_budget = ByteBudget(
            clock, WELCOME_RATE, _WELCOME_BURST_BYTES, _WELCOME_START_BYTES
        )
        endpoint.subscribe(Digest, self._answer_digest)
        endpoint.subscribe(Versions, self._answer_versions)
        endpoint.subscribe(RecordsRequest, self._answer_request)

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(
            target=self._run, name='reconcile', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()

    def request(self, address: Address, node_ids: Iterable[str]) -> None:
        """Ask a peer for records."""
        wanted = tuple(node_ids)
        for start in range(0, len(wanted), _MAX_REQUESTED):
            part = wanted[start : start + _MAX_REQUESTED]
            self._send(address, RecordsRequest(part))

    def compare_with(self, address: Address) -> None:
        """Start an exchange with a peer."""
        joining = self._joining.is_joining()
        self._send(address, _make_digest(self._directory, joining))

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._directory.tick()
            address = self._joining.choose_peer(self.seeds)
            if address is not None:
                self.compare_with(address)
            self._stopped.wait(self._joining.pause())

    def _answer_digest(
        self, sender: str, address: Address, digest: Digest
    ) -> None:
        self._joining.note_count(digest.count)
        if self._directory.node(sender) is None:
            # Others learn its address from here, so that it has more peers
            # to ask than the seeds.
            self.request(address, [sender])
        if digest.directory_hash == self._directory.hash:
            return
        if digest.count <= _NEWCOMER_COUNT < self._directory.count:
            self._send_first_peer(sender, address)
            return
        if not digest.buckets:
            self._send(
                address, _make_digest(self._directory, with_buckets=True)
            )
            return
        differing = [
            index
            for index, (mine, other) in enumerate(
                zip(self._directory.buckets, digest.buckets, strict=False)
            )
            if mine != other
        ]
        self._send_versions(address, differing)

    def _send_first_peer(self, sender: str, address: Address) -> None:
        """Send a joining node one peer, which it asks for the rest.

        A seed could not send the whole directory to many nodes that start
        together; one record of 16 servers takes about 500 bytes.
        """
        node_ids = [
            record.node_id
            for record in self._directory.nodes()
            if self._directory.is_reachable(record.node_id)
            and record.node_id != sender
        ]
        if node_ids:
            chosen = self._rng.choice(node_ids)
            self._send_records(address, [chosen], self._welcome_budget)

    def _send_versions(self, address: Address, buckets: list[int]) -> None:
        """Send the versions of as many buckets as one datagram takes."""
        self._rng.shuffle(buckets)
        chosen: list[int] = []
        entries: list[VersionEntry] = []
        room = _ENTRIES_BYTES
        for bucket in buckets:
            held = self._directory.entries([bucket])
            size = sum(map(_entry_bytes, held))
            if chosen and size > room:
                break
            room -= size
            chosen.append(bucket)
            entries.extend(held)
        while room < 0:
            # One bucket is too large, so some of its entries are left out.
            room += _entry_bytes(entries.pop())
        complete = len(entries) == len(self._directory.entries(chosen))
        message = Versions(tuple(entries), complete, tuple(chosen))
        self._send(address, message)

    def _answer_versions(
        self, sender: str, address: Address, versions: Versions
    ) -> None:
        theirs = {entry.node_id: entry for entry in versions.entries}
        buckets = [each for each in versions.buckets if each < BUCKETS]
        mine = {
            entry.node_id: entry
            for entry in self._directory.entries(buckets)
            if versions.complete or entry.node_id in theirs
        }
        newer = [
            node_id
            for node_id, entry in theirs.items()
            if self._directory.is_new(
                node_id, (entry.incarnation, entry.version)
            )
        ]
        # What is left comes from the peers of the next rounds.
        limit = min(_MAX_REQUESTED, self._directory.count)
        self.request(address, newer[:limit])
        to_send = [
            entry.node_id
            for entry in mine.values()
            if _is_wanted(entry, theirs.get(entry.node_id))
        ]
        self._rng.shuffle(to_send)
        self._send_records(address, to_send)
        reports = _differing_reports(mine, theirs)
        self._send_reports(address, reports)

    def _answer_request(
        self, sender: str, address: Address, request: RecordsRequest
    ) -> None:
        self._send_records(address, request.node_ids)

    def _send_records(
        self,
        address: Address,
        node_ids: Iterable[str],
        budget: ByteBudget | None = None,
    ) -> None:
        for node_id in node_ids:
            record = self._directory.node(node_id)
            if record is None:
                continue
            for change in split_record(record):
                message = Records(changes=(change,))
                if not self._send(address, message, budget):
                    return
            self._send_reports(address, [node_id])

    def _send_reports(self, address: Address, node_ids: Iterable[str]) -> None:
        for node_id in node_ids:
            reports = tuple(self._directory.reports(node_id))
            if reports:
                self._send(address, Records(unreachable=reports))

    def _send(
        self,
        address: Address,
        message: Message,
        budget: ByteBudget | None = None,
    ) -> bool:
        """Send within a budget, by default that of anti-entropy.

        :returns: whether there was budget for it.
        """
        datagram = self._endpoint.sign_message(message)
        budget = budget or self._budget
        if not budget.try_take(len(datagram.payload)):
            return False
        self._endpoint.send_signed(address, datagram)
        return True


def _make_digest(directory: Directory, with_buckets: bool) -> Digest:
    buckets = directory.buckets if with_buckets else ()
    return Digest(directory.hash, directory.count, buckets)


def _entry_bytes(entry: VersionEntry) -> int:
    return _ENTRY_BYTES + len(entry.node_id)


def _is_wanted(mine: VersionEntry, theirs: VersionEntry | None) -> bool:
    if theirs is None:
        return True
    held = (theirs.incarnation, theirs.version)
    return (mine.incarnation, mine.version) > held


def _differing_reports(
    mine: dict[str, VersionEntry],
    theirs: dict[str, VersionEntry],
) -> list[str]:
    """Find the nodes of equal version with other reports at the peer."""
    found = []
    for node_id, entry in mine.items():
        other = theirs.get(node_id)
        if other is None or other.reports == entry.reports:
            continue
        if (entry.incarnation, entry.version) == (
            other.incarnation,
            other.version,
        ):
            found.append(node_id)
    return found
