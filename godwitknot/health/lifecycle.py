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

_BASE_EJECTION_SECONDS = 5.0
_MAX_EJECTION_SECONDS = 300.0
_FLAPPING_WINDOW_SECONDS = 600.0
# More ejections would not lengthen the backoff beyond the maximum.
_MAX_RECENT_EJECTIONS = 16
_PROBATION_REQUESTS = 5
# A request whose result is never reported must not block the probation.
_PROBATION_REQUEST_TIMEOUT_SECONDS = 30.0
RAMP_SECONDS = 10.0
_RAMP_START_SHARE = 0.1
# A server on probation runs one request at a time.
_PROBATION_SHARE = 0.02


@attrs.define(eq=False)
class Absence:
    """One period out of service, as ejected or draining.

    :param probation_start: earliest start of the probation.
    :param successes: consecutive probation requests that succeeded.
    :param request_deadline: when the running probation request counts as
        lost; 0 if none runs.
    """

    lease: Lease
    probation_start: float
    next_renewal: float
    successes: int = 0
    request_deadline: float = 0

    def start_probation_request(self, now: float) -> bool:
        """Reserve the only concurrent probation request, if none runs."""
        if now < self.request_deadline:
            return False
        self.request_deadline = now + _PROBATION_REQUEST_TIMEOUT_SECONDS
        return True


class ServerLifecycle:
    """State, lease and traffic ramp of one server.

    ``lock`` guards everything; methods that change the state expect the
    caller to hold it.
    """

    def __init__(
        self,
        server: str,
        promise_manager: PromiseManager,
        decisions: DecisionLog,
        clock: Clock,
        on_return: Callable[[], None],
    ) -> None:
        """Create the lifecycle of a server that is starting.

        :param on_return: called when the server returns to service.
        """
        self.lock = threading.RLock()
        self.absence: Absence | None = None
        self.listeners: list[Callable[[ServerState], None]] = []
        self._server = server
        self._promise_manager = promise_manager
        self._decisions = decisions
        self._clock = clock
        self._on_return = on_return
        self._state = ServerState.STARTING
        self._ramp_started = clock.now()
        self._recent_ejections: collections.deque[float] = collections.deque(
            maxlen=_MAX_RECENT_EJECTIONS
        )

    @property
    def state(self) -> ServerState:
        """Current state; an ejection whose lease has lapsed ends here."""
        with self.lock:
            absence = self.absence
            if absence is not None and not absence.lease.drain:
                if not absence.lease.is_valid(self._clock.now()):
                    self.return_to_service(Action.LEASE_LAPSED)
            return self._state

    def share(self) -> float:
        """Return the share of its usual load that the server should get."""
        with self.lock:
            state = self.state
            if state == ServerState.PROBATION:
                return _PROBATION_SHARE
            if state != ServerState.READY:
                return 0
            elapsed = self._clock.now() - self._ramp_started
            gain = (1 - _RAMP_START_SHARE) * elapsed / RAMP_SECONDS
            return min(1, _RAMP_START_SHARE + gain)

    def change_state(self, state: ServerState) -> None:
        """Change the state and notify the listeners."""
        if state == self._state:
            return
        self._state = state
        for listener in self.listeners:
            listener(state)

    def eject(self, lease: Lease) -> None:
        """Take the server out of service under a lease."""
        now = self._clock.now()
        probation_start = now + self._add_ejection(now)
        self.absence = Absence(lease, probation_start, now + RENEWAL_SECONDS)
        self.change_state(ServerState.EJECTED)

    def drain(self, lease: Lease) -> None:
        """Take the server out of service until it is gone."""
        now = self._clock.now()
        self.absence = Absence(lease, now, now + RENEWAL_SECONDS)
        self.change_state(ServerState.DRAINING)

    def record_probation_result(self, *, good: bool) -> None:
        """Return the server to service, or eject it again after a failure."""
        absence = self.absence
        absence.request_deadline = 0
        if not good:
            now = self._clock.now()
            absence.successes = 0
            absence.probation_start = now + self._add_ejection(now)
            self.change_state(ServerState.EJECTED)
            self.record_decision(Action.PROBATION_FAILED, None, absence.lease)
            return
        absence.successes += 1
        if absence.successes >= _PROBATION_REQUESTS:
            self.return_to_service(Action.RAMPING)

    def advance_absence(self, now: float) -> None:
        """Renew the promises and start the probation when they are due.

        Waits for replies of siblings, so call it without the lock.
        """
        absence = self.absence
        if absence is None:
            return
        if now >= absence.next_renewal:
            absence.next_renewal = now + RENEWAL_SECONDS
            renewed = self._promise_manager.renew(absence.lease)
            if not renewed and absence.lease.drain:
                log_event('drain continues without promises', name=self._server)
        with self.lock:
            ejected = self.state == ServerState.EJECTED
            if ejected and now >= absence.probation_start:
                self.change_state(ServerState.PROBATION)
                self.record_decision(Action.PROBATION, None, absence.lease)

    def return_to_service(self, reason: Action) -> None:
        """Accept requests again, with a share that ramps up."""
        self.end_absence()
        self._on_return()
        self._ramp_started = self._clock.now()
        self.change_state(ServerState.READY)
        self.record_decision(reason)

    def end_absence(self) -> None:
        """Release the lease if the server is out of service."""
        if self.absence is not None:
            self._promise_manager.release(self.absence.lease)
            self.absence = None

    def record_decision(
        self,
        action: Action,
        evidence: Evidence | None = None,
        lease: Lease | None = None,
    ) -> None:
        """Log a decision and store it for operators."""
        promises, floor = 0, 0
        if lease is not None:
            promises = lease.count_promises(self._clock.now())
            floor = lease.floor
        decision = self._decisions.add(
            self._server, action, evidence, promises=promises, floor=floor
        )
        log_event('server decision', name=self._server, why=decision.explain())

    def _add_ejection(self, now: float) -> float:
        """Count an ejection and return its minimum duration in seconds."""
        window_start = now - _FLAPPING_WINDOW_SECONDS
        earlier = sum(at > window_start for at in self._recent_ejections)
        self._recent_ejections.append(now)
        backoff = _BASE_EJECTION_SECONDS * 2**earlier
        return min(_MAX_EJECTION_SECONDS, backoff)
