"""The request paths of a fleet's nodes, joined without a network."""

import asyncio
import collections
import functools
import os
import random
from collections.abc import Callable, Sequence

import attrs

from bench.gray.oracle import HangOracle, OracleDispatcher
from bench.gray.servers import (
    FaultPlan,
    SimulatedClient,
    SimulatedDialect,
    SimulatedServer,
    Work,
    draw_periods,
)
from bench.gray.virtualtime import LoopClock
from godwitknot.mesh.admissioncontrol import AdmissionControl
from godwitknot.mesh.dispatcher import Dispatcher
from godwitknot.mesh.events import EventLog
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.model import (
    Bounds,
    Heartbeat,
    HttpRequest,
    HttpResponse,
    Placement,
    Route,
    ServerState,
)
from godwitknot.mesh.relayclient import Exchange
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.retrybudget import RetryBudget
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.serverproxy import Sidecar
from godwitknot.mesh.serverselector import ServerSelector
from godwitknot.mesh.slotqueue import SlotReservation
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.outcomes import RefusalError
from godwitknot.units import Address

_ZONES = (('a1', 'a'), ('b1', 'b'), ('a2', 'a'), ('b2', 'b'))
_PORT = 1
# One-way delays within a failure domain, within a region, between regions.
_SAME_ZONE_SECONDS = 0.0001
_SAME_REGION_SECONDS = 0.0005
_OTHER_REGION_SECONDS = 0.03
_BOUNDS = Bounds(
    stop_grace_seconds=6,
    retry_ratio=0.2,
    retry_window_seconds=10,
    retry_slack=60,
)
_WARM_UP_SECONDS = 12.0

HealthFactory = Callable[[LoopClock, EventLog], ServerHealth]
SelectorFactory = Callable[..., ServerSelector]
OracleFactory = Callable[[FaultPlan], HangOracle]


@attrs.frozen
class WorkClass:
    """A class of requests.

    :param route: with its services, priority and objective.
    :param deadline: seconds that the caller waits.
    :param rate: requests a second of the whole fleet; 0 for calls.
    """

    route: Route
    work: Work
    deadline: float
    rate: float = 0


@attrs.frozen
class Workload:
    """Services of a fleet and the requests that it gets.

    :param services: the service of each node's server, repeated in turn.
    :param slots: concurrent requests of a server.
    :param classes: by name.
    """

    services: Sequence[str]
    slots: int
    classes: dict[str, WorkClass]


@attrs.frozen
class Rule:
    """Decisions under test.

    :param make_health: creates the health state of a server.
    :param make_selector: creates the selection of servers of a node.
    :param make_oracle: creates what chooses servers for work that must not
        be repeated, from the faults of the fleet.
    """

    name: str
    make_health: HealthFactory = ServerHealth
    make_selector: SelectorFactory = ServerSelector
    make_oracle: OracleFactory | None = None


@attrs.define
class Tally:
    """Results of the requests of one class."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that succeeded, also late."""
        return (self.in_time + self.late) / max(1, self.requests)


@attrs.define
class PlayResult:
    """Results of one play.

    :ivar offers: number of offers by one-way delay in seconds.
    :ivar failed_runs: runs on servers that failed.
    """

    tallies: dict[str, Tally] = attrs.field(
        factory=lambda: collections.defaultdict(Tally)
    )
    offers: collections.Counter = attrs.field(factory=collections.Counter)
    refusals: collections.Counter = attrs.field(factory=collections.Counter)
    runs: int = 0
    failed_runs: int = 0
    detections: list[float] = attrs.field(factory=list)
    missed: int = 0
    false_seconds: float = 0
    healthy_seconds: float = 0

    @property
    def remote_offers(self) -> int:
        """Number of offers to another region."""
        return self.offers[_OTHER_REGION_SECONDS]


