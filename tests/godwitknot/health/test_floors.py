import itertools
import random
import threading

import pytest
from hypothesis import Phase
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from statemachines import run_machine

from godwitknot.clock import ManualClock
from godwitknot.control.messages import PromiseAnswer
from godwitknot.control.records import (
    LocatedServer,
    NodeRecord,
    NodeState,
    ServerRecord,
    ServerState,
)
from godwitknot.health.floors import (
    PROMISE_SECONDS,
    FloorContext,
    PromiseManager,
)
from godwitknot.units import Address

SERVERS = 4
INDEX = st.integers(0, SERVERS - 1)
DISTURBANCES = ('0', '1', '2', '3', 'restart', 'pause or resume', 'health')
DELIVERIES = ('deliver', 'deliver', 'lose', 'repeat')


def locate(number):
    server = ServerRecord('s', 'docs', 4, 1, ServerState.READY)
    address = Address('127.0.0.1', 1)
    node = NodeRecord(
        f'n{number}',
        1,
        1,
        'r',
        'd',
        address,
        address,
        NodeState.READY,
        (server,),
    )
    return LocatedServer(node, server, reachable=True)


class NodeView(FloorContext):
    """Possibly stale view of one node; messages go to a common list."""

    def __init__(self, number, floor, network):
        self.number = number
        self.visible = set(range(SERVERS))
        self.healthy = True
        self.floor_count = floor
        self.network = network

    def siblings(self, service):
        return [locate(number) for number in sorted(self.visible)]

    def floor(self, service):
        return self.floor_count

    def send(self, target, request):
        receiver = int(target.node.node_id[1:])
        self.network.append((self.number, receiver, request))

    def can_promise(self, server):
        return self.healthy


class CarelessKeeper(PromiseManager):
    """Grants every promise without recording it."""

    def handle_request(self, request):
        return PromiseAnswer(
            request.token, request.target, granted=True, duration=6
        )


class HopefulKeeper(PromiseManager):
    """Treats a refusal as a promise."""

    def handle_answer(self, answer):
        granted = PromiseAnswer(
            answer.token, answer.target, granted=True, duration=6
        )
        super().handle_answer(granted)


class AbsentKeeper(PromiseManager):
    """Grants promises for a server that is out of service or leaving."""

    def handle_request(self, request):
        saved = self._leases
        self._leases = {}
        answer_sent = super().handle_request(request)
        self._leases = saved
        return answer_sent


class FloorMachine(RuleBasedStateMachine):
    """Concurrent managers with stale views, lost and late messages."""

    manager_class = PromiseManager

    @initialize(floor=st.integers(1, SERVERS - 1))
    def start(self, floor):
        self.clock = ManualClock()
        self.floor = floor
        self.tokens = itertools.count(1)
        self.network = []
        self.paused = set()
        self.asking = {}
        self.leases = {}
        self.views = [NodeView(n, floor, self.network) for n in range(SERVERS)]
        self.managers = [self.make_manager(n) for n in range(SERVERS)]
        self.clock.advance(PROMISE_SECONDS)

    def make_manager(self, number):
        return self.manager_class(
            f'n{number}',
            self.views[number],
            self.clock,
            random.Random(number),
            lambda: next(self.tokens),
        )

    @rule(number=INDEX, drain=st.booleans())
    def ask(self, number, drain):
        if number in self.paused or number in self.asking:
            return
        lease = self.managers[number].begin('docs', 's', drain=drain)
        if lease is not None:
            self.asking[number] = lease
            self.managers[number].ask_more(lease)

    @rule(number=INDEX)
    def ask_more(self, number):
        if number in self.asking and number not in self.paused:
            self.managers[number].ask_more(self.asking[number])

    @rule(number=INDEX)
    def finish(self, number):
        if number in self.asking and number not in self.paused:
            lease = self.asking.pop(number)
            if self.managers[number].finish(lease):
                self.leases[number] = lease

    @rule(number=INDEX)
    def renew(self, number):
        if number in self.leases and number not in self.paused:
            self.managers[number].begin_renewal(self.leases[number])
            self.managers[number].ask_more(self.leases[number])

    @rule(number=INDEX)
    def return_to_service(self, number):
        if number in self.leases and number not in self.paused:
            self.managers[number].release(self.leases.pop(number))

    @rule(number=INDEX, change=st.sampled_from(DISTURBANCES))
    def disturb(self, number, change):
        if change == 'restart':
            self.restart(number)
        elif change == 'pause or resume':
            self.paused ^= {number}
        elif change == 'health':
            self.views[number].healthy ^= True
        else:
            self.views[number].visible ^= {int(change)}

    def restart(self, number):
        self.asking.pop(number, None)
        self.leases.pop(number, None)
        self.paused.discard(number)
        self.managers[number] = self.make_manager(number)

    @rule(seconds=st.sampled_from([0.1, 2, 5.9, 7]))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def deliver_all(self):
        while self.network:
            self.deliver(0)

    @rule(number=INDEX, drain=st.booleans())
    def leave(self, number, drain):
        self.ask(number, drain)
        self.deliver_all()
        self.finish(number)

    @rule(position=st.integers(0, 50), delivery=st.sampled_from(DELIVERIES))
    def handle_message(self, position, delivery):
        if not self.network:
            return
        position %= len(self.network)
        if delivery == 'repeat':
            self.network.append(self.network[position])
        elif delivery == 'lose':
            self.network.pop(position)
        else:
            self.deliver(position)

    def deliver(self, position):
        sender, receiver, body = self.network.pop(position)
        if receiver in self.paused:
            return
        if isinstance(body, PromiseAnswer):
            self.managers[receiver].handle_answer(body)
            return
        answer = self.managers[receiver].handle_request(body)
        self.network.append((receiver, sender, answer))

    @invariant()
    def enough_servers_stay_in(self):
        leases = getattr(self, 'leases', {})
        out = [
            number
            for number, lease in leases.items()
            if lease.drain or lease.is_valid(self.clock.now())
        ]
        if out:
            assert len(out) <= SERVERS - self.floor


