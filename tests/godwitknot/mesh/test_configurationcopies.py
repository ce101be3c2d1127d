"""Copies of the configuration between nodes are counted."""

import random

import pytest

from godwitknot.mesh.configurationcopies import ConfigurationCopies
from godwitknot.mesh.runtime import Runtime
from godwitknot.mesh.storesync import ConfigurationHolder
from godwitknot.mesh.telemetry import Telemetry
from godwitknot.mesh.transfers import Transfer
from godwitknot.units import Address
from test_storesync import NumberDialect

PEER = Address('10.0.1.1', 1)


@pytest.fixture
def runtime(clock, log):
    return Runtime(clock, log, Telemetry(), random.Random(1))


@pytest.fixture
def copies(runtime):
    return ConfigurationCopies(
        ConfigurationHolder(NumberDialect(), runtime.log), runtime
    )


def test_copies_to_and_from_nodes_are_counted(copies, runtime):
    """Guards against traffic between nodes that no metric explains."""
    copies.adopt_copy(b'0009')
    copies.take_copy()
    text = runtime.telemetry.render().decode()
    for direction in ('sent', 'received'):
        name = f'godwitknot_configuration_{{}}_{direction}_total'
        assert f'{name.format("copies")} 1.0' in text
        assert f'{name.format("bytes")} 4.0' in text


def test_partial_copy_of_a_node_is_logged(copies, logged):
    """Guards against wasted traffic between nodes that no line shows."""
    transfer = Transfer(1)
    copies.report_failed_transfer(PEER, transfer)
    assert not logged()
    transfer.received_bytes = 5000
    copies.report_failed_transfer(PEER, transfer)
    line = logged()
    assert '"configuration copy given up","origin":"peer"' in line
    assert '"received_bytes":5000,"peer":"10.0.1.1:1"' in line
