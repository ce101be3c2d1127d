"""Simulates outlier policies with generated requests.

The policies, the promise manager and the sibling statistics are the real
objects; a clock that advances from event to event drives them. There are no
nodes, no network and no backend servers, so results from here are trials.
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
_TIMEOUT_SECONDS = 5.0
_STEP_SECONDS = 0.25
_EXCHANGE_SECONDS = 2.0
_WARM_UP_SECONDS = 30.0
_FAULTY_SERVER = 0


class PolicyName(enum.StrEnum):
    """Policies that are compared."""

    SEQUENTIAL = 'sequential'
    CONSECUTIVE = 'consecutive errors'
    ROUND_ROBIN = 'round robin'


@attrs.frozen
class Workload:
    """A service and its requests.

    :param servers: number of servers.
    :param rate: requests per second of each server.
    :param median: healthy service time, seconds.
    :param target: time within which a request meets its target.
    :param floor: servers that must stay in service.
    :param weighing: whether ejections favour detection or caution.
    """

    name: str
    servers: int
    rate: float
    median: float
    target: float
    floor: int
    weighing: Weighing


@attrs.define
class TrialResult:
    """Results of one trial.

    :param requests: requests since the start of the fault.
    :param met_target: those that succeeded within their target.
    :param detection_seconds: time from the fault to the first ejection of a
        faulty server, ``None`` without an ejection.
    :param false_ejections: ejections before the fault or of servers whose
        ejection is wrong.
    :param min_in_service: fewest servers in service at any step.
    :param healthy_hours: server-hours, after the start of the fault, of
        servers whose ejection is wrong.
    """

    requests: int = 0
    met_target: int = 0
    detection_seconds: float | None = None
    false_ejections: int = 0
    min_in_service: int = 0
    healthy_hours: float = 0


class _TrialFloorContext(FloorContext):
    """The floor context of a server whose siblings reply at once."""

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
        target_server = self._trial.servers[int(target.node.node_id)]
        sender = self._trial.servers[self._number]
        sender.promise_manager.handle_answer(
            target_server.promise_manager.handle_request(request)
        )

    def can_promise(self, server: str) -> bool:
        local_server = self._trial.servers[self._number]
        return local_server.health.can_promise


@attrs.define(eq=False)
class TrialServer:
    """A simulated server and the objects that decide on its ejection.

    :param policy_ejects: whether the policy ejects by itself, without the
        floor and the states of ``health``.
    """

    located: LocatedServer
    statistics: SiblingStatistics
    policy: OutlierPolicy
    promise_manager: PromiseManager
    health: ServerHealth
    policy_ejects: bool
    running_requests: int = 0
    idle_connections: int = 0

    @property
    def state(self) -> ServerState:
        """State by the rules of the policy under test."""
        if not self.policy_ejects:
            return self.health.state
        if self.policy.verdict().eject:
            return ServerState.EJECTED
        return ServerState.READY

    @property
    def load(self) -> float:
        """Used share of the slots, scaled by the server's traffic share."""
        traffic_share = 1 if self.policy_ejects else self.health.share()
        return self.running_requests / _SLOTS / max(traffic_share, 0.01)

    def accepts(self) -> bool:
        """Return whether a repeatable request may be sent now."""
        if self.running_requests >= _SLOTS:
            return False
        if self.policy_ejects:
            return self.state == ServerState.READY
        return self.health.accepts(repeatable=True, last_resort=False)

    def observe(self, sample: Sample) -> None:
        """Report a finished request to the policy and the statistics."""
        if self.policy_ejects:
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
        """Update the decision of the policy."""
        if self.policy_ejects:
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
        """Create all servers; their caches are warm."""
        self.workload = workload
        self.clock = ManualClock()
        self.result = TrialResult(min_in_service=workload.servers)
        self._policy = policy
        self._fault = fault
        self._rng = random.Random(seed)
        self._quota = EjectionQuota(workload.servers)
        self._ids = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        self.servers = [self._build_server(n) for n in range(workload.servers)]
        self._ejected: set[int] = set()
        self._fault_at = self.clock.now() + _WARM_UP_SECONDS

    def run(self, seconds: float) -> TrialResult:
        """Run the warm-up without the fault and then ``seconds`` with it."""
        for server in self.servers:
            server.health.record_started()
        end = self._fault_at + seconds
        self._schedule(0, self._handle_arrival)
        self._schedule(_STEP_SECONDS, self._step)
        self._schedule(_EXCHANGE_SECONDS, self._exchange_statistics)
        while self._events and self._events[0][0] < end:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            action()
        outliers = sum(map(self._is_outlier, range(len(self.servers))))
        healthy = len(self.servers) - outliers
        self.result.healthy_hours = healthy * seconds / 3600
        return self.result

    def _build_server(self, number: int) -> TrialServer:
        located = _make_located_server(number)
        statistics = SiblingStatistics(
            str(number), self.clock, random.Random(number)
        )
        policy = self._make_policy(statistics)
        promise_manager = PromiseManager(
            str(number),
            _TrialFloorContext(self, number),
            self.clock,
            random.Random(number),
        )
        health = ServerHealth(
            's',
            SERVICE,
            policy,
            promise_manager,
            DecisionLog(self.clock),
            self.clock,
            random.Random(number),
        )
        policy_ejects = self._policy is PolicyName.CONSECUTIVE
        return TrialServer(
            located, statistics, policy, promise_manager, health, policy_ejects
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

    def _handle_arrival(self) -> None:
        total = self.workload.rate * self.workload.servers
        self._schedule(self._rng.expovariate(total), self._handle_arrival)
        if self.clock.now() >= self._fault_at:
            self.result.requests += 1
        candidates = self._rng.sample(range(len(self.servers)), 2)
        candidates.sort(key=lambda number: self.servers[number].load)
        fallbacks = self._rng.sample(range(len(self.servers)), 3)
        for number in candidates + fallbacks:
            if self.servers[number].accepts():
                self._send(number)
                return

    def _send(self, number: int) -> None:
        server = self.servers[number]
        now = self.clock.now()
        needs_fresh = server.policy.wants_fresh_connections()
        reused = server.idle_connections > 0 and not needs_fresh
        server.idle_connections -= reused
        server.running_requests += 1
        fault = HEALTHY
        elapsed = now - self._fault_at
        if elapsed >= 0 and self._has_fault(number):
            fault = self._fault if self._fault.is_on(elapsed) else HEALTHY
        response = draw_response(
            self._rng, self.workload.median, fault, reused=reused
        )
        request_id = str(next(self._ids))
        server.policy.begin(request_id, WORK_CLASS, fresh_connection=not reused)
        timed_out = (
            response.seconds is None or response.seconds > _TIMEOUT_SECONDS
        )
        sample = Sample(
            WORK_CLASS,
            _TIMEOUT_SECONDS if timed_out else response.seconds,
            response.failed or timed_out,
            not reused,
            now,
            timed_out,
            request_id,
        )
        self._schedule(sample.seconds, lambda: self._finish(server, sample))

    def _finish(self, server: TrialServer, sample: Sample) -> None:
        server.running_requests -= 1
        server.idle_connections += not sample.timed_out
        server.observe(sample)
        good = not sample.failed and sample.seconds <= self.workload.target
        if good and sample.started >= self._fault_at:
            self.result.met_target += 1

    def _step(self) -> None:
        self._schedule(_STEP_SECONDS, self._step)
        now = self.clock.now()
        for number, server in enumerate(self.servers):
            server.step(now)
            if server.state == ServerState.READY:
                self._ejected.discard(number)
            elif number not in self._ejected:
                self._ejected.add(number)
                self._count_ejection(number, now)
        in_service = len(self.servers) - len(self._ejected)
        self.result.min_in_service = min(self.result.min_in_service, in_service)

    def _count_ejection(self, number: int, now: float) -> None:
        elapsed = now - self._fault_at
        if elapsed < 0 or not self._is_outlier(number):
            self.result.false_ejections += 1
        elif self.result.detection_seconds is None:
            self.result.detection_seconds = elapsed

    def _exchange_statistics(self) -> None:
        self._schedule(_EXCHANGE_SECONDS, self._exchange_statistics)
        for server in self.servers:
            message = server.statistics.compose(SERVICE)
            receivers = self._rng.sample(self.servers, EXCHANGE_FANOUT)
            for receiver in receivers:
                receiver.statistics.merge(message)

    def _has_fault(self, number: int) -> bool:
        scope = self._fault.scope
        if scope is Scope.ONE:
            return number == _FAULTY_SERVER
        if scope is Scope.DOMAIN:
            return number % 2 == 0
        return scope is Scope.ALL

    def _is_outlier(self, number: int) -> bool:
        """Return whether an ejection of this server would be right.

        It would not if all servers have the fault, or only open connections.
        """
        general = self._fault.scope is Scope.ALL
        if general or self._fault.hangs_reused:
            return False
        return self._has_fault(number)


def _make_located_server(number: int) -> LocatedServer:
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
