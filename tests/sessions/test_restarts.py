"""Restarts of many nodes at once, with and without the store."""

import contextlib
import pathlib
import time

import pytest
import urllib3

from bench.fleet import Fleet, NodePlan, ServerPlan

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'hafnarvagn.ini'
SERVICES = ('booking', 'booking-old', 'documents')
KEY = {'Idempotency-Key': 'chosen-by-the-caller'}


def wait_for(condition, seconds=60):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(urllib3.exceptions.HTTPError, KeyError):
            if condition():
                return
        time.sleep(0.1)
    raise TimeoutError(condition)


@pytest.fixture
def fleet():
    servers = tuple(ServerPlan(f'{name}-1', name) for name in SERVICES)
    plans = [
        NodePlan(f'n{number}', 'reykjanes', f'reykjanes-{number}', servers)
        for number in range(1, 4)
    ]
    with Fleet(plans) as running:
        wait_for(lambda: running.status('n1')['nodes'] == 3)
        running.apply(EXAMPLE, 'n1')
        yield running


def kill(fleet, *names):
    for name in names:
        fleet.nodes[name].process.kill()
        fleet.nodes[name].process.wait()


def start(fleet, *names):
    for name in names:
        fleet.start_node(name)
    wait_for(
        lambda: {fleet.status(name)['state'] for name in names} == {'ready'},
    )


def list_runs(fleet):
    for name, node in fleet.nodes.items():
        for server in node.servers:
            yield from fleet.list_runs(name, server)


def test_configuration_survives_restarts_without_the_store(fleet):
    """Guards against a node that starts with nothing in an outage."""
    fleet.set_platform_faults(down=True)
    kill(fleet, 'n1', 'n2')
    start(fleet, 'n1', 'n2')
    assert {fleet.status(name)['version'] for name in fleet.nodes} == {1}


def test_claims_and_configuration_survive_the_restart_of_everything(fleet):
    """Guards against a booking that runs again after all nodes died."""

    def book(name):
        return fleet.request(
            name, 'POST', '/bookings/south/1', body=b'{}', headers=KEY
        )

    wait_for(lambda: book('n1').status == 200)
    first = book('n1').data
    kill(fleet, *fleet.nodes)
    start(fleet, *fleet.nodes)
    assert {fleet.status(name)['version'] for name in fleet.nodes} == {1}
    wait_for(lambda: book('n2').status == 200)
    assert book('n3').data == first
    keys = [run['key'] for run in list_runs(fleet)]
    assert keys.count(KEY['Idempotency-Key']) == 1
