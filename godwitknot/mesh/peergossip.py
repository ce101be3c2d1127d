"""News among nodes: pushed when something changes, compared each second."""

import asyncio
from collections.abc import Callable

from godwitknot.control.messages import CrashReport
from godwitknot.errors import ProtocolError
from godwitknot.health.crashes import CrashTracker
from godwitknot.mesh import frames
from godwitknot.mesh.memberdirectory import Crash, Directory, Member
from godwitknot.mesh.messages import Digest, Kind, Knowledge, Rumor
from godwitknot.mesh.noderelay import RelayClient
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.units import Address

# Peers that a node passes news on to. Bytes between failure domains are
# priced, and one copy for each node is enough there.
_NEAR_FAN_OUT = 3
_FAR_FAN_OUT = 1
# Share of the comparisons that are with another failure domain.
_FAR_SHARE = 0.25
# Changes of the same moment travel together.
_GATHER_SECONDS = 0.02
_DIGEST_SECONDS = 1.0
_TELL_SECONDS = 1.0
# The store tells each node of a new version; a peer is asked only if that
# takes longer than this.
_PULL_AFTER_SECONDS = 0.5
_MOST_PROBED = 3
# A node that closed its connections restarts within seconds, or its machine
# is replaced and never answers.
_AWAIT_RESTART_SECONDS = 30.0


