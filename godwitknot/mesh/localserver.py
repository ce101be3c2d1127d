"""The server beside this node, as it announces itself."""

import attrs

from godwitknot.mesh.events import EventLog
from godwitknot.mesh.memberdirectory import Member
from godwitknot.mesh.model import (
    Departure,
    Heartbeat,
    Placement,
    ServerState,
)

# Heartbeats of one start, in order, that prove a server lives and stays,
# for a node that started after it and cannot get a good health answer.
_PROVING_HEARTBEATS = 3
# A server that started after this process, and whose first heartbeats reach
# it, cannot have told another process that it leaves.
_FIRST_SEQUENCE = 2
_LEAVING = frozenset((ServerState.DRAINING, ServerState.GONE))


@attrs.define
class LocalServer:
    """State of the local server; late announcements change nothing.

    One start of a server is told by its ``born``. Within it, the state only
    goes from ready to draining to gone.

    :param started: Unix milliseconds of the start of this process.
    :ivar proved: whether work may be sent to it: the process knows that it
        is there and does not leave.
    """

    placement: Placement
    log: EventLog
    started: int
    server_id: str = ''
    born: int = 0
    sequence: int = -1
    state: ServerState = ServerState.UNKNOWN
    slots: int = 1
    service: str = ''
    proved: bool = False
    _heard: int = 0
    _left: dict[str, int] = attrs.field(factory=dict)
    # Heartbeats in a row of a server that seems older than the present one.
    _rivals: int = 0

    @property
    def open_for_work(self) -> bool:
        """Whether new requests may be sent to the server."""
        return self.proved and self.state is ServerState.READY

    @property
    def needs_proof(self) -> bool:
        """Whether a health answer would open the server for work."""
        return self.state is ServerState.READY and not self.proved

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Take in a heartbeat.

        :returns: whether anything but the sequence changed.
        """
        if heartbeat.address != self.placement.server:
            return self._ignore(heartbeat, 'other address')
        if self._is_late(heartbeat) and not self._persists(heartbeat):
            return self._ignore(heartbeat, 'late')
        self._rivals = 0
        fresh = (heartbeat.server_id, heartbeat.born) != (
            self.server_id,
            self.born,
        )
        before = (self.state, self.slots, self.service, self.proved)
        if fresh:
            self._begin(heartbeat)
        self.sequence = heartbeat.sequence
        self.slots = heartbeat.slots
        self.service = heartbeat.service
        self._heard += 1
        if self.state is not ServerState.DRAINING:
            self.state = heartbeat.state
        if self._heard >= _PROVING_HEARTBEATS:
            self.proved = True
        after = (self.state, self.slots, self.service, self.proved)
        if fresh or before != after:
            self.log.write(
                'server state',
                server=self.server_id,
                state=self.state.value,
                sequence=self.sequence,
                proved=self.proved,
            )
            return True
        return False

    def apply_departure(self, departure: Departure) -> bool:
        """Take in that a server leaves.

        :returns: whether it is the present server.
        """
        born = departure.born
        if departure.server_id == self.server_id:
            born = born or self.born
        known = self._left.get(departure.server_id, -1)
        self._left[departure.server_id] = max(known, born)
        if departure.server_id != self.server_id or born < self.born:
            return False
        self.state = ServerState.GONE
        self.log.write('server state', server=self.server_id, state='gone')
        return True

    def restore(self, member: Member) -> None:
        """Take in a record that an earlier run of this node left.

        A server that was leaving then must not get work on the word of a
        late heartbeat. Any other needs only a good health answer, before
        its next heartbeat.
        """
        if not member.server_id:
            return
        if member.state not in _LEAVING:
            if not self.server_id:
                self._adopt(member)
            return
        known = self._left.get(member.server_id, -1)
        self._left[member.server_id] = max(known, member.born)
        same = (member.server_id, member.born) == (self.server_id, self.born)
        if same and self.state is ServerState.READY:
            self.state = member.state
            self.log.write(
                'server state',
                server=self.server_id,
                state=self.state.value,
                reason='record of an earlier run',
            )

    def note_healthy(self, server_id: str) -> bool:
        """Take in a good health answer.

        :returns: whether the server is open for work by it.
        """
        if not self.needs_proof or server_id != self.server_id:
            return False
        self.proved = True
        self.log.write('server proved by health check', server=server_id)
        return True

    def _adopt(self, member: Member) -> None:
        self.server_id = member.server_id
        self.born = member.born
        self.service = member.service
        self.slots = member.slots
        self.state = ServerState.READY
        self.log.write(
            'server state',
            server=self.server_id,
            state=self.state.value,
            reason='record of an earlier run',
        )

    def _begin(self, heartbeat: Heartbeat) -> None:
        self.server_id = heartbeat.server_id
        self.born = heartbeat.born
        self.state = ServerState.UNKNOWN
        self._heard = 0
        self.proved = (
            heartbeat.sequence <= _FIRST_SEQUENCE
            and heartbeat.born >= self.started
        )

    def _is_late(self, heartbeat: Heartbeat) -> bool:
        left_born = self._left.get(heartbeat.server_id)
        if left_born is not None and heartbeat.born <= left_born:
            # A draining server goes on with its heartbeats.
            return heartbeat.state is not ServerState.DRAINING
        if heartbeat.born < self.born:
            return True
        same = heartbeat.server_id == self.server_id
        if heartbeat.born == self.born and same:
            return heartbeat.sequence <= self.sequence
        return False

    def _persists(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a server that seems older is the present one.

        A clock that was set back lets a new server look older than its
        predecessor, which is then silent.
        """
        if heartbeat.server_id == self.server_id:
            return False
        if heartbeat.server_id in self._left:
            return False
        self._rivals += 1
        return self._rivals >= _PROVING_HEARTBEATS

    def _ignore(self, heartbeat: Heartbeat, reason: str) -> bool:
        self.log.write(
            'heartbeat ignored',
            server=heartbeat.server_id,
            reason=reason,
            born=heartbeat.born,
            sequence=heartbeat.sequence,
            known_born=self.born,
            known_sequence=self.sequence,
        )
        return False
