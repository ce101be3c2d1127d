"""The local backend server, as it announces itself to this node."""

import attrs

from godwitknot.clock import Clock, SystemClock
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.memberdirectory import Member
from godwitknot.mesh.model import (
    Departure,
    Heartbeat,
    Placement,
    ServerState,
)
from godwitknot.mesh.serverstarts import (
    PROVING_HEARTBEATS,
    RivalStart,
    ServerStart,
    StartHistory,
)

# A server that started after this process, and whose first heartbeats arrive
# here, cannot have announced its departure to another process. This is the
# highest sequence number that counts as a first heartbeat.
_MAX_FIRST_SEQUENCE = 2


@attrs.define
class LocalServer:
    """State of the local server; outdated announcements are ignored.

    Each start of a server has its own ``born`` time. Within one start, the
    state only changes from ready to draining to gone.
    ``docs/design/server-starts.md`` states how starts are told apart.

    :param started: Unix milliseconds of the start of this process.
    :param clock: times the heartbeats of a start that seems older.
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
    clock: Clock = attrs.field(factory=SystemClock)
    _heartbeat_count: int = 0
    _history: StartHistory = attrs.field(factory=StartHistory)
    _rival: RivalStart = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without a rival of the current server."""
        self._rival = RivalStart(self.clock)

    @property
    def start(self) -> ServerStart:
        """The current start of the server."""
        return ServerStart(self.server_id, self.born)

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
        start = ServerStart(heartbeat.server_id, heartbeat.born)
        rival_proved = False
        if self._is_outdated(start, heartbeat):
            rival_proved = self._proves_rival(start, heartbeat)
            if not rival_proved:
                return self._ignore(heartbeat, 'late')
        self._rival.reset()
        new_start = start != self.start
        before = (self.state, self.slots, self.service, self.proved)
        if new_start:
            self._track_start(heartbeat)
            if rival_proved:
                self._heartbeat_count = PROVING_HEARTBEATS - 1
        self.sequence = heartbeat.sequence
        self.slots = heartbeat.slots
        self.service = heartbeat.service
        self._heartbeat_count += 1
        if self.state is not ServerState.DRAINING:
            self.state = heartbeat.state
        if self._heartbeat_count >= PROVING_HEARTBEATS:
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
        if not self.server_id:
            self.server_id = departure.server_id
            self.born = departure.born
        born = departure.born
        if departure.server_id == self.server_id:
            born = born or self.born
        start = ServerStart(departure.server_id, born)
        is_known = self._history.has_departed(start)
        self._history.add(start, departed=True)
        if start != self.start:
            is_rival = start == self._rival.start
            if is_known or not (is_rival or start.server_id == self.server_id):
                return False
            self._replace_start(start)
        self._rival.reset()
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
        start = ServerStart(member.server_id, member.born)
        self._history.add(start, departed=True)
        if start == self.start and self.state is ServerState.READY:
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
        self._replace_start(ServerStart(heartbeat.server_id, heartbeat.born))
        self._heartbeat_count = 0
        self.proved = (
            heartbeat.sequence <= _MAX_FIRST_SEQUENCE
            and heartbeat.born >= self.started
        )

    def _replace_start(self, start: ServerStart) -> None:
        departed = self.state in {ServerState.DRAINING, ServerState.GONE}
        self._history.add(self.start, departed=departed)
        self.server_id = start.server_id
        self.born = start.born
        self.sequence = -1
        self.state = ServerState.UNKNOWN

    def _is_outdated(self, start: ServerStart, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat may be a late one.

        A start under the current id that reports draining is never taken for
        a late one, unless it is known to have left: it may be the latest
        start, and requests must not reach it.
        """
        is_draining = heartbeat.state is ServerState.DRAINING
        if self._history.has_departed(start):
            # A draining server continues to send heartbeats.
            return not (is_draining and start == self.start)
        if is_draining and start.server_id == self.server_id:
            return False
        if start == self.start:
            return heartbeat.sequence <= self.sequence
        return start.born < self.born or self._history.may_be_late(start)

    def _proves_rival(self, start: ServerStart, heartbeat: Heartbeat) -> bool:
        """Return whether a start that seems older is the current one.

        After a clock was set back, a new start looks older than its
        predecessor, which then sends no more heartbeats.
        """
        if start == self.start or self._history.has_departed(start):
            return False
        return self._rival.add(heartbeat)

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
