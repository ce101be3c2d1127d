"""Decides when a server is ejected, tried again and returned."""

import random

import attrs

from godwitknot.clock import Clock
from godwitknot.control.records import ServerState
from godwitknot.health.evidence import Action, DecisionLog
from godwitknot.health.floors import PromiseManager
from godwitknot.health.lifecycle import RAMP_SECONDS, ServerLifecycle
from godwitknot.health.outliers import OutlierPolicy, Sample, Verdict

_TICK_SECONDS = 1.0
# Two sidecars that ask for promises at the same time refuse each other.
_LEAST_RETRY_SECONDS = 0.2
_MOST_RETRY_SECONDS = 1.0


@attrs.define(eq=False)
class _Schedule:
    """When the next steps are due, and what was already logged."""

    next_tick: float = 0
    next_attempt: float = 0
    started: float = 0
    suspect: bool = False
    kept: bool = False


class ServerHealth:
    """Decides whether a server takes requests; one thread calls ``step``."""

    def __init__(
        self,
        server: str,
        service: str,
        policy: OutlierPolicy,
        keeper: PromiseManager,
        decisions: DecisionLog,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Begin with a server that is starting."""
        self.server = server
        self._service = service
        self._policy = policy
        self._keeper = keeper
        self._clock = clock
        self._random = random_source or random.Random()
        self._life = ServerLifecycle(
            server, keeper, decisions, clock, self._forget_evidence
        )
        self._schedule = _Schedule()
        # Called with each new state; they must not block.
        self.listeners = self._life.listeners

    @property
    def state(self) -> ServerState:
        """State as it is announced to the fleet."""
        return self._life.state

    @property
    def can_promise(self) -> bool:
        """Whether the server may promise to stay in."""
        ready = self.state == ServerState.READY
        return ready and not self._policy.verdict().suspect

    @property
    def is_cold(self) -> bool:
        """Whether the server warms up after a start."""
        return self._clock.now() < self._schedule.started + RAMP_SECONDS

    def accepts(self, *, repeatable: bool, last_resort: bool) -> bool:
        """Tell whether a request may be sent to the server now.

        A request that is accepted during probation takes the only place;
        ``observe`` or ``record_unsent`` frees it.

        :param repeatable: whether the class allows a repeat.
        :param last_resort: whether no other server has room.
        """
        with self._life.lock:
            state = self.state
            if state == ServerState.READY:
                return True
            absence = self._life.absence
            if absence is None or state == ServerState.DRAINING:
                return False
            if last_resort:
                return True
            if state != ServerState.PROBATION or not repeatable:
                return False
            return absence.take_place(self._clock.now())

    def share(self) -> float:
        """Give the share of its usual load that the server should get."""
        return self._life.share()

    def observe(self, sample: Sample) -> None:
        """Take in a finished request.

        A server that just started is slow until its caches are warm; only
        its errors count.
        """
        with self._life.lock:
            if self.state == ServerState.PROBATION:
                if sample.started < self._life.absence.until:
                    # Sent before the probation, as a last resort perhaps.
                    return
                good = self._policy.is_good(sample)
                self._life.count_probation(good=good)
                return
        if sample.failed or not self.is_cold:
            self._policy.observe(sample)
        else:
            self._policy.abandon(sample.request_id)

    def record_unsent(self) -> None:
        """Free the probation place of a request that was not sent."""
        with self._life.lock:
            if self._life.absence is not None:
                self._life.absence.busy_until = 0

    def record_started(self) -> None:
        """The server is up and healthy; it begins to take requests."""
        with self._life.lock:
            if self.state == ServerState.STARTING:
                self._schedule.started = self._clock.now()
                self._life.return_to_service(Action.RAMPING)

    def record_crashed(self) -> None:
        """The server is down; a crash is no ejection."""
        with self._life.lock:
            if self.state in {ServerState.DRAINING, ServerState.GONE}:
                return
            self._life.end_absence()
            self._life.change(ServerState.STARTING)

    def start_drain(self) -> bool:
        """Begin a planned stop, if the floor permits it.

        :returns: whether the server drains; it takes no new requests then.
        """
        with self._life.lock:
            if self.state == ServerState.DRAINING:
                return True
            if self._life.absence is not None:
                self._life.absence.lease.drain = True
                self._life.change(ServerState.DRAINING)
                return True
        lease = self._keeper.acquire(self._service, self.server, drain=True)
        if lease is None:
            if not self._schedule.kept:
                self._schedule.kept = True
                self._life.record(Action.KEPT_BY_FLOOR)
            return False
        with self._life.lock:
            # The process may have paused since the promises were counted.
            if not lease.is_valid(self._clock.now()):
                self._keeper.release(lease)
                return False
            self._life.drain(lease)
            self._life.record(Action.DRAINING, None, lease)
        return True

    def record_gone(self) -> None:
        """The drained server has ended."""
        with self._life.lock:
            self._life.end_absence()
            self._life.change(ServerState.GONE)

    def step(self) -> None:
        """Decide and renew; called several times a second."""
        now = self._clock.now()
        if now >= self._schedule.next_tick:
            self._schedule.next_tick = now + _TICK_SECONDS
            self._policy.tick(now)
        if self.state == ServerState.READY:
            self._consider_ejection(now)
        else:
            self._life.continue_absence(now)

    def _forget_evidence(self) -> None:
        self._policy.reset()
        self._schedule.suspect = False
        self._schedule.kept = False

    def _consider_ejection(self, now: float) -> None:
        verdict = self._policy.verdict()
        if verdict.suspect != self._schedule.suspect:
            self._schedule.suspect = verdict.suspect
            action = Action.SUSPECTED if verdict.suspect else Action.CLEARED
            self._life.record(action, verdict.evidence)
        if verdict.eject and now >= self._schedule.next_attempt:
            self._try_to_eject(verdict)

    def _try_to_eject(self, verdict: Verdict) -> None:
        lease = self._keeper.acquire(self._service, self.server, drain=False)
        if lease is None:
            delay = self._random.uniform(
                _LEAST_RETRY_SECONDS, _MOST_RETRY_SECONDS
            )
            self._schedule.next_attempt = self._clock.now() + delay
            if not self._schedule.kept:
                self._schedule.kept = True
                self._life.record(Action.KEPT_BY_FLOOR, verdict.evidence)
            return
        with self._life.lock:
            if self.state != ServerState.READY:
                self._keeper.release(lease)
                return
            self._forget_evidence()
            self._life.eject(lease)
            self._life.record(Action.EJECTED, verdict.evidence, lease)
