import random

import pytest

from godwitknot.clock import ManualClock
from godwitknot.control.records import ServerState
from godwitknot.health.ejections import ServerHealth
from godwitknot.health.evidence import Action, DecisionLog
from godwitknot.health.floors import FloorContext, PromiseManager
from godwitknot.health.outliers import Sample, Verdict
from godwitknot.health.simplepolicies import RoundRobinPolicy


class FakeContext(FloorContext):
    """A service without siblings and with a configurable floor."""

    def __init__(self):
        self.floor_count = 0

    def siblings(self, service):
        return []

    def floor(self, service):
        return self.floor_count

    def send(self, target, request):
        raise AssertionError('the service has no siblings')

    def can_promise(self, server):
        return True


class FakePolicy(RoundRobinPolicy):
    """Returns a configurable verdict."""

    eject = False
    observed = 0

    def verdict(self):
        return Verdict(self.eject, self.eject)

    def observe(self, sample):
        self.observed += 1


class Case:
    """A server that started and has warmed up."""

    def __init__(self):
        self.clock = ManualClock()
        self.context = FakeContext()
        self.policy = FakePolicy()
        self.decisions = DecisionLog(self.clock)
        promise_manager = PromiseManager('n', self.context, self.clock)
        self.health = ServerHealth(
            's',
            'docs',
            self.policy,
            promise_manager,
            self.decisions,
            self.clock,
            random.Random(1),
        )
        self.health.record_started()
        self.run(20)

    def run(self, seconds):
        for _ in range(int(seconds * 2)):
            self.clock.advance(0.5)
            self.health.step()

    def eject(self):
        self.policy.eject = True
        self.run(2)
        self.policy.eject = False
        return self.health.state

    def accepts(self, *, repeatable=True, last_resort=False):
        return self.health.accepts(
            repeatable=repeatable, last_resort=last_resort
        )

    def finish(self, *, failed=False):
        now = self.clock.now()
        self.health.observe(Sample('lookup', 0.05, failed, True, now))

    def actions(self):
        return [each.action for each in self.decisions.list_decisions('s')]


@pytest.fixture
def case():
    return Case()


def test_cold_start_ramps_and_slowness_is_forgiven():
    """Guards against ejecting a server for the slowness of its cold caches."""
    case = Case()
    assert case.health.share() == pytest.approx(1)
    case.health.record_crashed()
    assert not case.accepts(last_resort=True)
    case.health.record_started()
    assert case.health.share() == pytest.approx(0.1)
    case.finish()
    assert case.policy.observed == 0
    case.finish(failed=True)
    assert case.policy.observed == 1
    case.run(5)
    assert case.health.share() == pytest.approx(0.55)


def test_probation_and_ramp(case):
    """Guards against full load on an ejected server that may still be bad."""
    assert case.eject() == ServerState.EJECTED
    assert not case.health.share()
    assert not case.accepts()
    assert case.accepts(last_resort=True)
    case.run(5)
    assert case.health.state == ServerState.PROBATION
    assert not case.accepts(repeatable=False)
    for _ in range(5):
        assert case.accepts()
        assert not case.accepts()
        case.finish()
    assert case.health.state == ServerState.READY
    assert case.health.share() == pytest.approx(0.1)
    assert case.actions()[-3:] == [
        Action.EJECTED,
        Action.PROBATION,
        Action.RAMPING,
    ]


def test_unsent_probation_request_frees_its_place(case):
    """Guards against a server that stays on probation forever.

    The only probation request was accepted but never sent.
    """
    case.eject()
    case.run(5)
    assert case.accepts()
    case.health.record_unsent()
    assert case.accepts()


def test_lost_probation_request_blocks_only_for_a_while(case):
    """Guards against a probation that never ends.

    The result of its only running request is never reported.
    """
    case.eject()
    case.run(5)
    assert case.accepts()
    assert not case.accepts()
    case.run(30)
    assert case.accepts()


def test_requests_from_before_the_probation_do_not_count(case):
    """Guards against failing the probation over an earlier slow request."""
    case.eject()
    sent = case.clock.now()
    case.run(5)
    case.health.observe(Sample('lookup', 5, True, True, sent))
    assert case.health.state == ServerState.PROBATION


def test_flapping_server_waits_longer(case):
    """Guards against retrying a flapping server every 5 seconds."""
    case.eject()
    waits = []
    for _ in range(4):
        started = case.clock.now()
        while case.health.state == ServerState.EJECTED:
            case.run(0.5)
        waits.append(case.clock.now() - started)
        assert case.accepts()
        case.finish(failed=True)
    assert waits[1:] == pytest.approx([10, 20, 40])


def test_ejected_server_can_drain(case):
    """Guards against a planned stop that first reinstates a bad server."""
    case.eject()
    assert case.health.start_drain()
    case.run(20)
    assert case.health.state == ServerState.DRAINING


def test_ejection_needs_promises(case):
    """Guards against ejections below the floor."""
    case.context.floor_count = 1
    assert case.eject() == ServerState.READY
    assert Action.KEPT_BY_FLOOR in case.actions()


def test_server_returns_when_the_lease_lapses(case):
    """Guards against keeping a server out after its siblings are lost."""
    case.eject()
    case.context.floor_count = 1
    case.run(3)
    assert case.health.state == ServerState.READY
    assert case.health.share() == pytest.approx(0.325)
    assert case.actions()[-1] == Action.LEASE_LAPSED


def test_paused_sidecar_does_not_act_on_an_old_lease(case):
    """Guards against keeping a server out on promises that have expired.

    The sidecar was paused and did not renew them.
    """
    case.context.floor_count = 0
    case.eject()
    absence = case.health._lifecycle.absence
    absence.lease.floor = 1
    absence.lease.promises['n2', 's'] = case.clock.now() + 6
    assert case.health.state == ServerState.EJECTED
    case.clock.advance(60)
    assert case.accepts(repeatable=False)


def test_drain_is_kept_without_promises_and_refuses(case):
    """Guards against a planned stop that accepts requests again.

    Its lease lapses while the server drains.
    """
    assert case.health.start_drain()
    case.context.floor_count = 1
    case.run(10)
    assert case.health.state == ServerState.DRAINING
    assert not case.accepts(last_resort=True)
    case.health.record_gone()
    assert case.health.state == ServerState.GONE


def test_drain_waits_for_the_floor(case):
    """Guards against a planned stop that violates the floor."""
    case.context.floor_count = 1
    assert not case.health.start_drain()
    assert case.accepts()


def test_listeners_hear_each_state(case):
    """Guards against state changes that are not announced to the fleet."""
    states = []
    case.health.listeners.append(states.append)
    case.eject()
    case.health.record_crashed()
    case.health.record_started()
    assert states == [
        ServerState.EJECTED,
        ServerState.STARTING,
        ServerState.READY,
    ]
