"""State of one server and the transitions between its states."""

import collections
import threading
from collections.abc import Callable

import attrs

from godwitknot.clock import Clock
from godwitknot.control.records import ServerState
from godwitknot.health.evidence import Action, DecisionLog, Evidence
from godwitknot.health.floors import RENEWAL_SECONDS, Lease, PromiseManager
from godwitknot.logs import log_event

_FIRST_EJECTION_SECONDS = 5.0
_LONGEST_EJECTION_SECONDS = 300.0
_FLAPPING_SECONDS = 600.0
# More would not lengthen an ejection beyond the longest.
_EJECTIONS_KEPT = 16
_PROBATION_REQUESTS = 5
# A request whose end is never reported must not block the probation.
_PROBATION_REQUEST_SECONDS = 30.0
RAMP_SECONDS = 10.0
_RAMP_START = 0.1
# A server on probation runs one request at a time.
_PROBATION_SHARE = 0.02


@attrs.define(eq=False)
class Absence:
    """One time out of service.

    :param until: earliest start of the probation.
    :param successes: probation requests that succeeded in order.
    :param busy_until: when the running probation request is given up.
    """

    lease: Lease
    until: float
    next_renewal: float
    successes: int = 0
    busy_until: float = 0

    def take_place(self, now: float) -> bool:
        """Take the only place for a probation request, if it is free."""
        if now < self.busy_until:
            return False
        self.busy_until = now + _PROBATION_REQUEST_SECONDS
        return True


class ServerLifecycle:
    """Holds the state, the lease and the ramp of one server.

    ``lock`` guards everything; methods that change state expect it held.
    """

    def __init__(
        self,
        server: str,
        keeper: PromiseManager,
        decisions: DecisionLog,
        clock: Clock,
        on_return: Callable[[], None],
    ) -> None:
        """Begin with a server that is starting.

        :param on_return: called when the server returns to service.
        """
        self.lock = threading.RLock()
        self.absence: Absence | None = None
        self.listeners: list[Callable[[ServerState], None]] = []
        self._server = server
        self._keeper = keeper
        self._decisions = decisions
        self._clock = clock
        self._on_return = on_return
        self._state = ServerState.STARTING
        self._ramp_began = clock.now()
        self._ejections: collections.deque[float] = collections.deque(
            maxlen=_EJECTIONS_KEPT
        )

    @property
    def state(self) -> ServerState:
        """Present state; an ejection without promises ends here."""
        with self.lock:
            absence = self.absence
            if absence is not None and not absence.lease.drain:
                if not absence.lease.is_valid(self._clock.now()):
                    self.return_to_service(Action.LEASE_LAPSED)
            return self._state

    def share(self) -> float:
        """Give the share of its usual load that the server should get."""
        with self.lock:
            state = self.state
            if state == ServerState.PROBATION:
                return _PROBATION_SHARE
            if state != ServerState.READY:
                return 0
            elapsed = self._clock.now() - self._ramp_began
            gain = (1 - _RAMP_START) * elapsed / RAMP_SECONDS
            return min(1, _RAMP_START + gain)

    def change(self, state: ServerState) -> None:
        """Enter a state and tell the listeners."""
        if state == self._state:
            return
        self._state = state
        for listener in self.listeners:
            listener(state)

    def eject(self, lease: Lease) -> None:
        """Take the server out of service under a lease."""
        now = self._clock.now()
        until = now + self._count_ejection(now)
        self.absence = Absence(lease, until, now + RENEWAL_SECONDS)
        self.change(ServerState.EJECTED)

    def drain(self, lease: Lease) -> None:
        """Take the server out of service until it is gone."""
        now = self._clock.now()
        self.absence = Absence(lease, now, now + RENEWAL_SECONDS)
        self.change(ServerState.DRAINING)

    def count_probation(self, *, good: bool) -> None:
        """Take in the result of a probation request."""
        absence = self.absence
        absence.busy_until = 0
        if not good:
            now = self._clock.now()
            absence.successes = 0
            absence.until = now + self._count_ejection(now)
            self.change(ServerState.EJECTED)
            self.record(Action.PROBATION_FAILED, None, absence.lease)
            return
        absence.successes += 1
        if absence.successes >= _PROBATION_REQUESTS:
            self.return_to_service(Action.RAMPING)

    def continue_absence(self, now: float) -> None:
        """Renew the promises and begin the probation when they are due.

        Waits for siblings, so it is called without the lock.
        """
        absence = self.absence
        if absence is None:
            return
        if now >= absence.next_renewal:
            absence.next_renewal = now + RENEWAL_SECONDS
            renewed = self._keeper.renew(absence.lease)
            if not renewed and absence.lease.drain:
                log_event('drain continues without promises', name=self._server)
        with self.lock:
            ejected = self.state == ServerState.EJECTED
            if ejected and now >= absence.until:
                self.change(ServerState.PROBATION)
                self.record(Action.PROBATION, None, absence.lease)

    def return_to_service(self, reason: Action) -> None:
        """Take requests again, on a ramp."""
        self.end_absence()
        self._on_return()
        self._ramp_began = self._clock.now()
        self.change(ServerState.READY)
        self.record(reason)

    def end_absence(self) -> None:
        """Release the lease, if there is one."""
        if self.absence is not None:
            self._keeper.release(self.absence.lease)
            self.absence = None

    def record(
        self,
        action: Action,
        evidence: Evidence | None = None,
        lease: Lease | None = None,
    ) -> None:
        """Log a decision and keep it for operators."""
        promises, floor = 0, 0
        if lease is not None:
            promises = lease.count(self._clock.now())
            floor = lease.floor
        decision = self._decisions.add(
            self._server, action, evidence, promises=promises, floor=floor
        )
        log_event('server decision', name=self._server, why=decision.explain())

    def _count_ejection(self, now: float) -> float:
        """Count an ejection and give its least length in seconds."""
        recent = now - _FLAPPING_SECONDS
        earlier = sum(at > recent for at in self._ejections)
        self._ejections.append(now)
        doubled = _FIRST_EJECTION_SECONDS * 2**earlier
        return min(_LONGEST_EJECTION_SECONDS, doubled)
