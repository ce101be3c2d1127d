import random

import pytest

from godwitknot.clock import ManualClock
from godwitknot.declarations.declaration import Weighing
from godwitknot.health.evidence import EvidenceKind
from godwitknot.health.outliers import Sample, SequentialPolicy
from godwitknot.health.siblings import Baseline

NORMAL = Baseline(0.05, 0.012, 0, 7)


class PolicyCase:
    """A policy with generated requests of one class."""

    def __init__(self, weighing=Weighing.DETECTION, baseline=NORMAL, seed=1):
        self.clock = ManualClock()
        self.baseline = baseline
        self.policy = SequentialPolicy(
            self.clock, lambda name: self.baseline, lambda name: weighing
        )
        self._random = random.Random(seed)

    def feed(self, count, factor=1, error_share=0, **changes):
        """Return the number of requests until ejection, or None."""
        for number in range(count):
            seconds = self._random.lognormvariate(-3, 0.35) * factor
            failed = self._random.random() < error_share
            self.clock.advance(0.5)
            sample = Sample(
                'lookup', seconds, failed, True, self.clock.now(), **changes
            )
            self.policy.observe(sample)
            self.policy.tick(self.clock.now())
            if self.policy.verdict().eject:
                return number + 1
        return None

    def hang(self, count, *, fresh):
        for number in range(count):
            self.policy.begin(f'r{number}', 'lookup', fresh_connection=fresh)


@pytest.mark.parametrize('weighing', list(Weighing))
def test_healthy_server_is_not_ejected(weighing):
    """Guards against false ejections from ordinary variance."""
    assert PolicyCase(weighing).feed(2000) is None


@pytest.mark.parametrize('fault', [{'factor': 3}, {'error_share': 0.5}])
def test_fault_is_found_and_caution_waits_longer(fault):
    """Guards against missing a fault, or ejecting too soon with caution."""
    counts = [PolicyCase(weighing).feed(200, **fault) for weighing in Weighing]
    assert None not in counts
    assert counts == sorted(counts)
    assert counts[0] < counts[2]
    assert counts[2] <= 30


def test_one_odd_request_ejects_nobody():
    """Guards against a verdict from a single request."""
    case = PolicyCase()
    assert case.feed(1, factor=10000) is None
    assert not case.policy.verdict().suspect


def test_hung_requests_count_while_they_hang():
    """Guards against missing a server that never answers.

    Its requests do not finish, so only those in flight are evidence.
    """
    case = PolicyCase(Weighing.CAUTION)
    case.hang(4, fresh=True)
    case.clock.advance(0.06)
    assert not case.policy.verdict().suspect
    case.clock.advance(2)
    verdict = case.policy.verdict()
    assert verdict.eject
    assert verdict.evidence.hung == 4
    case.policy.abandon('r0')
    case.policy.abandon('r1')
    assert not case.policy.verdict().eject


def test_silent_reused_connections_are_no_evidence():
    """Guards against ejecting a server for dead reused connections."""
    case = PolicyCase()
    case.hang(4, fresh=False)
    assert not case.policy.wants_fresh_connections()
    case.clock.advance(60)
    assert case.policy.wants_fresh_connections()
    assert not case.policy.verdict().suspect
    case.policy.begin('new', 'lookup', fresh_connection=True)
    assert not case.policy.verdict().suspect
    case.clock.advance(1)
    assert case.policy.verdict().evidence.hung == 5
    case.policy.abandon('new')
    for number in range(4):
        case.policy.observe(
            Sample('lookup', 10, True, False, 0, True, f'r{number}')
        )
    assert case.policy.verdict().evidence is None


def test_general_overload_ejects_nobody():
    """Guards against ejections when all siblings slow down together."""
    case = PolicyCase()
    case.feed(4, factor=5)
    assert case.policy.verdict().suspect
    case.baseline = Baseline(0.25, 0.06, 0, 7)
    assert case.feed(200, factor=5) is None
    assert not case.policy.verdict().suspect


def test_nobody_is_ejected_while_the_baseline_moves():
    """Guards against ejections while the baseline mixes old and new times."""
    case = PolicyCase()
    case.feed(10)
    case.baseline = Baseline(0.1, 0.024, 0, 7)
    case.policy.tick(case.clock.now())
    assert case.feed(15, factor=8) is None
    assert case.feed(20, factor=8) is not None


def test_no_baseline_no_verdict():
    """Guards against ejecting a server that has no siblings to compare."""
    assert PolicyCase(baseline=None).feed(100, error_share=1) is None


def test_fast_errors_do_not_look_healthy():
    """Guards against missing errors because they are answered fast."""
    assert PolicyCase(Weighing.CAUTION).feed(50, 0.01, 0.6) is not None


def test_siblings_with_errors_of_their_own():
    """Guards against ejections when a shared dependency fails."""
    shared = Baseline(0.05, 0.012, 0.3, 7)
    assert PolicyCase(baseline=shared).feed(1000, error_share=0.3) is None


def test_slowness_of_a_share_of_requests_is_found():
    """Guards against missing slow requests among many fast ones."""
    case = PolicyCase()
    for _ in range(60):
        case.feed(3)
        case.feed(1, factor=8)
    evidence = case.policy.verdict().evidence
    assert evidence.kind is EvidenceKind.SLOW_SHARE
    assert evidence.strength >= 1


def test_verdict_explains_itself():
    """Guards against ejections that an operator cannot explain."""
    case = PolicyCase()
    case.feed(50, factor=5)
    evidence = case.policy.verdict().evidence
    assert evidence.kind is EvidenceKind.SLOW
    assert evidence.explain().startswith('class lookup, slow: score')
    case.policy.reset()
    assert case.policy.verdict().evidence is None
