"""The operator of a fault soak writes again what a restore lost."""

import json
import time

import pytest

from bench.faultsoak.fleet import SoakFleet


@pytest.fixture
def fleet(tmp_path):
    fleet = SoakFleet(tmp_path)
    yield fleet
    fleet.stop()


def read_stored_version(fleet):
    return json.loads(fleet.store.read_value('op', 'config'))['version']


def test_lost_versions_are_written_again(fleet):
    """Guards against a soak that never requires what a restore lost."""
    fleet.change_configuration()
    time.sleep(0.05)
    moment = time.monotonic()
    time.sleep(0.05)
    fleet.change_configuration()
    fleet.change_configuration()
    acknowledged = dict(fleet.versions)
    fleet.store.restore(time.monotonic() - moment)
    assert read_stored_version(fleet) == 'r5'
    fleet.rewrite_lost_configurations()
    assert read_stored_version(fleet) == 'r7'
    assert fleet.versions == acknowledged


def test_nothing_is_written_again_without_a_loss(fleet):
    fleet.change_configuration()
    before = fleet.store.read({'table': 'op', 'part': ''})[1]['row_version']
    fleet.rewrite_lost_configurations()
    after = fleet.store.read({'table': 'op', 'part': ''})[1]['row_version']
    assert after == before