class _Relay:
    """Offers requests to the admission control of other nodes."""

    def __init__(self, fleet: 'GrayFleet', zone: str, region: str) -> None:
        self._fleet = fleet
        self._zone = zone
        self._region = region

    async def run(
        self, address: Address, round_trip: float, exchange: Exchange
    ) -> HttpResponse:
        node = self._fleet.nodes[address]
        delay = self._delay_to(node)
        self._fleet.result.offers[delay] += 1
        await asyncio.sleep(delay)
        admission = node.sidecar.admission
        try:
            reservation = await _admit(admission, exchange, delay)
        except RefusalError as error:
            refusal = admission.build_refusal(error, exchange.offer)
            await asyncio.sleep(delay)
            exchange.load = refusal.load
            exchange.avoid = refusal.avoid
            raise
        response = await node.sidecar.run(reservation)
        exchange.load = admission.current_load()
        await asyncio.sleep(delay)
        return response

    def close_idle(self, address: Address) -> None:
        """Has no connections."""

    def _delay_to(self, node: '_Node') -> float:
        if node.placement.zone == self._zone:
            return _SAME_ZONE_SECONDS
        if node.placement.region == self._region:
            return _SAME_REGION_SECONDS
        return _OTHER_REGION_SECONDS


async def _admit(
    admission: AdmissionControl, exchange: Exchange, delay: float
) -> SlotReservation:
    """Wait for a slot, and for the commit if the offer needs one."""
    reservation = await admission.admit(exchange.offer)
    exchange.committed = True
    if not exchange.offer.needs_commit:
        return reservation
    reservation.awaits_body = True
    try:
        await asyncio.sleep(2 * delay)
    except BaseException:
        admission.release(reservation)
        raise
    admission.start_run(reservation)
    return reservation


@attrs.define(eq=False)
class _Node:
    placement: Placement
    server: SimulatedServer
    health: ServerHealth
    sidecar: Sidecar
    dispatcher: Dispatcher | OracleDispatcher
    member: Member
    directory: Directory


