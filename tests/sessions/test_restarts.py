"""Restarts of many nodes at once, with and without the store."""

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
CHOSEN = 'chosen-by-the-caller'
KEY = {'Idempotency-Key': CHOSEN}
ROW_KEY = ClaimRequest('', CHOSEN, '', '', 0).row_key


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
        # All nodes at once wait in vain for promises of each other.
        kill(running, *running.nodes)


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


def send_booking(fleet, name):
    return fleet.request(
        name, 'POST', '/bookings/south/1', body=b'{}', headers=KEY
    )


def check_refusal(answer):
    """Check that a node refuses because it knows no ready server.

    It cannot know whether an earlier request with the key ran, so "not run"
    would be untrue.
    """
    refusal = (answer.status, answer.headers.get(CODE_HEADER))
    assert refusal == (503, 'no-server'), answer.data
    assert answer.headers[OUTCOME_HEADER] == 'may-have-run'
    assert int(answer.headers['Retry-After']) >= 1


def send_until_reached(fleet, name, seconds=60):
    """Send the booking until the node knows a ready server.

    A node is ready once it has a configuration, which may be before the
    first probe of a server or the first news from other nodes.

    :returns: the first response that is no such refusal.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        answer = send_booking(fleet, name)
        if answer.headers.get(CODE_HEADER) != 'no-server':
            return answer
        check_refusal(answer)
        time.sleep(0.1)
    raise TimeoutError(name)


def book(fleet, name):
    answer = send_until_reached(fleet, name)
    assert answer.status == 200, answer.data
    assert answer.headers[OUTCOME_HEADER] == 'ran'
    return answer.data


def wait_for_claim(fleet, state):
    """Wait until the row of the claim has a state.

    A caller gets its response before the row has it.
    """
    tables = HttpTableService(fleet.platform, 5)
    wait_for(lambda: tables.read(ROW_KEY).columns.get('state') == state)


def count_bookings(fleet):
    return [run['key'] for run in list_runs(fleet)].count(CHOSEN)


def set_faults(fleet, **faults):
    for name, node in fleet.nodes.items():
        for server in node.servers:
            fleet.set_faults(name, server, **faults)


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
    first = book(fleet, 'n1')
    wait_for_claim(fleet, ClaimState.ANSWERED)
    kill(fleet, *fleet.nodes)
    start(fleet, *fleet.nodes)
    assert {fleet.status(name)['version'] for name in fleet.nodes} == {1}
    assert book(fleet, 'n2') == first
    assert book(fleet, 'n3') == first
    assert count_bookings(fleet) == 1


def test_a_resend_before_any_server_is_ready_is_not_called_not_run(fleet):
    """Guards against "not run" for a booking that ran before a restart."""
    first = book(fleet, 'n1')
    wait_for_claim(fleet, ClaimState.ANSWERED)
    set_faults(fleet, health_fails=True)
    kill(fleet, *fleet.nodes)
    start(fleet, *fleet.nodes)
    for name in fleet.nodes:
        check_refusal(send_booking(fleet, name))
    set_faults(fleet)
    assert {book(fleet, name) for name in fleet.nodes} == {first}
    assert count_bookings(fleet) == 1


def test_a_booking_without_a_recorded_answer_is_not_run_again(fleet):
    """Guards against a second run when its node died before the record."""
    set_faults(fleet, slow_factor=100)
    with ThreadPoolExecutor(1) as caller:
        booked = caller.submit(book, fleet, 'n1')
        wait_for_claim(fleet, ClaimState.CLAIMED)
        fleet.set_platform_faults(down=True)
        booked.result()
    kill(fleet, *fleet.nodes)
    fleet.set_platform_faults(down=False)
    set_faults(fleet)
    start(fleet, *fleet.nodes)
    for name in ('n2', 'n3'):
        resent = send_until_reached(fleet, name)
        assert resent.status == 504, resent.data
        assert resent.headers[CODE_HEADER] == 'deadline-passed'
        assert resent.headers[OUTCOME_HEADER] == 'may-have-run'
    wait_for_claim(fleet, ClaimState.CLAIMED)
    assert count_bookings(fleet) == 1
