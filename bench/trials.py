"""Trials of outlier policies with generated requests.

The policies, the floor keeper and the sibling statistics are the real
objects, fed on a clock that moves from event to event. There are no
nodes, no network and no backend servers; figures from here are trials.
"""

import enum
import heapq
import itertools
import random
from collections.abc import Sequence

import attrs

from bench.faults import HEALTHY, Fault, Scope, draw_response
from godwitknot.clock import ManualClock
from godwitknot.control.messages import PromiseRequest
from godwitknot.control.records import (
    LocatedServer,
    NodeRecord,
    NodeState,
    ServerRecord,
    ServerState,
)
from godwitknot.declarations.declaration import Weighing
from godwitknot.health.ejections import ServerHealth
from godwitknot.health.evidence import DecisionLog
from godwitknot.health.floors import FloorContext, PromiseManager
from godwitknot.health.outliers import OutlierPolicy, Sample, SequentialPolicy
from godwitknot.health.siblings import EXCHANGE_FANOUT, SiblingStatistics
from godwitknot.health.simplepolicies import (
    ConsecutiveErrorsPolicy,
    EjectionQuota,
    RoundRobinPolicy,
)
from godwitknot.units import Address

SERVICE = 'service'
WORK_CLASS = 'lookup'
_SLOTS = 4
_TIMEOUT = 5.0
_STEP_SECONDS = 0.25
_EXCHANGE_SECONDS = 2.0
_WARM_UP_SECONDS = 30.0
_FAULTY = 0


class PolicyName(enum.StrEnum):
    """Policies that are compared."""

    SEQUENTIAL = 'sequential'
    CONSECUTIVE = 'consecutive errors'
    ROUND_ROBIN = 'round robin'


@attrs.frozen
class Workload:
    """A service and its requests.

    :param rate: requests a second of each server.
    :param median: healthy service time, seconds.
    :param target: time within which a request meets its target.
    :param floor: servers that must stay in.
    """

    name: str
    servers: int
    rate: float
    median: float
    target: float
    floor: int
    weighing: Weighing


@attrs.define
class Figures:
    """What one trial measured.

    :param detected: seconds from fault to ejection of the faulty server.
    :param false_ejections: ejections of servers without a fault.
    :param least_in: fewest servers in service at any step.
    """

    requests: int = 0
    met: int = 0
    detected: float | None = None
    false_ejections: int = 0
    least_in: int = 0
    healthy_hours: float = 0


class _Context(FloorContext):
    """Siblings that answer at once."""

    def __init__(self, trial: 'Trial', number: int) -> None:
        self._trial = trial
        self._number = number

    def siblings(self, service: str) -> Sequence[LocatedServer]:
        return [
            server.located
            for server in self._trial.servers
            if server.state == ServerState.READY
        ]

    def floor(self, service: str) -> int:
        return self._trial.workload.floor

    def send(self, target: LocatedServer, request: PromiseRequest) -> None:
        asked = self._trial.servers[int(target.node.node_id)]
        asking = self._trial.servers[self._number]
        asking.keeper.handle_answer(asked.keeper.handle_request(request))

    def can_promise(self, server: str) -> bool:
        own = self._trial.servers[self._number]
        return own.health.can_promise


@attrs.define(eq=False)
class TrialServer:
    """The decision objects in front of one generated server."""

    located: LocatedServer
    statistics: SiblingStatistics
    policy: OutlierPolicy
    keeper: PromiseManager
    health: ServerHealth
    own_ejection: bool
    running: int = 0
    idle: int = 0

    @property
    def state(self) -> ServerState:
        """State by the rules of the policy that is on trial."""
        if not self.own_ejection:
            return self.health.state
        if self.policy.verdict().eject:
            return ServerState.EJECTED
        return ServerState.READY

    @property
    def fullness(self) -> float:
        """Load as the choice of a server sees it."""
        share = 1 if self.own_ejection else self.health.share()
        return self.running / _SLOTS / max(share, 0.01)

    def accepts(self) -> bool:
        """Tell whether a repeatable request may be sent now."""
        if self.running >= _SLOTS:
            return False
        if self.own_ejection:
            return self.state == ServerState.READY
        return self.health.accepts(repeatable=True, last_resort=False)

    def observe(self, sample: Sample) -> None:
        """Feed a finished request to the policy and the statistics."""
        if self.own_ejection:
            self.policy.observe(sample)
            return
        self.health.observe(sample)
        if not sample.timed_out or sample.fresh_connection:
            self.statistics.record(
                SERVICE,
                's',
                sample.work_class,
                sample.seconds,
                failed=sample.failed,
            )

    def step(self, now: float) -> None:
        """Let the policy decide."""
        if self.own_ejection:
            self.policy.tick(now)
        else:
            self.health.step()


