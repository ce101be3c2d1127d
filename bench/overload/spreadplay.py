"""Plays waves and clusters of requests before the nodes of two regions.

The request paths of the nodes are the product's; servers, links and time are
simulated.
"""

import asyncio
import collections
import functools
import math
import random

import attrs

from bench.gray.fleet import GrayFleet, Rule, WorkClass, Workload
from bench.gray.patterns import NO_FAULT
from bench.gray.servers import Work
from bench.gray.virtualtime import LoopClock, run_virtually
from godwitknot.mesh.model import Route, RouteKind, Share
from godwitknot.mesh.serverselector import Reach, ServerSelector, Target

# Order in which a wave reaches the failure domains: one region, then the other.
ZONES = ('a1', 'a2', 'b1', 'b2')
SCARCE = 'voucher'
NODES = 93
_SLOTS = 5
# Services of the nodes, four at a time; with 93 nodes, the last one is the
# fifth server of the scarce service.
_MAIN_SERVICES = ('seat', 'hotel', 'ferry')
_SERVICES = (SCARCE, *_MAIN_SERVICES * 7, 'ferry', SCARCE)
# Seconds of work of a run, by service.
_WORK_SECONDS = {'seat': 0.69, 'hotel': 1.1, 'ferry': 2.2, SCARCE: 0.9}
_CALL_SECONDS, _CALL_OBJECTIVE, _CALL_DEADLINE = 0.22, 1, 3
# Objective and deadline as multiples of the work.
_OBJECTIVE_FACTOR, _DEADLINE_FACTOR = 3.6, 9
_CLUSTER_SIZE = 8
# Share of the requests that arrive in clusters at one node.
_CLUSTER_SHARE = 0.3


@attrs.frozen
class Wave:
    """Rates of the failure domains that rise and fall one after the other.

    :param period: seconds from one peak to the next.
    :param lag: seconds from the peak of a domain to that of the next one.
    :param height: of a peak above the mean, as a share of it.
    """

    period: float = 17
    lag: float = 4.25
    height: float = 0.8

    def factor(self, zone: str, now: float) -> float:
        """Return the rate of a domain as a multiple of its mean."""
        delay = ZONES.index(zone) * self.lag
        phase = 2 * math.pi * (now - delay) / self.period
        return 1 + self.height * math.cos(phase)


@attrs.define
class SpreadTally:
    """Results of one play, without the calls of servers.

    :ivar requests: by service and failure domain of the caller's node.
    :ivar in_time: requests served within their objective, likewise.
    :ivar accepted: accepted offers, by service and distance.
    :ivar refused: refused offers, likewise.
    """

    requests: collections.Counter = attrs.field(factory=collections.Counter)
    in_time: collections.Counter = attrs.field(factory=collections.Counter)
    accepted: collections.Counter = attrs.field(factory=collections.Counter)
    refused: collections.Counter = attrs.field(factory=collections.Counter)


class CountedSelector(ServerSelector):
    """The node's selector, which also counts the replies to its offers."""

    def __init__(self, tally: SpreadTally, *arguments) -> None:
        """Create a selector whose replies are counted.

        :param arguments: of the selector.
        """
        super().__init__(*arguments)
        self._tally = tally

    def record_reply(self, target: Target, *, accepted: bool) -> None:
        """Count the reply to an offer."""
        super().record_reply(target, accepted=accepted)
        counter = self._tally.accepted if accepted else self._tally.refused
        counter[target.member.service, self._distance(target.member)] += 1


class LocalFirstSelector(CountedSelector):
    """Never asks another region ahead of need."""

    def find_region_with_room(self, service: str) -> str | None:
        """Return no region."""


class TwoChoicesSelector(LocalFirstSelector):
    """Takes the better of two random servers within the reach."""

    def choose(
        self, service: str, excluded: set, *, reach: Reach, **options
    ) -> Target | None:
        """Return the better of two random servers.

        :param options: of the selector.
        """
        is_own = reach is Reach.OWN_REGION
        addresses = [
            member.address
            for member in self._directory.find_servers(service)
            if is_own == (member.region == self._placement.region)
            and member.address not in excluded
        ]
        if len(addresses) > 2:
            sampled = self._rng.sample(addresses, 2)
            excluded = excluded | (set(addresses) - set(sampled))
        return super().choose(service, excluded, reach=reach, **options)


class AheadSelector(CountedSelector):
    """Asks another region ahead of need, over a link of 30 Mbit/s."""

    region_link_bytes = 3_750_000


SELECTORS = {
    'local first': LocalFirstSelector,
    'two choices': TwoChoicesSelector,
    'ahead': AheadSelector,
}


def _make_route(
    service: str, objective: float, deadline: float, kind: RouteKind
) -> Route:
    return Route(
        name=service,
        host='',
        prefix='/',
        kind=kind,
        shares=(Share(service, 1),),
        attempts=3,
        timeout=deadline,
        objective=objective,
        priority=1,
    )


