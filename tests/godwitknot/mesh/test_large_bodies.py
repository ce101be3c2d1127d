"""Bodies of the largest size pass through nodes of bounded memory."""

import hashlib
import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection

import pytest

from bench.meshfleet import HOST, wait_until

BODY_BYTES = 16777216
CHUNK_BYTES = 50000
CALLERS = 8
# Half of the memory of the smallest machine.
PEAK_MEGABYTES = 100


@pytest.fixture
def large_fleet(fleet):
    """A fleet that accepts bodies of 16 MiB and waits 20 s for each."""
    document = json.loads(fleet.store.read_value('op', 'config'))
    document['version'] = 'r9'
    document['limits']['max_body_bytes'] = BODY_BYTES
    for route in document['routes'].values():
        route['timeout_ms'] = 20000
    fleet.store.put('op', 'config', json.dumps(document).encode())
    entry = fleet.machines[2]
    wait_until(
        lambda: (
            entry.send('/book/0', 'a-0', 'POST', bytes(1000001))[0].status
            == 200
        )
    )
    return fleet


def find_runs(fleet, attempt_id):
    return [
        run
        for machine in fleet.machines
        for run in machine.server.runs
        if run.attempt_id == attempt_id
    ]


def read_held_bytes(machine, gauge='held_bytes_'):
    """Return the levels of held bytes, for each kind of peer.

    :param gauge: start of the name of other gauges.
    """
    text = machine.get(4, '/metrics')[1].decode()
    return [
        float(line.split()[1])
        for line in text.splitlines()
        if line.startswith(f'godwitknot_{gauge}')
    ]


def split(body):
    """Return the parts of a body, which is sent in chunks."""
    return (
        body[start : start + CHUNK_BYTES]
        for start in range(0, len(body), CHUNK_BYTES)
    )


@pytest.mark.parametrize('prepare', [bytes, split])
def test_large_bodies_pass_at_once_within_half_of_the_memory(
    large_fleet, prepare
):
    """Guards against nodes over their memory limit (review/1).

    Callers state the lengths of their bodies, or send chunks.
    """
    entry = large_fleet.machines[2]

    def upload(number):
        body = bytes([number]) * BODY_BYTES
        response, _ = entry.send(
            '/book/1', f'b-{number}', 'POST', prepare(body), left=20000
        )
        return response.status, hashlib.sha256(body).digest()

    with ThreadPoolExecutor(CALLERS) as pool:
        uploads = list(pool.map(upload, range(CALLERS)))
    peaks = [machine.peak_megabytes() for machine in large_fleet.machines]
    for number, (status, digest) in enumerate(uploads):
        assert status == 200
        runs = find_runs(large_fleet, f'b-{number}')
        digests = [hashlib.sha256(run.body).digest() for run in runs]
        assert digests == [digest]
    assert max(peaks) < PEAK_MEGABYTES
    # Nothing stays charged once all requests have their answers.
    wait_until(
        lambda: not any(map(sum, map(read_held_bytes, large_fleet.machines)))
    )


def test_body_beyond_the_limit_gets_413_and_ends_its_run(large_fleet):
    """Guards against runs of cut bodies, and against bodies without an end."""
    entry = large_fleet.machines[2]
    parts = (bytes(CHUNK_BYTES) for _ in range(BODY_BYTES // CHUNK_BYTES + 2))
    response, content = entry.send('/book/1', 'e-0', 'POST', parts, left=8000)
    assert (response.status, content) == (413, b'body-too-large\n')
    assert not find_runs(large_fleet, 'e-0')

    def find_outcomes():
        return [
            event['outcome']
            for event in entry.events()
            if event['event'] == 'request refused' and event['request'] == 'e-0'
        ]

    # A server has received a part.
    wait_until(lambda: find_outcomes() == ['may-have-run'])
    wait_until(
        lambda: not any(map(sum, map(read_held_bytes, large_fleet.machines)))
    )
    # The server has ended the run and takes the next body.
    response, _ = entry.send('/book/1', 'e-1', 'POST', split(bytes(BODY_BYTES)))
    assert response.status == 200


def test_tables_of_a_node_are_charged(large_fleet):
    """Guards against tables that grow with the fleet without being counted."""
    sizes = {
        name: read_held_bytes(large_fleet.machines[2], f'table_bytes_{name} ')
        for name in ('members', 'servers', 'configuration', 'crashes')
    }
    assert all(level > 0 for levels in sizes.values() for level in levels)
    assert all(sizes.values())


def test_refused_body_is_answered_and_its_connection_kept(large_fleet):
    """Guards against resets in place of refusals, while a body is sent."""
    entry = large_fleet.machines[2]
    line = HTTPConnection(entry.address(0), timeout=10)
    head = {'Host': HOST, 'Godwitknot-Deadline-Ms': '5000'}
    for machine in large_fleet.machines[:2]:
        machine.server.draining = True
        machine.server.send_heartbeat(machine.control)
    statuses = []
    for number, body in enumerate((bytes(BODY_BYTES), b'small')):
        head['Godwitknot-Attempt-Id'] = f'c-{number}'
        line.request('POST', '/book/1', body, head)
        response = line.getresponse()
        response.read()
        statuses.append((response.status, response.will_close))
    assert statuses == [(503, False), (503, False)]
    assert not find_runs(large_fleet, 'c-0')


def test_caller_that_leaves_within_its_body_is_no_evidence(large_fleet):
    """Guards against ejecting servers for bodies that callers cut."""
    entry = large_fleet.machines[2]
    host, port = entry.address(0).split(':')
    with socket.create_connection((host, int(port))) as line:
        line.sendall(
            f'POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\n'
            'Godwitknot-Attempt-Id: d-0\r\n'
            f'Content-Length: {BODY_BYTES}\r\n\r\n'.encode()
        )
        line.sendall(bytes(BODY_BYTES // 2))
        time.sleep(0.5)
    response, _ = entry.send('/book/1', 'd-1', 'POST', bytes(BODY_BYTES))
    assert response.status == 200
    failed = [
        event
        for machine in large_fleet.machines
        for event in machine.events()
        if event['event'] in {'run failed', 'unexpected error'}
    ]
    assert not failed
