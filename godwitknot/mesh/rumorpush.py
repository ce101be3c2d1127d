"""Pushes changes to other nodes.

A node tells a change of its own record to some nodes of its failure domain
and to one of each other domain; nodes that learn it tell it to others of their
domain. The cost of a change between domains thus does not grow with the
number of nodes.
"""

import asyncio
import contextlib
from collections.abc import Callable

from godwitknot.mesh import frames
from godwitknot.mesh.memberdirectory import Crash, Directory, Member
from godwitknot.mesh.messages import Rumor
from godwitknot.mesh.peersample import PeerSample
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.units import Address

# Number of peers that receive a rumor, in the same and in other failure
# domains.
_SAME_DOMAIN_FAN_OUT = 3
_OTHER_DOMAIN_FAN_OUT = 1
# Changes within this time are sent in one rumor.
_BATCH_SECONDS = 0.02
# While many other nodes change, for example as the fleet starts, rumors follow
# each other at this distance and carry more changes each. Changes of the own
# record do not wait: the node may be killed after it has acknowledged one.
_FORWARD_INTERVAL_SECONDS = 0.25


class RumorPush:
    """Changes that are to be sent, and to whom."""

    def __init__(
        self,
        directory: Directory,
        holder: ConfigurationHolder,
        sample: PeerSample,
        send: Callable[[Address, bytes], None],
    ) -> None:
        """Create a push without changes.

        :param send: sends a frame to a node without waiting for the reply.
        """
        self._directory = directory
        self._holder = holder
        self._sample = sample
        self._send = send
        self._members: dict[Address, Member] = {}
        self._crashes: list[Crash] = []
        self._requested = asyncio.Event()
        self._own_record_changed = asyncio.Event()
        self._version = 0
        holder.listeners.append(self._requested.set)
        directory.listeners.append(self._add_member)

    def add_crash(self, crash: Crash) -> None:
        """Add the report of a crash."""
        self._crashes.append(crash)
        self._requested.set()

    async def run(self) -> None:
        """Send changes until cancelled."""
        while True:
            await self._requested.wait()
            await asyncio.sleep(_BATCH_SECONDS)
            self._requested.clear()
            self._own_record_changed.clear()
            if self._push():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_FORWARD_INTERVAL_SECONDS):
                        await self._own_record_changed.wait()

    def _push(self) -> bool:
        """Send the changes; return whether there were any."""
        members, crashes = self._members, tuple(self._crashes)
        self._members, self._crashes = {}, []
        is_new_version = self._holder.version > self._version
        if not (members or crashes or is_new_version):
            return False
        self._version = self._holder.version
        peers = self._sample.list_serving()
        local = self._directory.local_member
        own_record = members.get(local.address)
        frame = self._encode(tuple(members.values()), crashes)
        for peer in self._sample.draw(peers, _SAME_DOMAIN_FAN_OUT, 0):
            self._send(peer.address, frame, own_record)
        own_changes = () if own_record is None else (own_record,)
        if own_changes or crashes or is_new_version:
            frame = self._encode(own_changes, crashes)
            others = self._sample.draw_from_each_domain(peers)
            if not own_changes:
                others = self._sample.draw(others, 0, _OTHER_DOMAIN_FAN_OUT)
            for peer in others:
                self._send(peer.address, frame, own_record)
        return True

    def _encode(
        self, members: tuple[Member, ...], crashes: tuple[Crash, ...]
    ) -> bytes:
        local = self._directory.local_member.address
        return frames.encode_rumor(
            Rumor(local, members, crashes, self._version)
        )

    def _add_member(self, member: Member) -> None:
        self._members[member.address] = member
        self._requested.set()
        if member.address == self._directory.local_member.address:
            self._own_record_changed.set()
