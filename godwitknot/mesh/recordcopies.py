"""Copies of this node's record outside of its process."""

import asyncio

from godwitknot.mesh.events import EventLog
from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.peersample import PeerSample

# The platform's servers wait a second for an acknowledgement.
_MAX_WAIT_SECONDS = 0.5


class RecordCopies:
    """Knows whether the departure of the local server would survive this node.

    A node that is killed right after it has acknowledged a departure must not
    take the departure with it.
    """

    def __init__(
        self, directory: Directory, peers: PeerSample, log: EventLog
    ) -> None:
        """Create an object that knows of no copies.

        :param peers: nodes that may have a copy.
        """
        self._directory = directory
        self._peers = peers
        self._log = log
        self._stored = (0, 0)
        self._delivered = (0, 0)
        self._abandoned = (0, 0)
        self._changed = asyncio.Event()

    def mark_stored(self, member: Member) -> None:
        """Record that the store has acknowledged a record of this node."""
        self._stored = max(self._stored, member.record_version)
        self._changed.set()

    def mark_delivered(self, member: Member) -> None:
        """Record that another node has received a record of this node."""
        self._delivered = max(self._delivered, member.record_version)
        self._changed.set()

    async def wait(self) -> None:
        """Wait until the store and another node know that the server leaves.

        Returns at once if it does not leave, and in any case after 0.5 s: the
        local server is not kept waiting for a store that is down.
        """
        member = self._directory.local_member
        if not member.is_departing or self._abandoned >= member.record_version:
            return
        try:
            async with asyncio.timeout(_MAX_WAIT_SECONDS):
                await self._wait_for_copies(member)
        except TimeoutError:
            self._abandoned = member.record_version
            self._log.write(
                'departure not copied',
                server=member.server_id,
                stored=self._stored >= member.record_version,
                delivered=self._delivered >= member.record_version,
            )

    async def _wait_for_copies(self, member: Member) -> None:
        while not self._is_copied(member):
            self._changed.clear()
            await self._changed.wait()

    def _is_copied(self, member: Member) -> bool:
        if self._stored < member.record_version:
            return False
        if self._delivered >= member.record_version:
            return True
        return not self._peers.list_serving()
