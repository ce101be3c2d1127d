"""The local backend server, as it announces itself to this node."""

import attrs

from godwitknot.mesh.events import EventLog
from godwitknot.mesh.memberdirectory import Member
from godwitknot.mesh.model import (
    Departure,
    Heartbeat,
    Placement,
    ServerState,
)

# Heartbeats in order, of one start, that prove that a server runs and is not
# leaving. A node that started after its server needs them if the health check
# does not succeed.
_PROVING_HEARTBEATS = 3
# A server that started after this process, and whose first heartbeats arrive
# here, cannot have announced its departure to another process. This is the
# highest sequence number that counts as a first heartbeat.
_MAX_FIRST_SEQUENCE = 2


@attrs.define
class LocalServer:
    """State of the local server; outdated announcements are ignored.

    Each start of a server has its own ``born`` time. Within one start, the
    state only changes from ready to draining to gone.

    :param started: Unix milliseconds of the start of this process.
    :ivar proved: whether requests may be sent to it, since it is known to
        run and not to be leaving.
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
    _heartbeat_count: int = 0
    # Newest ``born`` time of each server that is leaving or has left.
    _departed: dict[str, int] = attrs.field(factory=dict)
    # Consecutive heartbeats of a server that seems older than the current one.
    _rival_heartbeats: int = 0

    @property
    def open_for_work(self) -> bool:
        """Whether new requests may be sent to the server."""
        return self.proved and self.state is ServerState.READY

    @property
    def needs_proof(self) -> bool:
        """Whether a passed health check would open the server for requests."""
        return self.state is ServerState.READY and not self.proved

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Update the state from a heartbeat.

        :returns: whether anything other than the sequence changed.
        """
        if heartbeat.address != self.placement.server:
            return self._ignore(heartbeat, 'other address')
        if self._is_outdated(heartbeat) and not self._confirms_rival(heartbeat):
            return self._ignore(heartbeat, 'late')
        self._rival_heartbeats = 0
        new_start = (heartbeat.server_id, heartbeat.born) != (
            self.server_id,
            self.born,
        )
        before = (self.state, self.slots, self.service, self.proved)
        if new_start:
            self._track_start(heartbeat)
        self.sequence = heartbeat.sequence
        self.slots = heartbeat.slots
        self.service = heartbeat.service
        self._heartbeat_count += 1
        if self.state is not ServerState.DRAINING:
            self.state = heartbeat.state
        if self._heartbeat_count >= _PROVING_HEARTBEATS:
            self.proved = True
        after = (self.state, self.slots, self.service, self.proved)
        if new_start or before != after:
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
        """Record that a server is leaving.

        If there is no current server, as after a start of this process, the
        leaving one becomes it, so that its departure is published.

        :returns: whether it is the current server.
        """
        born = departure.born
        if not self.server_id:
            self.server_id = departure.server_id
            self.born = born
        if departure.server_id == self.server_id:
            born = born or self.born
        known = self._departed.get(departure.server_id, -1)
        self._departed[departure.server_id] = max(known, born)
        if departure.server_id != self.server_id or born < self.born:
            return False
        self.state = ServerState.GONE
        self.log.write('server state', server=self.server_id, state='gone')
        return True

    def restore(self, member: Member) -> None:
        """Apply the record that an earlier run of this node published.

        A server that was leaving then must not get requests because of a late
        heartbeat. Any other server needs only to pass a health check, without
        waiting for its next heartbeat.
        """
        if not member.server_id:
            return
        if not member.is_departing:
            if not self.server_id:
                self._adopt(member)
            return
        known = self._departed.get(member.server_id, -1)
        self._departed[member.server_id] = max(known, member.born)
        same_start = (member.server_id, member.born) == (
            self.server_id,
            self.born,
        )
        if same_start and self.state is ServerState.READY:
            self.state = member.state
            self.log.write(
                'server state',
                server=self.server_id,
                state=self.state.value,
                reason='record of an earlier run',
            )

    def record_health_check(self, server_id: str) -> bool:
        """Record a passed health check.

        :param server_id: of the server that answered.
        :returns: whether it opened the server for requests.
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

    def _track_start(self, heartbeat: Heartbeat) -> None:
        self.server_id = heartbeat.server_id
        self.born = heartbeat.born
        self.state = ServerState.UNKNOWN
        self._heartbeat_count = 0
        self.proved = (
            heartbeat.sequence <= _MAX_FIRST_SEQUENCE
            and heartbeat.born >= self.started
        )

    def _is_outdated(self, heartbeat: Heartbeat) -> bool:
        departed_born = self._departed.get(heartbeat.server_id)
        if departed_born is not None and heartbeat.born <= departed_born:
            # A draining server continues to send heartbeats.
            return heartbeat.state is not ServerState.DRAINING
        if heartbeat.born < self.born:
            return True
        same_server = heartbeat.server_id == self.server_id
        if heartbeat.born == self.born and same_server:
            return heartbeat.sequence <= self.sequence
        return False

    def _confirms_rival(self, heartbeat: Heartbeat) -> bool:
        """Return whether a server that seems older is the current one.

        After a clock was set back, a new server looks older than its
        predecessor, which then sends no more heartbeats.
        """
        if heartbeat.server_id == self.server_id:
            return False
        if heartbeat.server_id in self._departed:
            return False
        self._rival_heartbeats += 1
        return self._rival_heartbeats >= _PROVING_HEARTBEATS

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
