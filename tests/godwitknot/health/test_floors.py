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
FATES = ('deliver', 'deliver', 'lose', 'repeat')


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


class View(FloorContext):
    """The possibly stale view of one node; messages go to a common list."""

    def __init__(self, number, floor, network):
        self.number = number
        self.seen = set(range(SERVERS))
        self.steady = True
        self.floor_count = floor
        self.network = network

    def siblings(self, service):
        return [locate(number) for number in sorted(self.seen)]

    def floor(self, service):
        return self.floor_count

    def send(self, target, request):
        receiver = int(target.node.node_id[1:])
        self.network.append((self.number, receiver, request))

    def can_promise(self, server):
        return self.steady


class CarelessKeeper(PromiseManager):
    """Promises to stay in, and neither keeps nor remembers it."""

    def handle_request(self, request):
        return PromiseAnswer(
            request.token, request.target, granted=True, duration=6
        )


class HopefulKeeper(PromiseManager):
    """Takes a refusal for a promise."""

    def handle_answer(self, answer):
        granted = PromiseAnswer(
            answer.token, answer.target, granted=True, duration=6
        )
        super().handle_answer(granted)


class AbsentKeeper(PromiseManager):
    """Promises that a server stays in although it is out or leaving."""

    def handle_request(self, request):
        held = self._leases
        self._leases = {}
        given = super().handle_request(request)
        self._leases = held
        return given


class FloorMachine(RuleBasedStateMachine):
    """Concurrent deciders with stale views, lost and late messages."""

    keeper_class = PromiseManager

    @initialize(floor=st.integers(1, SERVERS - 1))
    def start(self, floor):
        self.clock = ManualClock()
        self.floor = floor
        self.tokens = itertools.count(1)
        self.network = []
        self.paused = set()
        self.asking = {}
        self.leases = {}
        self.views = [View(n, floor, self.network) for n in range(SERVERS)]
        self.keepers = [self.make_keeper(n) for n in range(SERVERS)]
        self.clock.advance(PROMISE_SECONDS)

    def make_keeper(self, number):
        return self.keeper_class(
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
        lease = self.keepers[number].begin('docs', 's', drain=drain)
        if lease is not None:
            self.asking[number] = lease
            self.keepers[number].ask_more(lease)

    @rule(number=INDEX)
    def ask_more(self, number):
        if number in self.asking and number not in self.paused:
            self.keepers[number].ask_more(self.asking[number])

    @rule(number=INDEX)
    def finish(self, number):
        if number in self.asking and number not in self.paused:
            lease = self.asking.pop(number)
            if self.keepers[number].finish(lease):
                self.leases[number] = lease

    @rule(number=INDEX)
    def renew(self, number):
        if number in self.leases and number not in self.paused:
            self.keepers[number].begin_renewal(self.leases[number])
            self.keepers[number].ask_more(self.leases[number])

    @rule(number=INDEX)
    def come_back(self, number):
        if number in self.leases and number not in self.paused:
            self.keepers[number].release(self.leases.pop(number))

    @rule(number=INDEX, change=st.sampled_from(DISTURBANCES))
    def disturb(self, number, change):
        if change == 'restart':
            self.restart(number)
        elif change == 'pause or resume':
            self.paused ^= {number}
        elif change == 'health':
            self.views[number].steady ^= True
        else:
            self.views[number].seen ^= {int(change)}

    def restart(self, number):
        self.asking.pop(number, None)
        self.leases.pop(number, None)
        self.paused.discard(number)
        self.keepers[number] = self.make_keeper(number)

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

    @rule(position=st.integers(0, 50), fate=st.sampled_from(FATES))
    def settle(self, position, fate):
        if not self.network:
            return
        position %= len(self.network)
        if fate == 'repeat':
            self.network.append(self.network[position])
        elif fate == 'lose':
            self.network.pop(position)
        else:
            self.deliver(position)

    def deliver(self, position):
        sender, receiver, body = self.network.pop(position)
        if receiver in self.paused:
            return
        if isinstance(body, PromiseAnswer):
            self.keepers[receiver].handle_answer(body)
            return
        answer = self.keepers[receiver].handle_request(body)
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
    run_machine(FloorMachine, examples=400, steps=50)


@pytest.mark.parametrize(
    'broken', [CarelessKeeper, HopefulKeeper, AbsentKeeper]
)
def test_the_machine_catches_broken_keepers(broken):
    """Guards against a state machine that would pass anything."""

    machine = type('Broken', (FloorMachine,), {'keeper_class': broken})
    with pytest.raises(AssertionError, match='assert'):
        run_machine(machine, 1000, steps=50, phases=[Phase.generate])


class Wire(View):
    """Delivers requests to other keepers at once."""

    keepers = ()

    def send(self, target, request):
        keeper = self.keepers[int(target.node.node_id[1:])]
        if keeper is not None:
            self.keepers[self.number].handle_answer(
                keeper.handle_request(request)
            )


def connect(floor, clock):
    views = [Wire(number, floor, []) for number in range(SERVERS)]
    keepers = [
        PromiseManager(f'n{number}', view, clock, random.Random(number))
        for number, view in enumerate(views)
    ]
    for view in views:
        view.keepers = keepers
    clock.advance(PROMISE_SECONDS)
    return views, keepers


def test_floor_permits_as_many_as_it_leaves():
    _, keepers = connect(3, ManualClock())
    leases = [keeper.acquire('docs', 's', drain=False) for keeper in keepers]
    assert [lease is not None for lease in leases] == [
        True,
        False,
        False,
        False,
    ]


def test_lease_lapses_unless_renewed():
    """Guards against a paused sidecar that believes in an old lease."""
    clock = ManualClock()
    views, keepers = connect(2, clock)
    lease = keepers[0].acquire('docs', 's', drain=False)
    clock.advance(4)
    assert keepers[0].renew(lease)
    clock.advance(4)
    assert lease.is_valid(clock.now())
    clock.advance(2)
    assert not lease.is_valid(clock.now())


def test_renewal_replaces_a_promiser_that_turned_suspect():
    """Guards against an ejected server that returns without need."""
    clock = ManualClock()
    views, keepers = connect(2, clock)
    lease = keepers[0].acquire('docs', 's', drain=False)
    views[int(next(iter(lease.promises))[0][1:])].steady = False
    for _ in range(4):
        clock.advance(2)
        assert keepers[0].renew(lease)


def test_restarted_sidecar_waits_for_forgotten_promises():
    clock = ManualClock()
    view = Wire(0, 0, [])
    keeper = PromiseManager('n0', view, clock)
    assert keeper.acquire('docs', 's', drain=False) is None
    clock.advance(PROMISE_SECONDS)
    assert keeper.acquire('docs', 's', drain=False) is not None


def test_floor_holds_with_concurrent_threads():
    """Guards against promises given and asked for at the same moment."""
    clock = ManualClock()
    _, keepers = connect(2, clock)
    leases = []
    start = threading.Barrier(SERVERS)

    def ask(keeper):
        start.wait()
        leases.append(keeper.acquire('docs', 's', drain=False))

    threads = [threading.Thread(target=ask, args=(each,)) for each in keepers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(lease is not None for lease in leases) <= 2
