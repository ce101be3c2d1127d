"""Gossip between mesh nodes.

Changes are pushed to random peers at once. In addition, each node compares a
digest of its state with a random peer about once a second.
"""

import asyncio
from collections.abc import Callable

from godwitknot.errors import ProtocolError
from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh import frames
from godwitknot.mesh.backgroundtasks import keep_running
from godwitknot.mesh.configurationcopies import ConfigurationCopies
from godwitknot.mesh.configurationfetcher import ConfigurationFetcher
from godwitknot.mesh.crashreports import CrashReports
from godwitknot.mesh.memberdirectory import Crash, Directory, Member
from godwitknot.mesh.messages import Digest, DigestReply, Kind, Rumor
from godwitknot.mesh.peersample import PeerSample
from godwitknot.mesh.relayclient import RelayClient
from godwitknot.mesh.restartingnodes import RestartingNodes
from godwitknot.mesh.rumorpush import RumorPush
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.transfers import Transfer
from godwitknot.mesh.unreadablerows import UnreadableRows
from godwitknot.mesh.versioncomparison import VersionComparison
from godwitknot.units import Address

# Shares of the digests that are sent to another failure domain of the region,
# and to another region.
_OTHER_DOMAIN_DIGEST_SHARE = 0.2
_OTHER_REGION_DIGEST_SHARE = 0.05
_DIGEST_INTERVAL_SECONDS = 1.0
_CALL_TIMEOUT_SECONDS = 1.0
# Longest times of replies that arrive slowly; other peers may be faster. A copy
# of the configuration is larger than the records.
_MAX_EXCHANGE_SECONDS = 3.0
_MAX_COPY_SECONDS = 10.0
_MAX_PROBED_NODES = 3


