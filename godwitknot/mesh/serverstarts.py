"""The starts of the local server, told apart by id and ``born`` time.

``docs/design/server-starts.md`` gives the rules.
"""

import attrs

from godwitknot.clock import Clock
from godwitknot.mesh.model import Heartbeat

# Heartbeats in order, of one start, that prove that a server runs and is not
# leaving. A node that started after its server needs them if the health check
# does not succeed.
PROVING_HEARTBEATS = 3
# A paused node reads the late heartbeats that have queued up within
# milliseconds. Servers send one every 1.5 s.
_MIN_PROVING_SECONDS = 1.0
# A server that restarts each second fills this in four minutes, and late
# messages arrive within seconds.
_MAX_KEPT_STARTS = 256


@attrs.frozen
class ServerStart:
    """Identity of one start of a server.

    :param born: start of the server in Unix milliseconds, 0 if unknown.
    """

    server_id: str
    born: int


@attrs.define
class RivalStart:
    """Heartbeats of a start that seems older than the current one.

    :ivar start: of the latest such heartbeat, ``None`` if there is none.
    """

    _clock: Clock
    start: ServerStart | None = None
    _sequence: int = -1
    _count: int = 0
    _since: float = 0

    def reset(self) -> None:
        """Start over, since the current start has announced itself."""
        self.start = None

    def add(self, heartbeat: Heartbeat) -> bool:
        """Count a heartbeat.

        :returns: whether the heartbeats prove that the start is the current
            one: there were enough, in order, and not all at once.
        """
        start = ServerStart(heartbeat.server_id, heartbeat.born)
        if start != self.start:
            self.start = start
            self._sequence = -1
            self._count = 0
            self._since = self._clock.now()
        if heartbeat.sequence <= self._sequence:
            return False
        self._sequence = heartbeat.sequence
        self._count += 1
        if self._count < PROVING_HEARTBEATS:
            return False
        return self._clock.now() - self._since >= _MIN_PROVING_SECONDS


@attrs.define
class StartHistory:
    """Earlier starts of servers at this address; the oldest are dropped."""

    # Whether the start is leaving or has left, by start.
    _earlier: dict[ServerStart, bool] = attrs.field(factory=dict)

    def add(self, start: ServerStart, *, departed: bool) -> None:
        """Record a start that was replaced, or that leaves."""
        known = self._earlier.pop(start, False)
        self._earlier[start] = known or departed
        if len(self._earlier) > _MAX_KEPT_STARTS:
            self._earlier.pop(next(iter(self._earlier)))

    def has_departed(self, start: ServerStart) -> bool:
        """Return whether a start is known to be leaving or to have left."""
        return self._earlier.get(start, False)

    def may_be_late(self, start: ServerStart) -> bool:
        """Return whether a message of a start may be a late one.

        It may if the start was replaced, or seems older than a departed one.
        """
        if start in self._earlier:
            return True
        return any(
            departed
            and known.server_id == start.server_id
            and start.born <= known.born
            for known, departed in self._earlier.items()
        )
