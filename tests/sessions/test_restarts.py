"""Restarts of several nodes at once, with and without the store."""

import contextlib
import pathlib
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from bench.fleet import Fleet, NodePlan, ServerPlan
from godwitknot.atmostonce.claimrows import ClaimRequest, ClaimState
from godwitknot.storage.storeclient import HttpTableService

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'hafnarvagn.ini'
SERVICES = ('booking', 'booking-old', 'documents')
CODE_HEADER = 'X-Godwitknot-Code'
OUTCOME_HEADER = 'X-Godwitknot-Outcome'
CALLER_KEY = 'chosen-by-the-caller'
KEY_HEADERS = {'Idempotency-Key': CALLER_KEY}
ROW_KEY = ClaimRequest('', CALLER_KEY, '', '', 0).row_key


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
    with Fleet(plans) as new_fleet:
        wait_for(lambda: new_fleet.status('n1')['nodes'] == 3)
        new_fleet.apply(EXAMPLE, 'n1')
        yield new_fleet
        # Nodes that stop at the same time would all wait for stay promises
        # that no other node gives.
        kill_nodes(new_fleet, *new_fleet.nodes)


def kill_nodes(fleet, *names):
    for name in names:
        fleet.nodes[name].process.kill()
        fleet.nodes[name].process.wait()


def start_nodes(fleet, *names):
    for name in names:
        fleet.start_node(name)
    wait_for(
        lambda: {fleet.status(name)['state'] for name in names} == {'ready'},
    )


def send_booking(fleet, name):
    return fleet.request(
        name, 'POST', '/bookings/south/1', body=b'{}', headers=KEY_HEADERS
    )


def assert_no_server_known(response):
    """Check that a node refuses because it knows no ready server.

    The node cannot know whether an earlier request with the key ran, so the
    outcome must not be ``not-run``.
    """
    refusal = (response.status, response.headers.get(CODE_HEADER))
    assert refusal == (503, 'no-server'), response.data
    assert response.headers[OUTCOME_HEADER] == 'may-have-run'
    assert int(response.headers['Retry-After']) >= 1


def send_until_server_known(fleet, name, seconds=60):
    """Send the booking until the node knows a ready server.

    A node is ready once it has a configuration, which may be before the
    first probe of a server or the first updates from other nodes.

    :returns: first response other than that refusal.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        response = send_booking(fleet, name)
        if response.headers.get(CODE_HEADER) != 'no-server':
            return response
        assert_no_server_known(response)
        time.sleep(0.1)
    raise TimeoutError(name)


def send_and_check_booking(fleet, name):
    response = send_until_server_known(fleet, name)
    assert response.status == 200, response.data
    assert response.headers[OUTCOME_HEADER] == 'ran'
    return response.data


def wait_for_claim(fleet, state):
    """Wait until the row of the claim has a state.

    The caller receives its response before the row is written.
    """
    tables = HttpTableService(fleet.platform, 5)
    wait_for(lambda: tables.read(ROW_KEY).columns.get('state') == state)


def count_bookings(fleet):
    return [run['key'] for run in list_runs(fleet)].count(CALLER_KEY)


def set_faults(fleet, **faults):
    for name, node in fleet.nodes.items():
        for server in node.servers:
            fleet.set_faults(name, server, **faults)


def list_runs(fleet):
    for name, node in fleet.nodes.items():
        for server in node.servers:
            yield from fleet.list_runs(name, server)


def test_configuration_survives_restarts_without_the_store(fleet):
    """Guards against a node that starts unconfigured in a store outage."""
    fleet.set_platform_faults(down=True)
    kill_nodes(fleet, 'n1', 'n2')
    start_nodes(fleet, 'n1', 'n2')
    assert {fleet.status(name)['version'] for name in fleet.nodes} == {1}


def test_claims_and_configuration_survive_the_restart_of_everything(fleet):
    """Guards against a second run of a booking after all nodes crashed."""
    first = send_and_check_booking(fleet, 'n1')
    wait_for_claim(fleet, ClaimState.ANSWERED)
    kill_nodes(fleet, *fleet.nodes)
    start_nodes(fleet, *fleet.nodes)
    assert {fleet.status(name)['version'] for name in fleet.nodes} == {1}
    assert send_and_check_booking(fleet, 'n2') == first
    assert send_and_check_booking(fleet, 'n3') == first
    assert count_bookings(fleet) == 1


def test_a_resend_before_any_server_is_ready_is_not_called_not_run(fleet):
    """Guards against outcome ``not-run`` if the booking ran before a restart."""
    first = send_and_check_booking(fleet, 'n1')
    wait_for_claim(fleet, ClaimState.ANSWERED)
    set_faults(fleet, health_fails=True)
    kill_nodes(fleet, *fleet.nodes)
    start_nodes(fleet, *fleet.nodes)
    for name in fleet.nodes:
        assert_no_server_known(send_booking(fleet, name))
    set_faults(fleet)
    assert {send_and_check_booking(fleet, name) for name in fleet.nodes} == {
        first
    }
    assert count_bookings(fleet) == 1


def test_a_booking_without_a_recorded_answer_is_not_run_again(fleet):
    """Guards against a second run of a booking whose response was not stored.

    Its node crashed before it stored the response in the claim.
    """
    set_faults(fleet, slow_factor=100)
    with ThreadPoolExecutor(1) as caller:
        booking = caller.submit(send_and_check_booking, fleet, 'n1')
        wait_for_claim(fleet, ClaimState.CLAIMED)
        fleet.set_platform_faults(down=True)
        booking.result()
    kill_nodes(fleet, *fleet.nodes)
    fleet.set_platform_faults(down=False)
    set_faults(fleet)
    start_nodes(fleet, *fleet.nodes)
    for name in ('n2', 'n3'):
        resent = send_until_server_known(fleet, name)
        assert resent.status == 504, resent.data
        assert resent.headers[CODE_HEADER] == 'deadline-passed'
        assert resent.headers[OUTCOME_HEADER] == 'may-have-run'
    wait_for_claim(fleet, ClaimState.CLAIMED)
    assert count_bookings(fleet) == 1