def test_servers_out_never_exceed_what_the_floor_leaves():
    """Guards against fewer servers in service than the floor demands."""
    run_machine(FloorMachine, examples=400, steps=50)


@pytest.mark.parametrize(
    'broken', [CarelessKeeper, HopefulKeeper, AbsentKeeper]
)
def test_the_machine_catches_broken_keepers(broken):
    """Guards against a state machine that accepts any implementation."""

    machine = type('Broken', (FloorMachine,), {'manager_class': broken})
    with pytest.raises(AssertionError, match='assert'):
        run_machine(machine, 1000, steps=50, phases=[Phase.generate])


class DirectView(NodeView):
    """Delivers requests to other managers immediately."""

    managers = ()

    def send(self, target, request):
        manager = self.managers[int(target.node.node_id[1:])]
        if manager is not None:
            self.managers[self.number].handle_answer(
                manager.handle_request(request)
            )


def connect(floor, clock):
    views = [DirectView(number, floor, []) for number in range(SERVERS)]
    managers = [
        PromiseManager(f'n{number}', view, clock, random.Random(number))
        for number, view in enumerate(views)
    ]
    for view in views:
        view.managers = managers
    clock.advance(PROMISE_SECONDS)
    return views, managers


def test_floor_permits_as_many_as_it_leaves():
    """Guards against refusing to let any server leave a large service."""
    _, managers = connect(3, ManualClock())
    leases = [manager.acquire('docs', 's', drain=False) for manager in managers]
    assert [lease is not None for lease in leases] == [
        True,
        False,
        False,
        False,
    ]


def test_lease_lapses_unless_renewed():
    """Guards against a paused sidecar that relies on an expired lease."""
    clock = ManualClock()
    views, managers = connect(2, clock)
    lease = managers[0].acquire('docs', 's', drain=False)
    clock.advance(4)
    assert managers[0].renew(lease)
    clock.advance(4)
    assert lease.is_valid(clock.now())
    clock.advance(2)
    assert not lease.is_valid(clock.now())


def test_renewal_replaces_a_promiser_that_turned_suspect():
    """Guards against reinstating a server when one promiser is replaceable.

    A promiser that turns suspect refuses the renewal, and another sibling
    has to be asked in its place.
    """
    clock = ManualClock()
    views, managers = connect(2, clock)
    lease = managers[0].acquire('docs', 's', drain=False)
    views[int(next(iter(lease.promises))[0][1:])].healthy = False
    for _ in range(4):
        clock.advance(2)
        assert managers[0].renew(lease)


def test_restarted_sidecar_waits_for_forgotten_promises():
    """Guards against a restart that breaks promises granted before it."""
    clock = ManualClock()
    view = DirectView(0, 0, [])
    manager = PromiseManager('n0', view, clock)
    assert manager.acquire('docs', 's', drain=False) is None
    clock.advance(PROMISE_SECONDS)
    assert manager.acquire('docs', 's', drain=False) is not None


def test_floor_holds_with_concurrent_threads():
    """Guards against a race between granting and requesting promises."""
    clock = ManualClock()
    _, managers = connect(2, clock)
    leases = []
    start = threading.Barrier(SERVERS)

    def ask(manager):
        start.wait()
        leases.append(manager.acquire('docs', 's', drain=False))

    threads = [threading.Thread(target=ask, args=(each,)) for each in managers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(lease is not None for lease in leases) <= 2