def make_workload(load: float) -> Workload:
    """Return half repeatable and half at-most-once work for each service.

    :param load: share of the slots of each service that the work holds.
    """
    servers = collections.Counter(
        _SERVICES[number // len(ZONES)] for number in range(NODES)
    )
    classes = {}
    for index, service in enumerate((*_MAIN_SERVICES, SCARCE)):
        seconds = _WORK_SECONDS[service]
        calls: tuple[str, ...] = ()
        held = seconds
        if service != SCARCE:
            callee = _MAIN_SERVICES[(index + 1) % len(_MAIN_SERVICES)]
            calls = (f'call-{callee}',)
            # The run waits for its call, and another server works on that.
            held += 2 * _CALL_SECONDS
            classes[f'call-{service}'] = WorkClass(
                _make_route(
                    service,
                    _CALL_OBJECTIVE,
                    _CALL_DEADLINE,
                    RouteKind.IDEMPOTENT,
                ),
                Work(_CALL_SECONDS),
                deadline=_CALL_DEADLINE,
            )
        deadline = _DEADLINE_FACTOR * seconds
        for kind in (RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE):
            classes[f'{kind.value}-{service}'] = WorkClass(
                _make_route(
                    service, _OBJECTIVE_FACTOR * seconds, deadline, kind
                ),
                Work(seconds, calls=calls),
                deadline=deadline,
                rate=load * _SLOTS * servers[service] / held / 2,
            )
    return Workload(services=_SERVICES, slots=_SLOTS, classes=classes)


class SpreadFleet(GrayFleet):
    """Nodes whose callers send waves and clusters of requests."""

    def __init__(self, selector: str, wave: Wave, load: float, seed: int):
        """Create a fleet without faults; needs a running event loop.

        :param selector: name of the selection of servers.
        :param load: share of the slots that the work holds.
        """
        self.tally = SpreadTally()
        make_selector = functools.partial(SELECTORS[selector], self.tally)
        super().__init__(
            NODES,
            make_workload(load),
            NO_FAULT,
            Rule(selector, make_selector=make_selector),
            seed,
        )
        self._wave = wave
        self._by_zone = collections.defaultdict(list)
        for node in self.nodes.values():
            self._by_zone[node.placement.zone].append(node)

    async def _send_class(self, name: str, end: float) -> None:
        # Its own random numbers: all selectors get the same arrivals.
        rng = random.Random(f'{name} {self._seed_text}')
        senders = [
            self._send_to_zone(name, zone, end, random.Random(rng.random()))
            for zone in ZONES
        ]
        await asyncio.gather(*senders)

    @functools.cached_property
    def _seed_text(self) -> str:
        return str(self._rng.random())

    async def _send_to_zone(
        self, name: str, zone: str, end: float, rng: random.Random
    ) -> None:
        work_class = self._workload.classes[name]
        nodes = self._by_zone[zone]
        mean_rate = work_class.rate * len(nodes) / NODES
        # Clusters and single requests, thinned from the highest rate.
        per_request = _CLUSTER_SHARE / _CLUSTER_SIZE
        arrival_rate = mean_rate * (1 - _CLUSTER_SHARE + per_request)
        cluster_share = mean_rate * per_request / arrival_rate
        highest = 1 + self._wave.height
        tasks = []
        while self._clock.now() < end:
            await asyncio.sleep(rng.expovariate(arrival_rate * highest))
            factor = self._wave.factor(zone, self._clock.now())
            if rng.random() * highest >= factor:
                continue
            is_cluster = rng.random() < cluster_share
            node = rng.choice(nodes)
            for _ in range(_CLUSTER_SIZE if is_cluster else 1):
                work = self._request(
                    node, name, work_class, work_class.deadline
                )
                tasks.append(asyncio.ensure_future(work))
        await asyncio.gather(*tasks)

    async def _request(
        self, node, name: str, work_class: WorkClass, left: float
    ) -> bool:
        started = self._clock.now()
        served = await super()._request(node, name, work_class, left)
        if work_class.rate:
            key = (work_class.route.name, node.placement.zone)
            self.tally.requests[key] += 1
            in_time = LoopClock().now() - started <= work_class.route.objective
            self.tally.in_time[key] += served and in_time
        return served


@attrs.frozen
class SpreadPlay:
    """One play, by its parts."""

    selector: str
    wave: Wave
    load: float
    seed: int
    seconds: float

    def run(self) -> SpreadTally:
        """Play it and return the results."""
        return run_virtually(self._run())

    async def _run(self) -> SpreadTally:
        fleet = SpreadFleet(self.selector, self.wave, self.load, self.seed)
        await fleet.play(self.seconds)
        return fleet.tally