class GrayFleet:
    """Nodes with simulated servers, and the callers of the nodes."""

    def __init__(
        self,
        size: int,
        workload: Workload,
        plan: FaultPlan,
        rule: Rule,
        seed: int,
    ) -> None:
        """Create a fleet; needs a running event loop.

        :param size: number of nodes.
        """
        self.result = PlayResult()
        self.nodes: dict[Address, _Node] = {}
        self._workload = workload
        self._plan = plan
        self._rule = rule
        self._rng = random.Random(seed)
        self._clock = LoopClock()
        self._log = EventLog('', self._clock, os.open(os.devnull, os.O_WRONLY))
        self._log.write = lambda *arguments, **fields: None
        self._request_count = 0
        self._oracle = rule.make_oracle and rule.make_oracle(plan)
        for number in range(size):
            self._add_node(number)
        members = [node.member for node in self.nodes.values()]
        for node in self.nodes.values():
            node.directory.merge(members)
            count = len(node.directory.find_servers(node.placement.service))
            node.sidecar.admission.service_server_count = count

    async def play(self, seconds: float) -> PlayResult:
        """Send requests for some seconds and return their results."""
        begin = self._clock.now() + _WARM_UP_SECONDS
        end = begin + seconds
        for node in self.nodes.values():
            node.server.periods = draw_periods(
                self._plan, begin, end, self._rng
            )
        await asyncio.sleep(_WARM_UP_SECONDS)
        watcher = asyncio.ensure_future(self._watch_ejections(end))
        senders = [
            self._send_class(name, end)
            for name, work_class in self._workload.classes.items()
            if work_class.rate
        ]
        await asyncio.gather(*senders)
        await watcher
        self._summarize(end)
        return self.result

    def _add_node(self, number: int) -> None:
        services = self._workload.services
        zone, region = _ZONES[number % len(_ZONES)]
        host = f'10.0.{number // 200}.{number % 200 + 1}'
        address = Address(host, _PORT)
        service = services[(number // len(_ZONES)) % len(services)]
        placement = Placement(
            f'node-{number}',
            host,
            zone,
            region,
            address,
            address,
            address,
            address,
            address,
            service,
            address,
            _BOUNDS,
        )
        rng = random.Random(self._rng.random())
        runtime = Runtime(self._clock, self._log, Telemetry(), rng)
        server = SimulatedServer(self._plan, [], rng)
        local = LocalServer(placement, self._log, 0)
        local.apply_heartbeat(
            Heartbeat(
                f's{number}',
                service,
                address,
                self._workload.slots,
                ServerState.READY,
                1,
                1,
                0,
            )
        )
        health = self._rule.make_health(self._clock, self._log)
        shutdown = Shutdown(self._clock)
        budget = RetryBudget(_BOUNDS, self._clock)
        admission = AdmissionControl(
            local, health, budget, shutdown, self._clock
        )
        sidecar = Sidecar(
            local,
            admission,
            health,
            SimulatedDialect(),
            SimulatedClient(server),
            runtime,
        )
        member = Member(
            placement.node,
            address,
            zone,
            region,
            service,
            local.server_id,
            1,
            ServerState.READY,
            self._workload.slots,
            incarnation=1,
            revision=1,
            serving=True,
        )
        directory = Directory(member)
        selector = self._rule.make_selector(
            placement, directory, admission, runtime
        )
        relay = _Relay(self, zone, region)
        dispatcher = Dispatcher(
            placement, selector, sidecar, relay, shutdown, runtime
        )
        if self._oracle is not None:
            dispatcher = OracleDispatcher(
                self._oracle, dispatcher, placement, self.nodes, self._clock
            )
        node = _Node(
            placement, server, health, sidecar, dispatcher, member, directory
        )
        server.make_call = functools.partial(self._call, node)
        self.nodes[address] = node

    async def _call(self, node: _Node, name: str, deadline: float) -> bool:
        """Make a call of a server and return whether it succeeded."""
        work_class = self._workload.classes[name]
        left = min(work_class.deadline, deadline - self._clock.now())
        return await self._request(node, name, work_class, left)

    async def _send_class(self, name: str, end: float) -> None:
        work_class = self._workload.classes[name]
        nodes = list(self.nodes.values())
        tasks = []
        while self._clock.now() < end:
            await asyncio.sleep(self._rng.expovariate(work_class.rate))
            node = self._rng.choice(nodes)
            work = self._request(node, name, work_class, work_class.deadline)
            tasks.append(asyncio.ensure_future(work))
        await asyncio.gather(*tasks)

    async def _request(
        self, node: _Node, name: str, work_class: WorkClass, left: float
    ) -> bool:
        started = self._clock.now()
        self._request_count += 1
        attempt_id = f'r{self._request_count}'
        route = work_class.route
        fields = [('id', attempt_id), ('work', work_class.work)]
        weights = [share.weight for share in route.shares]
        share = self._rng.choices(route.shares, weights)[0]
        context = RequestContext(
            attempt_id=attempt_id,
            http_request=HttpRequest('GET', '/', fields, b''),
            route=route,
            service=share.service,
            arrived=started,
            deadline=started + min(left, route.timeout),
            fingerprint=self._request_count,
        )
        tally = self.result.tallies[name]
        tally.requests += 1
        try:
            response = await node.dispatcher.dispatch(context)
        except RefusalError as error:
            self.result.refusals[name, str(error.code)] += 1
            if error.status in {429, 503}:
                tally.refused += 1
            else:
                tally.failed += 1
            return False
        if response.status != 200:
            tally.failed += 1
            return False
        if self._clock.now() - started <= route.objective:
            tally.in_time += 1
        else:
            tally.late += 1
        return True

    async def _watch_ejections(self, end: float) -> None:
        """Record when servers with a fault are ejected, and false ejections."""
        step = 0.05
        found: set = set()
        while self._clock.now() < end:
            now = self._clock.now()
            for node in self.nodes.values():
                self._watch_server(node, now, step, found)
            await asyncio.sleep(step)

    def _watch_server(
        self, node: _Node, now: float, step: float, found: set
    ) -> None:
        zone = node.placement.zone
        ejected = node.health.is_ejected(zone)
        current = [
            each for each in node.server.periods if each.begin <= now < each.end
        ]
        if not current:
            self.result.healthy_seconds += step
            # An ejection right after a fault is not yet false.
            recent = any(
                0 <= now - each.end < 1 for each in node.server.periods
            )
            if ejected and not recent:
                self.result.false_seconds += step
            return
        key = (node.member.node, current[0].begin)
        if ejected and key not in found:
            found.add(key)
            self.result.detections.append(now - current[0].begin)

    def _summarize(self, end: float) -> None:
        for node in self.nodes.values():
            self.result.runs += node.server.runs
            self.result.failed_runs += node.server.failed_runs
            begun = [each for each in node.server.periods if each.begin < end]
            self.result.missed += len(begun)
        self.result.missed -= len(self.result.detections)