class PeerGossip:
    """Synchronizes member records, crashes and configuration with peers."""

    def __init__(
        self,
        directory: Directory,
        holder: ConfigurationHolder,
        selector: ServerSelector,
        crashes: CrashTracker,
        relay: RelayClient,
        runtime: Runtime,
    ) -> None:
        """Set up gossip without starting it.

        :param directory: records to synchronize.
        :param holder: of the configuration to synchronize.
        :param selector: tracks which nodes are reachable.
        :param crashes: receives the crash reports of all nodes.
        :param relay: sends frames to other nodes.
        """
        self._directory = directory
        self._holder = holder
        self._copies = ConfigurationCopies(holder, runtime)
        self._fetcher = ConfigurationFetcher(holder, self._fetch_configuration)
        self._selector = selector
        self._crash_reports = CrashReports(crashes, runtime.log)
        self._relay = relay
        self._runtime = runtime
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._rng = runtime.rng
        self._peers = PeerSample(directory, selector, runtime.rng)
        self._push = RumorPush(directory, holder, self._peers, self._send_rumor)
        self._restarting = RestartingNodes(directory, relay, runtime.clock)
        self._unreadable = UnreadableRows(runtime.log)
        # Called with records of this node that another node has received.
        self.delivery_listeners: list[Callable[[Member], None]] = []
        # Called with records that an earlier run of this node left behind.
        self.previous_record_listeners: list[Callable[[Member], None]] = []
        # Called with the version of another node's configuration.
        self.version_listeners: list[Callable[[Address, int], None]] = []
        # Set by nodes; without it, no node is asked about the store.
        self.comparison: VersionComparison | None = None
        self._tasks: set[asyncio.Task] = set()
        self.synchronized = False

    def start(self) -> list[asyncio.Task]:
        """Start the background tasks.

        :returns: the tasks, which run until they are cancelled.
        """
        return [
            asyncio.ensure_future(keep_running(self._push.run, self._runtime)),
            asyncio.ensure_future(
                keep_running(self._exchange_digests, self._runtime)
            ),
        ]

    @property
    def peers(self) -> PeerSample:
        """The other nodes, as gossip draws them."""
        return self._peers

    def merge_members(self, members: list[Member], origin: str) -> None:
        """Merge records and log those that changed.

        :param origin: source of the records, for the log.
        """
        local_member = self._directory.local_member
        local_address = local_member.address
        previous_records = [
            member
            for member in members
            if member.address == local_address
            and member.incarnation != local_member.incarnation
        ]
        for member in self._directory.merge(members):
            if member.address == local_address:
                continue
            self._log.write(
                'member changed',
                peer=member.node,
                server=member.server_id,
                state=member.state.value,
                serving=member.serving,
                incarnation=member.incarnation,
                revision=member.revision,
                origin=origin,
            )
        for member in previous_records:
            self._report_previous_record(member)

    def handle_store(self, connected: bool) -> None:
        """Ask other nodes for contact as soon as the store is lost."""
        if not connected:
            self._probe_contacts()

    def report_crash(self, fingerprints: tuple[int, ...]) -> None:
        """Report a crash of the local server to the fleet.

        :param fingerprints: of the requests that ran on the server.
        """
        local_member = self._directory.local_member
        crash = Crash(
            local_member.service,
            local_member.node,
            local_member.server_id,
            fingerprints,
        )
        self._record_crash(crash)

    def handle(self, kind: Kind, content: object) -> bytes | None:
        """Handle a rumor or digest of another node.

        :returns: the encoded reply.
        :raises ProtocolError: if the frame is of another kind.
        """
        if kind is Kind.RUMOR:
            self._apply_rumor(content)
            return frames.encode_same()
        if kind is Kind.DIGEST:
            return self._reply_to_digest(content)
        raise ProtocolError(f'unexpected {kind}')

    def _report_previous_record(self, member: Member) -> None:
        for listener in self.previous_record_listeners:
            listener(member)

    def _apply_rumor(self, rumor: Rumor) -> None:
        self._selector.mark_reachable(rumor.sender)
        self.merge_members(list(rumor.members), 'rumor')
        self._log_unreadable(rumor.sender, rumor.unreadable)
        for crash in rumor.crashes:
            self._record_crash(crash)
        self.apply_version(rumor.sender, rumor.version)

    def _log_unreadable(self, origin: Address, count: int) -> None:
        if count:
            self._unreadable.report(str(origin), f'{count} of a node')

    def _record_crash(self, crash: Crash) -> None:
        if self._crash_reports.record(crash):
            self._push.add_crash(crash)

    def _reply_to_digest(self, digest: Digest) -> bytes:
        self._selector.mark_reachable(digest.sender)
        differing = self._directory.find_differing_buckets(digest.buckets)
        newer = self._holder.version > digest.version
        self.apply_version(digest.sender, digest.version)
        members = self._directory.list_records_for(digest.sender, differing)
        store_age = None
        if digest.ask_store_age and self.comparison is not None:
            store_age = self.comparison.freshness.store_age
        if store_age is None and not (differing or newer or members):
            return frames.encode_same()
        copy, compressed = self._copies.take_copy(digest)
        digest_reply = DigestReply(
            members,
            differing,
            copy,
            self._holder.version,
            compressed,
            store_age,
        )
        return frames.encode_digest_reply(digest_reply)

    async def _exchange_digests(self) -> None:
        while True:
            await self._sleep(
                _DIGEST_INTERVAL_SECONDS * (0.5 + self._rng.random())
            )
            self._probe_contacts()
            for address in self._list_nodes_to_probe():
                self._spawn(self._exchange(address))
            peer = self._draw_digest_peer()
            if peer is not None:
                await self._exchange(peer.address)

    def _draw_digest_peer(self) -> Member | None:
        """Return the node to compare digests with.

        Stopped nodes are included: one may have restarted without any records,
        and then depends on being contacted.
        """
        peers = self._directory.list_peers()
        region = self._directory.local_member.region
        draw = self._rng.random()
        other = int(draw < _OTHER_DOMAIN_DIGEST_SHARE)
        if draw > 1 - _OTHER_REGION_DIGEST_SHARE:
            remote = [each for each in peers if each.region != region]
            if remote:
                return self._rng.choice(remote)
        near = [each for each in peers if each.region == region]
        drawn = self._peers.draw(near or peers, 1 - other, other)
        return drawn[0] if drawn else None

    async def _sleep(self, seconds: float) -> None:
        """Sleep, and record by how much this process was held up."""
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        await asyncio.sleep(seconds)
        self._telemetry.observe('loop_delay_seconds', loop.time() - due)

    def _list_nodes_to_probe(self) -> list[Address]:
        """Return the nodes to contact until they are reachable again.

        A node that restarts while the store is down has no records. It
        becomes ready only once a ready node sends it a digest.
        """
        probed = list(self._selector.unreachable)[:_MAX_PROBED_NODES]
        probed += self._restarting.list_nodes()[:_MAX_PROBED_NODES]
        return list(dict.fromkeys(probed))

    async def _exchange(self, address: Address) -> None:
        """Compare digests with another node and exchange what differs.

        A newer configuration is fetched afterwards.
        """
        digest = self._make_digest(omit_configuration=True)
        sent_at = self._runtime.clock.now()
        reply = await self._send(address, frames.encode_digest(digest))
        if reply is None:
            return
        kind, content = reply
        await self._apply_digest_reply(address, kind, content)
        if kind is Kind.KNOWLEDGE:
            version, store_age = content.version, content.store_age
        elif kind is Kind.SAME:
            # The other node has nothing newer than what the digest named.
            version, store_age = digest.version, None
        else:
            return
        self.apply_version(address, version)
        if digest.ask_store_age:
            self.comparison.freshness.record_reply(
                address, version, sent_at, store_age
            )

    def _probe_contacts(self) -> None:
        if self.comparison is None:
            return
        for address in self.comparison.list_probes(self._rng):
            self._spawn(self._probe_contact(address))

    async def _probe_contact(self, address: Address) -> None:
        """Send a rumor without news, which every release answers."""
        local = self._directory.local_member.address
        rumor = Rumor(local, (), (), self._holder.version)
        sent_at = self._runtime.clock.now()
        self._telemetry.count('contact_probes')
        if await self._send(address, frames.encode_rumor(rumor)) is not None:
            self.comparison.freshness.record_contact(address, sent_at)

    def apply_version(self, address: Address, version: int) -> None:
        """Apply the version of another node's configuration."""
        for listener in self.version_listeners:
            listener(address, version)
        self._fetcher.announce(address, version)

    async def _fetch_configuration(self, address: Address) -> None:
        digest = self._make_digest(omit_configuration=False)
        transfer = _limit_transfer(_MAX_COPY_SECONDS)
        reply = await self._send(
            address, frames.encode_digest(digest), transfer
        )
        if reply is None:
            self._copies.report_failed_transfer(address, transfer)
            return
        await self._apply_digest_reply(address, *reply)

    def _make_digest(self, *, omit_configuration: bool) -> Digest:
        return Digest(
            self._directory.local_member.address,
            self._directory.hash_buckets(),
            self._holder.version,
            omit_configuration,
            accept_compressed=True,
            ask_store_age=self.comparison is not None
            and self.comparison.is_strict,
        )

    async def _apply_digest_reply(
        self,
        address: Address,
        kind: Kind,
        content: DigestReply | None,
    ) -> None:
        if kind is not Kind.KNOWLEDGE:
            return
        if content.is_empty and content.version <= self._holder.version:
            # Without the question about the store, it would have been the same.
            return
        self.synchronized = True
        received = {
            each.address: each.record_version for each in content.members
        }
        self.merge_members(list(content.members), 'digest')
        self._log_unreadable(address, content.unreadable)
        self._copies.adopt_copy(content)
        newer_members = tuple(
            each
            for each in self._directory.list_bucket_members(content.buckets)
            if received.get(each.address, (0, 0)) < each.record_version
        )
        if newer_members:
            local = self._directory.local_member.address
            rumor = Rumor(local, newer_members, (), self._holder.version)
            await self._send(address, frames.encode_rumor(rumor))

    async def _send(
        self,
        address: Address,
        frame: bytes,
        transfer: Transfer | None = None,
    ) -> tuple[Kind, object] | None:
        transfer = transfer or _limit_transfer(_MAX_EXCHANGE_SECONDS)
        with self._runtime.ledger.gossip.hold(len(frame)):
            reply = await self._relay.call(address, frame, transfer)
        if reply is None:
            self._telemetry.count('news_undelivered')
            return None
        self._selector.mark_reachable(address)
        self._restarting.remove(address)
        return reply

    def _send_rumor(
        self, address: Address, frame: bytes, own_record: Member | None
    ) -> None:
        self._spawn(self._deliver(address, frame, own_record))

    async def _deliver(
        self, address: Address, frame: bytes, own_record: Member | None
    ) -> None:
        reply = await self._send(address, frame)
        if reply is not None and own_record is not None:
            self._report_delivery(own_record)

    def _report_delivery(self, member: Member) -> None:
        for listener in self.delivery_listeners:
            listener(member)

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _limit_transfer(max_seconds: float) -> Transfer:
    return Transfer(
        _CALL_TIMEOUT_SECONDS,
        silence_seconds=_CALL_TIMEOUT_SECONDS,
        max_seconds=max_seconds,
    )
