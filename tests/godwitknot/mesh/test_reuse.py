"""Connections that a server forgot are told from servers that fail."""

import pytest

from godwitknot.mesh.reuse import ReusePolicy


@pytest.fixture
def policy(clock):
    return ReusePolicy(clock)


def test_connections_rest_less_after_one_was_forgotten(policy):
    """Guards against the same loss with each request of a quiet caller."""
    assert policy.longest_rest(repeatable=True) == 8
    assert policy.note_reset(rested=0.5, lasted=0.002)
    assert policy.longest_rest(repeatable=True) == pytest.approx(0.25)
    assert policy.longest_rest(repeatable=False) == pytest.approx(0.25)


def test_longer_rest_does_not_undo_a_shorter_one(policy):
    policy.note_reset(rested=0.4, lasted=0.002)
    policy.note_reset(rested=6, lasted=0.002)
    assert policy.longest_rest(repeatable=True) == pytest.approx(0.2)


def test_requests_that_must_not_be_repeated_take_fresh_connections(policy):
    policy.note_reset(rested=6, lasted=0.002)
    assert policy.longest_rest(repeatable=False) == pytest.approx(1)


def test_usual_rest_returns_after_a_minute(policy, clock):
    policy.note_reset(rested=0.5, lasted=0.002)
    clock.advance(61)
    assert policy.longest_rest(repeatable=True) == 8
    assert policy.longest_rest(repeatable=False) == 1


@pytest.mark.parametrize(('rested', 'lasted'), [(0, 0.002), (3, 0.4)])
def test_other_ends_are_failures_of_the_server(policy, rested, lasted):
    """Guards against a crash, or a run cut by the server, that is excused."""
    assert not policy.note_reset(rested, lasted)
    assert policy.longest_rest(repeatable=True) == 8
