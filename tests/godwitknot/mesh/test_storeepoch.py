"""A restore of the store is noticed once, and counted."""

import random

import pytest

from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.storeepoch import EpochTracker
from godwitknot.mesh.telemetry import Telemetry


@pytest.fixture
def runtime(clock, log):
    return Runtime(clock, log, Telemetry(), random.Random(1))


@pytest.fixture
def tracker(runtime):
    return EpochTracker(runtime)


def test_first_epoch_is_no_restore(tracker, logged):
    tracker.observe(0)
    tracker.observe(7)
    assert tracker.current == 7
    assert 'store restored' not in logged()


def test_restore_is_logged_and_counted_once(tracker, runtime, logged):
    for epoch in (7, 8, 7, 0, 8):
        tracker.observe(epoch)
    assert tracker.current == 8
    assert logged().count('"event":"store restored","epoch":8,"before":7') == 1
    assert b'store_restores_total 1.0' in runtime.telemetry.render()
