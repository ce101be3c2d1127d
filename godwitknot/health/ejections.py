"""Health of one server: ejection, probation and return to service."""

import random

import attrs

from godwitknot.clock import Clock
from godwitknot.control.records import ServerState
from godwitknot.health.evidence import Action, DecisionLog
from godwitknot.health.floors import PromiseManager
from godwitknot.health.lifecycle import RAMP_SECONDS, ServerLifecycle
from godwitknot.health.outliers import OutlierPolicy, Sample, Verdict

_TICK_SECONDS = 1.0
# The delay is random because two sidecars that request promises at the same
# time refuse each other.
_MIN_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 1.0


@attrs.define(eq=False)
class _Schedule:
    """When the next steps are due, and what was already logged.

    :param started: when the server last became healthy after a start.
    :param suspect: whether the server was last logged as suspected.
    :param floor_logged: whether a refusal by the floor was logged.
    """

    next_tick: float = 0
    next_ejection_attempt: float = 0
    started: float = 0
    suspect: bool = False
    floor_logged: bool = False


class ServerHealth:
    """Decides whether a server takes requests; one thread calls ``step``."""

    def __init__(
        self,
        server: str,
        service: str,
        policy: OutlierPolicy,
        promise_manager: PromiseManager,
        decisions: DecisionLog,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Create the health of a server that is starting."""
        self.server = server
        self._service = service
        self._policy = policy
        self._promise_manager = promise_manager
        self._clock = clock
        self._random = random_source or random.Random()
        self._lifecycle = ServerLifecycle(
            server, promise_manager, decisions, clock, self._reset_evidence
        )
        self._schedule = _Schedule()
        # Called with each new state; they must not block.
        self.listeners = self._lifecycle.listeners

    @property
    def state(self) -> ServerState:
        """State that is announced to the fleet."""
        return self._lifecycle.state

    @property
    def can_promise(self) -> bool:
        """Whether the server may give a stay promise."""
        ready = self.state == ServerState.READY
        return ready and not self._policy.verdict().suspect

    @property
    def is_cold(self) -> bool:
        """Whether the server is still warming up after a start."""
        return self._clock.now() < self._schedule.started + RAMP_SECONDS

    def accepts(self, *, repeatable: bool, last_resort: bool) -> bool:
        """Return whether a request may be sent to the server now.

        Only one request runs at a time during probation; ``observe`` or
        ``record_unsent`` permits the next one.

        :param repeatable: whether the class allows a repeat.
        :param last_resort: whether no other server has room.
        """
        with self._lifecycle.lock:
            state = self.state
            if state == ServerState.READY:
                return True
            absence = self._lifecycle.absence
            if absence is None or state == ServerState.DRAINING:
                return False
            if last_resort:
                return True
            if state != ServerState.PROBATION or not repeatable:
                return False
            return absence.start_probation_request(self._clock.now())

    def share(self) -> float:
        """Return the share of its usual load that the server should get."""
        return self._lifecycle.share()

    def observe(self, sample: Sample) -> None:
        """Use a finished request as evidence.

        A server that just started is slow until its caches are warm, so only
        its errors count.
        """
        with self._lifecycle.lock:
            if self.state == ServerState.PROBATION:
                if sample.started < self._lifecycle.absence.probation_start:
                    # Sent before the probation, for example as a last resort.
                    return
                good = self._policy.is_good(sample)
                self._lifecycle.record_probation_result(good=good)
                return
        if sample.failed or not self.is_cold:
            self._policy.observe(sample)
        else:
            self._policy.abandon(sample.request_id)

    def record_unsent(self) -> None:
        """Permit the next probation request after one was not sent."""
        with self._lifecycle.lock:
            if self._lifecycle.absence is not None:
                self._lifecycle.absence.request_deadline = 0

    def record_started(self) -> None:
        """Return a started and healthy server to service."""
        with self._lifecycle.lock:
            if self.state == ServerState.STARTING:
                self._schedule.started = self._clock.now()
                self._lifecycle.return_to_service(Action.RAMPING)

    def record_crashed(self) -> None:
        """Mark the server as starting; a crash does not count as ejection."""
        with self._lifecycle.lock:
            if self.state in {ServerState.DRAINING, ServerState.GONE}:
                return
            self._lifecycle.end_absence()
            self._lifecycle.change_state(ServerState.STARTING)

    def start_drain(self) -> bool:
        """Start a planned stop if the floor permits it.

        :returns: whether the server drains and takes no new requests.
        """
        with self._lifecycle.lock:
            if self.state == ServerState.DRAINING:
                return True
            if self._lifecycle.absence is not None:
                self._lifecycle.absence.lease.drain = True
                self._lifecycle.change_state(ServerState.DRAINING)
                return True
        lease = self._promise_manager.acquire(
            self._service, self.server, drain=True
        )
        if lease is None:
            if not self._schedule.floor_logged:
                self._schedule.floor_logged = True
                self._lifecycle.record_decision(Action.KEPT_BY_FLOOR)
            return False
        with self._lifecycle.lock:
            # The process may have been paused since the promises were counted.
            if not lease.is_valid(self._clock.now()):
                self._promise_manager.release(lease)
                return False
            self._lifecycle.drain(lease)
            self._lifecycle.record_decision(Action.DRAINING, None, lease)
        return True

    def record_gone(self) -> None:
        """Mark the drained server as gone."""
        with self._lifecycle.lock:
            self._lifecycle.end_absence()
            self._lifecycle.change_state(ServerState.GONE)

    def step(self) -> None:
        """Decide on the next state and renew promises.

        Called several times a second.
        """
        now = self._clock.now()
        if now >= self._schedule.next_tick:
            self._schedule.next_tick = now + _TICK_SECONDS
            self._policy.tick(now)
        if self.state == ServerState.READY:
            self._consider_ejection(now)
        else:
            self._lifecycle.advance_absence(now)

    def _reset_evidence(self) -> None:
        self._policy.reset()
        self._schedule.suspect = False
        self._schedule.floor_logged = False

    def _consider_ejection(self, now: float) -> None:
        verdict = self._policy.verdict()
        if verdict.suspect != self._schedule.suspect:
            self._schedule.suspect = verdict.suspect
            action = Action.SUSPECTED if verdict.suspect else Action.CLEARED
            self._lifecycle.record_decision(action, verdict.evidence)
        if verdict.eject and now >= self._schedule.next_ejection_attempt:
            self._try_to_eject(verdict)

    def _try_to_eject(self, verdict: Verdict) -> None:
        lease = self._promise_manager.acquire(
            self._service, self.server, drain=False
        )
        if lease is None:
            delay = self._random.uniform(_MIN_RETRY_SECONDS, _MAX_RETRY_SECONDS)
            self._schedule.next_ejection_attempt = self._clock.now() + delay
            if not self._schedule.floor_logged:
                self._schedule.floor_logged = True
                self._lifecycle.record_decision(
                    Action.KEPT_BY_FLOOR, verdict.evidence
                )
            return
        with self._lifecycle.lock:
            if self.state != ServerState.READY:
                self._promise_manager.release(lease)
                return
            self._reset_evidence()
            self._lifecycle.eject(lease)
            self._lifecycle.record_decision(
                Action.EJECTED, verdict.evidence, lease
            )