class Trial:
    """One run of one policy with one fault."""

    def __init__(
        self,
        workload: Workload,
        policy: PolicyName,
        fault: Fault,
        seed: int,
    ) -> None:
        """Build all servers with warm caches."""
        self.workload = workload
        self.clock = ManualClock()
        self.figures = Figures(least_in=workload.servers)
        self._policy = policy
        self._fault = fault
        self._source = random.Random(seed)
        self._quota = EjectionQuota(workload.servers)
        self._ids = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        self.servers = [self._build(n) for n in range(workload.servers)]
        self._out: set[int] = set()
        self._fault_at = self.clock.now() + _WARM_UP_SECONDS

    def run(self, seconds: float) -> Figures:
        """Run the warm-up and then ``seconds`` with the fault."""
        for server in self.servers:
            server.health.record_started()
        end = self._fault_at + seconds
        self._schedule(0, self._arrive)
        self._schedule(_STEP_SECONDS, self._step)
        self._schedule(_EXCHANGE_SECONDS, self._exchange)
        while self._events and self._events[0][0] < end:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            action()
        outliers = sum(map(self._is_outlier, range(len(self.servers))))
        healthy = len(self.servers) - outliers
        self.figures.healthy_hours = healthy * seconds / 3600
        return self.figures

    def _build(self, number: int) -> TrialServer:
        located = _locate(number)
        statistics = SiblingStatistics(
            str(number), self.clock, random.Random(number)
        )
        policy = self._make_policy(statistics)
        keeper = PromiseManager(
            str(number),
            _Context(self, number),
            self.clock,
            random.Random(number),
        )
        health = ServerHealth(
            's',
            SERVICE,
            policy,
            keeper,
            DecisionLog(self.clock),
            self.clock,
            random.Random(number),
        )
        own_ejection = self._policy is PolicyName.CONSECUTIVE
        return TrialServer(
            located, statistics, policy, keeper, health, own_ejection
        )

    def _make_policy(self, statistics: SiblingStatistics) -> OutlierPolicy:
        if self._policy is PolicyName.ROUND_ROBIN:
            return RoundRobinPolicy()
        if self._policy is PolicyName.CONSECUTIVE:
            return ConsecutiveErrorsPolicy(self.clock, self._quota)
        return SequentialPolicy(
            self.clock,
            lambda name: statistics.baseline(SERVICE, 's', name),
            lambda name: self.workload.weighing,
        )

    def _schedule(self, delay: float, action: object) -> None:
        at = self.clock.now() + delay
        heapq.heappush(self._events, (at, next(self._ids), action))

    def _arrive(self) -> None:
        total = self.workload.rate * self.workload.servers
        self._schedule(self._source.expovariate(total), self._arrive)
        if self.clock.now() >= self._fault_at:
            self.figures.requests += 1
        drawn = self._source.sample(range(len(self.servers)), 2)
        drawn.sort(key=lambda number: self.servers[number].fullness)
        others = self._source.sample(range(len(self.servers)), 3)
        for number in drawn + others:
            if self.servers[number].accepts():
                self._send(number)
                return

    def _send(self, number: int) -> None:
        server = self.servers[number]
        now = self.clock.now()
        fresh = server.policy.wants_fresh_connections()
        reused = server.idle > 0 and not fresh
        server.idle -= reused
        server.running += 1
        fault = HEALTHY
        elapsed = now - self._fault_at
        if elapsed >= 0 and self._has_fault(number):
            fault = self._fault if self._fault.is_on(elapsed) else HEALTHY
        answer = draw_response(
            self._source, self.workload.median, fault, reused=reused
        )
        request_id = str(next(self._ids))
        server.policy.begin(request_id, WORK_CLASS, fresh_connection=not reused)
        timed_out = answer.seconds is None or answer.seconds > _TIMEOUT
        sample = Sample(
            WORK_CLASS,
            _TIMEOUT if timed_out else answer.seconds,
            answer.failed or timed_out,
            not reused,
            now,
            timed_out,
            request_id,
        )
        self._schedule(sample.seconds, lambda: self._finish(server, sample))

    def _finish(self, server: TrialServer, sample: Sample) -> None:
        server.running -= 1
        server.idle += not sample.timed_out
        server.observe(sample)
        good = not sample.failed and sample.seconds <= self.workload.target
        if good and sample.started >= self._fault_at:
            self.figures.met += 1

    def _step(self) -> None:
        self._schedule(_STEP_SECONDS, self._step)
        now = self.clock.now()
        for number, server in enumerate(self.servers):
            server.step(now)
            if server.state == ServerState.READY:
                self._out.discard(number)
            elif number not in self._out:
                self._out.add(number)
                self._count_ejection(number, now)
        still_in = len(self.servers) - len(self._out)
        self.figures.least_in = min(self.figures.least_in, still_in)

    def _count_ejection(self, number: int, now: float) -> None:
        elapsed = now - self._fault_at
        if elapsed < 0 or not self._is_outlier(number):
            self.figures.false_ejections += 1
        elif self.figures.detected is None:
            self.figures.detected = elapsed

    def _exchange(self) -> None:
        self._schedule(_EXCHANGE_SECONDS, self._exchange)
        for server in self.servers:
            message = server.statistics.compose(SERVICE)
            receivers = self._source.sample(self.servers, EXCHANGE_FANOUT)
            for receiver in receivers:
                receiver.statistics.merge(message)

    def _has_fault(self, number: int) -> bool:
        scope = self._fault.scope
        if scope is Scope.ONE:
            return number == _FAULTY
        if scope is Scope.DOMAIN:
            return number % 2 == 0
        return scope is Scope.ALL

    def _is_outlier(self, number: int) -> bool:
        """Tell whether an ejection of this server would be right.

        Not so if all servers have the fault, or only old connections do.
        """
        general = self._fault.scope is Scope.ALL
        if general or self._fault.hangs_reused:
            return False
        return self._has_fault(number)


def _locate(number: int) -> LocatedServer:
    address = Address('127.0.0.1', 1)
    server = ServerRecord('s', SERVICE, _SLOTS, 1, ServerState.READY)
    node = NodeRecord(
        str(number),
        1,
        1,
        'region',
        f'domain-{number % 2}',
        address,
        address,
        NodeState.READY,
        (server,),
    )
    return LocatedServer(node, server, reachable=True)
