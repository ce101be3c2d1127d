"""Anti-entropy: two directories exchange the records that differ.

A digest contains one hash of the whole directory. If the peer's hash differs,
it replies with the hashes of 64 buckets of node ids. Versions are exchanged
for the buckets that differ, and records for the versions that differ. So a
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
from godwitknot.membership.reconcileschedule import ReconcileSchedule
from godwitknot.units import Address

# Keeps a message of versions within one datagram.
_MAX_ENTRIES_BYTES = 1000
_ENTRY_OVERHEAD_BYTES = 24
_MAX_REQUESTED_RECORDS = 12
# A node with no more records than this is sent a first peer.
_MAX_NEWCOMER_RECORDS = 3
# Bytes a second for sending first peers. Joined nodes request from the seeds
# what the seeds learn first, so newcomers need a budget that these requests
# do not use up.
NEWCOMER_BYTES_PER_SECOND = 200
_NEWCOMER_BURST_BYTES = 8000
_NEWCOMER_START_BYTES = 64000


class Reconciler:
    """Thread that compares the directory with that of a random peer.

    ``seeds`` are the addresses to contact while no peer is known.
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

        :param budget: limits the bytes of all messages except first peers.
        """
        self._directory = directory
        self._endpoint = endpoint
        self._clock = clock
        self._budget = budget
        self._rng = rng
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None
        self.seeds: tuple[Address, ...] = ()
        self._schedule = ReconcileSchedule(directory, rng)
        self._newcomer_budget = ByteBudget(
            clock,
            NEWCOMER_BYTES_PER_SECOND,
            _NEWCOMER_BURST_BYTES,
            _NEWCOMER_START_BYTES,
        )
        endpoint.subscribe(Digest, self._handle_digest)
        endpoint.subscribe(Versions, self._handle_versions)
        endpoint.subscribe(RecordsRequest, self._handle_request)

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

    def request_records(
        self, address: Address, node_ids: Iterable[str]
    ) -> None:
        """Request records from a peer."""
        requested = tuple(node_ids)
        for start in range(0, len(requested), _MAX_REQUESTED_RECORDS):
            batch = requested[start : start + _MAX_REQUESTED_RECORDS]
            self._send(address, RecordsRequest(batch))

    def compare_with(self, address: Address) -> None:
        """Start an exchange with a peer by sending it a digest."""
        joining = self._schedule.is_joining()
        self._send(address, _make_digest(self._directory, joining))

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._directory.expire_and_refute()
            address = self._schedule.choose_peer(self.seeds)
            if address is not None:
                self.compare_with(address)
            self._stopped.wait(self._schedule.next_interval())

    def _handle_digest(
        self, sender: str, address: Address, digest: Digest
    ) -> None:
        self._schedule.record_peer_count(digest.count)
        if self._directory.node(sender) is None:
            # Other nodes learn its address from this node, so that exchanges
            # do not all go through the seeds.
            self.request_records(address, [sender])
        if digest.directory_hash == self._directory.hash:
            return
        if digest.count <= _MAX_NEWCOMER_RECORDS < self._directory.count:
            self._send_first_peer(sender, address)
            return
        if not digest.buckets:
            self._send(
                address, _make_digest(self._directory, with_buckets=True)
            )
            return
        differing = [
            index
            for index, (local, other) in enumerate(
                zip(self._directory.buckets, digest.buckets, strict=False)
            )
            if local != other
        ]
        self._send_versions(address, differing)

    def _send_first_peer(self, sender: str, address: Address) -> None:
        """Send a joining node the record of one peer to exchange with.

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
            peer_id = self._rng.choice(node_ids)
            self._send_records(address, [peer_id], self._newcomer_budget)

    def _send_versions(self, address: Address, buckets: list[int]) -> None:
        """Send the versions of as many buckets as fit one datagram."""
        self._rng.shuffle(buckets)
        covered: list[int] = []
        entries: list[VersionEntry] = []
        free_bytes = _MAX_ENTRIES_BYTES
        for bucket in buckets:
            in_bucket = self._directory.entries([bucket])
            size = sum(map(_entry_bytes, in_bucket))
            if covered and size > free_bytes:
                break
            free_bytes -= size
            covered.append(bucket)
            entries.extend(in_bucket)
        while free_bytes < 0:
            # A single bucket is too large, so some entries are omitted.
            free_bytes += _entry_bytes(entries.pop())
        complete = len(entries) == len(self._directory.entries(covered))
        message = Versions(tuple(entries), complete, tuple(covered))
        self._send(address, message)

    def _handle_versions(
        self, sender: str, address: Address, versions: Versions
    ) -> None:
        remote_entries = {entry.node_id: entry for entry in versions.entries}
        buckets = [each for each in versions.buckets if each < BUCKETS]
        local_entries = {
            entry.node_id: entry
            for entry in self._directory.entries(buckets)
            if versions.complete or entry.node_id in remote_entries
        }
        newer_there = [
            node_id
            for node_id, entry in remote_entries.items()
            if self._directory.is_new(
                node_id, (entry.incarnation, entry.version)
            )
        ]
        # The remaining records are requested in the next exchanges.
        limit = min(_MAX_REQUESTED_RECORDS, self._directory.count)
        self.request_records(address, newer_there[:limit])
        newer_here = [
            entry.node_id
            for entry in local_entries.values()
            if _is_newer(entry, remote_entries.get(entry.node_id))
        ]
        self._rng.shuffle(newer_here)
        self._send_records(address, newer_here)
        reports = _differing_reports(local_entries, remote_entries)
        self._send_reports(address, reports)

    def _handle_request(
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

        :returns: whether the budget allowed it.
        """
        datagram = self._endpoint.sign_message(message)
        budget = budget or self._budget
        if not budget.try_consume(len(datagram.payload)):
            return False
        self._endpoint.send_signed(address, datagram)
        return True


def _make_digest(directory: Directory, with_buckets: bool) -> Digest:
    buckets = directory.buckets if with_buckets else ()
    return Digest(directory.hash, directory.count, buckets)


def _entry_bytes(entry: VersionEntry) -> int:
    return _ENTRY_OVERHEAD_BYTES + len(entry.node_id)


def _is_newer(local: VersionEntry, remote: VersionEntry | None) -> bool:
    if remote is None:
        return True
    remote_freshness = (remote.incarnation, remote.version)
    return (local.incarnation, local.version) > remote_freshness


def _differing_reports(
    local_entries: dict[str, VersionEntry],
    remote_entries: dict[str, VersionEntry],
) -> list[str]:
    """Find nodes of equal version whose reports differ at the peer."""
    found = []
    for node_id, entry in local_entries.items():
        other = remote_entries.get(node_id)
        if other is None or other.reports == entry.reports:
            continue
        if (entry.incarnation, entry.version) == (
            other.incarnation,
            other.version,
        ):
            found.append(node_id)
    return found
