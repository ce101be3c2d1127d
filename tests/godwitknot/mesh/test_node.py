"""The stop of a node as a process, before callers that stay."""

import contextlib
import signal
import threading
import time
from http.client import HTTPException

import pytest

from bench.meshfleet import Fleet, make_route, wait_until

GRACE_SECONDS = 6.0


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        for service in ('booking', 'booking', 'documents'):
            fleet.add(service)
        fleet.start()
        wait_until(
            lambda: (
                {
                    machine.send(path, f'probe-{time.monotonic()}')[0].status
                    for machine in fleet.machines
                    for path in ('/browse/x', '/docs/x')
                }
                == {200}
            )
        )
        yield fleet


def list_runs(fleet):
    return [run for each in fleet.machines for run in each.server.runs]


def list_cut(machine):
    """Give the ids of the requests that the exit of a node has cut."""
    return [
        event['request']
        for event in machine.events()
        if event['event'] == 'request cut by exit'
    ]


def test_log_names_the_requests_that_an_exit_cuts(fleet):
    """Guards against a cut request that no log line explains."""
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
    wait_until(lambda: [each for each in fleet.machines if each.server.runs][0])
    stopping.process.send_signal(signal.SIGTERM)
    assert stopping.process.wait(GRACE_SECONDS) == 0
    caller.join()
    assert list_cut(stopping) == ['a-1']
