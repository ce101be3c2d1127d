"""A stopping node process answers callers that keep sending to it."""

import contextlib
import signal
import threading
from http.client import HTTPException

import pytest

from bench.faultsoak.callers import ConnectionPool
from bench.faultsoak.fleet import SoakFleet
from bench.meshfleet import make_route, wait_until

GRACE_SECONDS = 6.0
WORK_SECONDS = 0.4
# Requests with the shortest deadline are accepted until just before the exit.
SECONDS_LEFT = (0.6, 1.2, 3.0)
# Delay of each frame between nodes, as on a link that is full of other data.
FRAME_DELAY_SECONDS = 0.45


class PersistentCaller(threading.Thread):
    """Sends requests to one node until it exits, whatever the responses.

    Callers do so when most nodes of their failure domain stop together.
    """

    def __init__(self, machine, request, seconds_left):
        super().__init__(daemon=True)
        self.statuses = {}
        self._machine = machine
        self._request = request
        self._seconds_left = seconds_left

    def run(self):
        connections = ConnectionPool()
        number = 0
        while self._machine.process.poll() is None:
            number += 1
            attempt_id = f'{self.name}-{number}'
            self.statuses[attempt_id] = 0
            with contextlib.suppress(OSError, HTTPException):
                response = connections.send(
                    self._machine,
                    self._request,
                    attempt_id,
                    self._seconds_left,
                )
                self.statuses[attempt_id] = response[0]


def list_runs(fleet):
    return [run for each in fleet.machines for run in each.server.runs]


def list_unfinished(machine):
    """Return the ids of the requests that a node's exit left unanswered."""
    return [
        event['request']
        for event in machine.events()
        if event['event'] == 'request cut by exit'
    ]


def test_log_names_the_requests_that_an_exit_cuts(fleet):
    """Guards against an unanswered request without a log line."""
    patient = make_route('/patient/', 'idempotent', 'booking')
    patient['timeout_ms'] = 9000
    fleet.configure(9, patient=patient)
    stopping = fleet.machines[2]
    wait_until(
        lambda: stopping.send('/patient/', 'probe-patient')[0].status == 200
    )
    for machine in fleet.machines:
        machine.server.faults.hang = True

    def send():
        with contextlib.suppress(OSError, HTTPException):
            stopping.send('/patient/1', 'a-1', left=9000)

    caller = threading.Thread(target=send, daemon=True)
    caller.start()
    wait_until(lambda: 'a-1' in {run.attempt_id for run in list_runs(fleet)})
    stopping.process.send_signal(signal.SIGTERM)
    assert stopping.process.wait(GRACE_SECONDS) == 0
    caller.join()
    assert list_unfinished(stopping) == ['a-1']


@pytest.mark.parametrize('number', [0, 2], ids=['booking', 'documents'])
def test_stop_cuts_no_request_of_callers_that_stay(fleet, number):
    """Guards against requests accepted too late to be answered."""
    for machine in fleet.machines:
        machine.server.work_seconds = WORK_SECONDS
    stopping = fleet.machines[number]
    booking = ('POST', '/book/1', b'x')
    lookup = ('GET', '/browse/1', b'')
    callers = [
        PersistentCaller(stopping, request, seconds_left)
        for request in (booking, lookup)
        for seconds_left in SECONDS_LEFT
    ]
    for caller in callers:
        caller.start()
    stopping.process.send_signal(signal.SIGTERM)
    assert stopping.process.wait(GRACE_SECONDS) == 0
    statuses = {}
    for caller in callers:
        caller.join()
        statuses.update(caller.statuses)
    runs = list_runs(fleet)
    unanswered = {each for each, status in statuses.items() if not status}
    assert not unanswered & {run.attempt_id for run in runs}
    refused = {each for each, status in statuses.items() if status == 503}
    booked = {run.attempt_id for run in runs if run.method == 'POST'}
    assert not refused & booked
    assert not list_unfinished(stopping)


@pytest.fixture
def slow_fleet(tmp_path):
    """Five node processes whose frames to each other are late."""
    fleet = SoakFleet(tmp_path)
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start()
        for machine in fleet.machines:
            machine.relay_path.delay = FRAME_DELAY_SECONDS
        yield fleet


def test_stop_gives_up_no_run_behind_a_slow_link(slow_fleet):
    """Guards against giving up runs whose frames are late at a stop."""
    stopping = slow_fleet.machines[-1]
    stopping.process.send_signal(signal.SIGTERM)
    statuses = {}

    def look_up(attempt_id):
        response, _ = stopping.send('/browse/1', attempt_id)
        statuses[attempt_id] = response.status

    callers = [
        threading.Thread(target=look_up, args=(f'a-{number}',), daemon=True)
        for number in range(6)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert list(statuses.values()) == [200 for _ in callers]
    assert stopping.process.wait(GRACE_SECONDS) == 0
