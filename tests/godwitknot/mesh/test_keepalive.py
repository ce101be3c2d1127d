"""Connections that a server forgot are told from servers that fail."""

import pytest

from godwitknot.mesh.keepalive import KeepAliveEstimate


@pytest.fixture
def estimate(clock):
    return KeepAliveEstimate(clock)


def test_connections_rest_less_after_one_was_forgotten(estimate):
    """Guards against the same loss with each request of a quiet caller."""
    assert estimate.longest_rest(repeatable=True) == 8
    assert estimate.note_reset(rested=0.5, lasted=0.002)
    assert estimate.longest_rest(repeatable=True) == pytest.approx(0.25)
    assert estimate.longest_rest(repeatable=False) == pytest.approx(0.25)


def test_longer_rest_does_not_undo_a_shorter_one(estimate):
    estimate.note_reset(rested=0.4, lasted=0.002)
    estimate.note_reset(rested=6, lasted=0.002)
    assert estimate.longest_rest(repeatable=True) == pytest.approx(0.2)


def test_requests_that_must_not_be_repeated_take_fresh_connections(estimate):
    estimate.note_reset(rested=6, lasted=0.002)
    assert estimate.longest_rest(repeatable=False) == pytest.approx(1)


def test_usual_rest_returns_after_a_minute(estimate, clock):
    estimate.note_reset(rested=0.5, lasted=0.002)
    clock.advance(61)
    assert estimate.longest_rest(repeatable=True) == 8
    assert estimate.longest_rest(repeatable=False) == 1


@pytest.mark.parametrize(('rested', 'lasted'), [(0, 0.002), (3, 0.4)])
def test_other_ends_are_failures_of_the_server(estimate, rested, lasted):
    """Guards against a crash, or a run cut by the server, that is excused."""
    assert not estimate.note_reset(rested, lasted)
    assert estimate.longest_rest(repeatable=True) == 8
