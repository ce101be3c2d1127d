"""The probability of a fault follows the outcomes of a server's runs."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitknot.clock import ManualClock
from godwitknot.mesh.faultbelief import Evidence, FaultBelief, FaultMode

ZONES = ('z1', 'z2', 'z3')


@pytest.fixture
def belief(clock):
    return FaultBelief(clock)


def test_new_server_is_believed_to_be_like_any_other(belief, clock):
    before = belief.probability('z1')
    clock.advance(100)
    assert belief.probability('z1') == pytest.approx(before)


def test_belief_without_evidence_approaches_the_usual_share(belief, clock):
    belief.add(Evidence.EARLY_FAILURE, 'z1')
    clock.advance(1000)
    assert belief.probability('z1') == pytest.approx(0.11, abs=0.01)


def test_many_short_steps_equal_a_long_one(clock):
    beliefs = [FaultBelief(clock), FaultBelief(clock)]
    for belief in beliefs:
        belief.add(Evidence.EARLY_FAILURE, 'z1')
    for _ in range(100):
        clock.advance(0.05)
        beliefs[0].probability('z1')
    assert beliefs[0].probability('z1') == pytest.approx(
        beliefs[1].probability('z1')
    )


def test_early_failures_and_hangs_show_their_mode(belief, clock):
    clock.advance(5)
    belief.add(Evidence.EARLY_FAILURE, 'z1')
    failing = belief.probability('z1', FaultMode.FAILING)
    assert failing > 5 * belief.probability('z1', FaultMode.STALLING)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(Evidence),
            st.sampled_from(ZONES),
            st.floats(0, 30),
        ),
        max_size=60,
    )
)
def test_any_history_gives_a_probability(history):
    """Guards against sums above 1 and a belief that cannot change any more."""
    clock = ManualClock()
    belief = FaultBelief(clock)
    for evidence, zone, pause in history:
        clock.advance(pause)
        belief.add(evidence, zone)
        for each in (*ZONES, 'z4'):
            assert 0 <= belief.probability(each) <= 1 + 1e-9
    for _ in range(400):
        clock.advance(0.3)
        for zone in ZONES:
            belief.add(Evidence.SUCCESS, zone)
            belief.add(Evidence.SURVIVAL, zone)
    assert round(belief.probability('z1'), 1) == 0
