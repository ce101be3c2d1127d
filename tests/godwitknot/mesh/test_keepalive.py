"""Connections that a server dropped are no evidence of its failure."""

import pytest

from godwitknot.mesh.keepalive import KeepAliveEstimate


@pytest.fixture
def estimate(clock):
    return KeepAliveEstimate(clock)


def test_connections_rest_less_after_one_was_forgotten(estimate):
    """Guards against the same loss on each request of an idle caller."""
    assert estimate.max_idle_seconds(repeatable=True) == 8
    assert estimate.record_reset(idle_seconds=0.5, seconds_to_reset=0.002)
    assert estimate.max_idle_seconds(repeatable=True) == pytest.approx(0.25)
    assert estimate.max_idle_seconds(repeatable=False) == pytest.approx(0.25)


def test_longer_rest_does_not_undo_a_shorter_one(estimate):
    estimate.record_reset(idle_seconds=0.4, seconds_to_reset=0.002)
    estimate.record_reset(idle_seconds=6, seconds_to_reset=0.002)
    assert estimate.max_idle_seconds(repeatable=True) == pytest.approx(0.2)


def test_requests_that_must_not_be_repeated_take_fresh_connections(estimate):
    estimate.record_reset(idle_seconds=6, seconds_to_reset=0.002)
    assert estimate.max_idle_seconds(repeatable=False) == pytest.approx(1)


def test_usual_rest_returns_after_a_minute(estimate, clock):
    estimate.record_reset(idle_seconds=0.5, seconds_to_reset=0.002)
    clock.advance(61)
    assert estimate.max_idle_seconds(repeatable=True) == 8
    assert estimate.max_idle_seconds(repeatable=False) == 1


@pytest.mark.parametrize(
    ('idle_seconds', 'seconds_to_reset'), [(0, 0.002), (3, 0.4)]
)
def test_other_ends_are_failures_of_the_server(
    estimate, idle_seconds, seconds_to_reset
):
    """Guards against a crash or an aborted run that is no evidence."""
    assert not estimate.record_reset(idle_seconds, seconds_to_reset)
    assert estimate.max_idle_seconds(repeatable=True) == 8
