"""A stopping node process answers callers that keep sending to it."""

import contextlib
import signal
import threading
from http.client import HTTPException

import pytest

from bench.faultsoak.callers import ConnectionPool
from bench.meshfleet import make_route, wait_until

GRACE_SECONDS = 6.0
WORK_SECONDS = 0.4
# Requests with the shortest deadline are accepted until just before the exit.
SECONDS_LEFT = (0.6, 1.2, 3.0)


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