class PeerGossip:
    """Keeps directory and configuration in step with other nodes."""

    def __init__(
        self,
        directory: Directory,
        holder: ConfigurationHolder,
        selector: ServerSelector,
        crashes: CrashTracker,
        relay: RelayClient,
        runtime: Runtime,
    ) -> None:
        """Take the collaborators."""
        self._directory = directory
        self._holder = holder
        self._selector = selector
        self._crashes = crashes
        self._relay = relay
        self._clock = runtime.clock
        self._log = runtime.log
        self._telemetry = runtime.telemetry
        self._rng = runtime.rng
        self._news: dict[Address, Member] = {}
        self._crash_news: dict[tuple, Crash] = {}
        self._seen_crashes: set[tuple] = set()
        # Nodes that closed their connections, and until when to ask them.
        self._restarting: dict[Address, float] = {}
        # Called with a record that an earlier run of this node left.
        self.recall_listeners: list[Callable[[Member], None]] = []
        self._waking = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self.synchronized = False
        holder.listeners.append(self._waking.set)
        directory.listeners.append(self._note_change)

    def start(self) -> list[asyncio.Task]:
        """Start the tasks."""
        return [
            asyncio.ensure_future(self._push()),
            asyncio.ensure_future(self._compare()),
        ]

    def take_members(self, members: list[Member], origin: str) -> None:
        """Take in records, from the store or from other nodes."""
        own = self._directory.local_member
        own_address = own.address
        recalled = [
            member
            for member in members
            if member.address == own_address
            and member.incarnation != own.incarnation
        ]
        for member in self._directory.merge(members):
            if member.address == own_address:
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
        for member in recalled:
            self._recall(member)

    def report_crash(self, fingerprints: tuple[int, ...]) -> None:
        """Tell the fleet which requests ran when the server crashed."""
        own = self._directory.local_member
        crash = Crash(own.service, own.node, own.server_id, fingerprints)
        self._take_crash(crash)

    def handle(self, kind: Kind, content: object) -> bytes | None:
        """Answer a frame of another node.

        :raises ProtocolError: if it is no news.
        """
        if kind is Kind.RUMOR:
            self._take_rumor(content)
            return frames.encode_same()
        if kind is Kind.DIGEST:
            return self._answer_digest(content)
        raise ProtocolError(f'unexpected {kind}')

    def _recall(self, member: Member) -> None:
        for listener in self.recall_listeners:
            listener(member)

    def _note_change(self, member: Member) -> None:
        self._news[member.address] = member
        self._waking.set()

    def _take_rumor(self, rumor: Rumor) -> None:
        self._selector.mark_reachable(rumor.sender)
        self.take_members(list(rumor.members), 'rumor')
        for crash in rumor.crashes:
            self._take_crash(crash)
        if rumor.version > self._holder.version:
            self._spawn(self._pull(rumor.sender, rumor.version))

    def _take_crash(self, crash: Crash) -> None:
        key = (crash.node, crash.server_id, crash.fingerprints)
        if key in self._seen_crashes:
            return
        self._seen_crashes.add(key)
        self._crash_news[key] = crash
        self._waking.set()
        self._log.write(
            'server crashed',
            server=crash.server_id,
            peer=crash.node,
            in_flight=len(crash.fingerprints),
        )
        self._crashes.record_crash(
            CrashReport(
                crash.service,
                crash.node,
                crash.server_id,
                0,
                crash.fingerprints,
            )
        )

    def _answer_digest(self, digest: Digest) -> bytes:
        self._selector.mark_reachable(digest.sender)
        differing = self._directory.find_differing_buckets(digest.buckets)
        newer = self._holder.version > digest.version
        if digest.version > self._holder.version:
            self._spawn(self._pull(digest.sender, digest.version))
        if not (differing or newer):
            return frames.encode_same()
        members = self._directory.list_bucket_members(differing)
        source = self._holder.current.source if newer else b''
        knowledge = Knowledge(members, differing, source)
        return frames.encode_knowledge(knowledge)

    async def _push(self) -> None:
        version = 0
        while True:
            await self._waking.wait()
            await asyncio.sleep(_GATHER_SECONDS)
            self._waking.clear()
            members = tuple(self._news.values())
            crashes = tuple(self._crash_news.values())
            self._news.clear()
            self._crash_news.clear()
            if not (members or crashes or self._holder.version > version):
                continue
            version = self._holder.version
            rumor = Rumor(
                self._directory.local_member.address, members, crashes, version
            )
            frame = frames.encode_rumor(rumor)
            peers = self._listening()
            for peer in self._sample(peers, _NEAR_FAN_OUT, _FAR_FAN_OUT):
                self._spawn(self._tell(peer.address, frame))

    async def _compare(self) -> None:
        while True:
            await asyncio.sleep(_DIGEST_SECONDS * (0.5 + self._rng.random()))
            for address in self._list_nodes_to_ask():
                self._spawn(self._exchange(address))
            far = int(self._rng.random() < _FAR_SHARE)
            # A node that stopped may be back and know nobody, so that it
            # has to be asked.
            peers = self._directory.list_peers()
            for peer in self._sample(peers, 1 - far, far):
                await self._exchange(peer.address)

    def _list_nodes_to_ask(self) -> list[Address]:
        """Give the nodes to ask now, whether they are back.

        One that restarts while the store is away knows nobody. It is not
        ready before a node that is asks it.
        """
        now = self._clock.now()
        closed = set(self._relay.remove_closed())
        zone = self._directory.local_member.zone
        for peer in self._directory.list_peers():
            # Others are left to the nodes of their own failure domain.
            if peer.address in closed and peer.zone == zone:
                self._restarting[peer.address] = now + _AWAIT_RESTART_SECONDS
        self._restarting = {
            address: end
            for address, end in self._restarting.items()
            if now < end
        }
        waited = list(self._selector.unreachable)[:_MOST_PROBED]
        waited += list(self._restarting)[:_MOST_PROBED]
        return list(dict.fromkeys(waited))

    async def _exchange(self, address: Address) -> None:
        """Compare with another node and even out the differences."""
        digest = Digest(
            self._directory.local_member.address,
            self._directory.hash_buckets(),
            self._holder.version,
        )
        frame = frames.encode_digest(digest)
        reply = await self._tell(address, frame)
        if reply is None:
            return
        kind, content = reply
        if kind is not Kind.KNOWLEDGE:
            return
        self.synchronized = True
        theirs = {each.address: each.record_version for each in content.members}
        self.take_members(list(content.members), 'digest')
        if content.configuration:
            self._holder.adopt(content.configuration, 'peer')
        lacking = tuple(
            each
            for each in self._directory.list_bucket_members(content.buckets)
            if theirs.get(each.address, (0, 0)) < each.record_version
        )
        if lacking:
            own = self._directory.local_member.address
            rumor = Rumor(own, lacking, (), self._holder.version)
            await self._tell(address, frames.encode_rumor(rumor))

    async def _pull(self, address: Address, version: int) -> None:
        await asyncio.sleep(_PULL_AFTER_SECONDS)
        if self._holder.version < version:
            await self._exchange(address)

    async def _tell(
        self,
        address: Address,
        frame: bytes,
    ) -> tuple[Kind, object] | None:
        reply = await self._relay.call(address, frame, _TELL_SECONDS)
        if reply is None:
            self._telemetry.count('news_undelivered')
            return None
        self._selector.mark_reachable(address)
        self._restarting.pop(address, None)
        return reply

    def _listening(self) -> list[Member]:
        """Give the peers that are believed to hear news."""
        silent = self._selector.unreachable
        return [
            each
            for each in self._directory.list_peers()
            if each.serving and each.address not in silent
        ]

    def _sample(self, peers: list[Member], near: int, far: int) -> list[Member]:
        """Draw peers.

        :param near: how many of the own failure domain; where it has fewer,
            others take their place.
        :param far: how many of other failure domains.
        """
        zone = self._directory.local_member.zone
        close = [each for each in peers if each.zone == zone]
        distant = [each for each in peers if each.zone != zone]
        drawn = self._rng.sample(close, min(near, len(close)))
        wanted = near + far - len(drawn)
        drawn += self._rng.sample(distant, min(wanted, len(distant)))
        return drawn

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
