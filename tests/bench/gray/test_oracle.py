"""The oracles know what they claim: what hangs, or what the runs show."""

import pytest

from bench.gray.oracle import EvidenceOracle
from bench.gray.patterns import SHORT_HANGS
from bench.gray.servers import RunRecord, SimulatedServer, Work

NOW = 1000.0
WORK = Work(1.0)
PROBABLE = 0.5


@pytest.fixture
def oracle():
    return EvidenceOracle(SHORT_HANGS)


def make_server(*records):
    server = SimulatedServer(SHORT_HANGS, [], None)
    server.records.extend(records)
    return server


def make_answered(began, seconds):
    return RunRecord(began, WORK, began + seconds, answered=True)


def test_server_without_runs_hangs_as_often_as_planned(oracle):
    """Guards against a bound that is wrong from the start."""
    share = oracle.estimate([make_server()], NOW)[0]
    assert share == pytest.approx(SHORT_HANGS.share, abs=0.02)


def test_servers_are_ranked_by_what_their_runs_show(oracle):
    """Guards against evidence that counts for another server or moment."""
    proven = make_server(make_answered(NOW - 0.4, 0.2))
    earlier = make_server(make_answered(NOW - 2.5, 0.2))
    hung = make_server(RunRecord(NOW - 1, WORK), RunRecord(NOW - 0.9, WORK))
    estimates = oracle.estimate([hung, earlier, proven], NOW)
    assert estimates == sorted(estimates, reverse=True)
    assert estimates[0] > PROBABLE
    assert estimates[2] < SHORT_HANGS.share / 2


def test_hangs_are_over_after_their_longest_duration(oracle):
    """Guards against hangs that last in the filter longer than in the plan."""
    hung = make_server(*(RunRecord(NOW - 9, WORK, NOW - 8) for _ in range(4)))
    assert oracle.estimate([hung], NOW)[0] < SHORT_HANGS.share + 0.05
