"""Node processes handle requests against stand-ins of the platform."""

import signal
import socket
import time

import pytest

from bench.meshfleet import HOST, make_route, wait_until


def only(entries):
    assert len(entries) == 1
    return entries[0]


def runs_of(fleet, attempt_id):
    return [
        run
        for machine in fleet.machines
        for run in machine.server.runs
        if run.attempt_id == attempt_id
    ]


def test_each_kind_of_request_is_served(fleet):
    entry = fleet.machines[2]
    for number, (method, path, body) in enumerate(
        [
            ('GET', '/browse/1?q=2', None),
            ('POST', '/book/1', b'two crates'),
            ('GET', '/docs/1', None),
        ]
    ):
        attempt_id = f'a-{number}'
        response, content = entry.send(path, attempt_id, method, body)
        assert response.status == 200
        assert response.headers['Godwitknot-Server-Seal'] == 'seal'
        assert content.endswith(path.encode())
        run = only(runs_of(fleet, attempt_id))
        assert (run.method, run.target) == (method, path)
        assert run.body == (body or b'')
        # The service of the instance that received the caller's request.
        assert run.caller == 'documents'
        assert 0 < run.time_left <= 3000


def test_unknown_route_is_404(fleet):
    response, _ = fleet.machines[0].send('/nothing/', 'a-1')
    assert response.status == 404


def test_draining_server_gets_nothing_more(fleet):
    first = fleet.machines[0]
    first.server.draining = True
    assert first.server.send_heartbeat(first.control) == 200
    before = len(first.server.runs)
    for number in range(10):
        entry = fleet.machines[number % 3]
        response, _ = entry.send('/browse/1', f'a-{number}')
        assert response.status == 200
    assert len(first.server.runs) == before


def test_restarted_node_does_not_trust_a_late_heartbeat(fleet):
    """Guards against requests to a server that was deregistered.

    A late heartbeat reaches the node after it was killed and restarted.
    """
    first = fleet.machines[0]
    first.server.draining = True
    assert first.server.deregister(first.control) == 200
    first.process.kill()
    first.process.wait()
    first.start()
    wait_until(first.is_ready)
    assert first.server.send_heartbeat(first.control, state='ready') == 200
    before = len(first.server.runs)
    for number in range(6):
        first.send('/browse/1', f'a-{number}')
    assert len(first.server.runs) == before


def test_restarted_node_serves_before_the_next_heartbeat(fleet):
    """Guards against a restarted node that waits for the next heartbeat.

    Its record in the store and a health check are enough.
    """
    first = fleet.machines[0]
    key = first.address(1)
    wait_until(lambda: fleet.store.read_value('members', key))
    first.process.kill()
    first.process.wait()
    first.start()
    wait_until(first.is_ready)
    before = len(first.server.runs)

    def is_used():
        first.send('/browse/1', f'a-{time.monotonic()}')
        return len(first.server.runs) > before

    wait_until(is_used, 3)


def test_booking_with_a_lost_answer_runs_once(fleet):
    for machine in fleet.machines:
        machine.server.faults.cut = True
    response, _ = fleet.machines[0].send('/book/1', 'a-1', 'POST', b'x')
    assert response.status == 502
    assert len(runs_of(fleet, 'a-1')) == 1


def fill_retry_budget(fleet):
    """Send requests, so that the budget permits retries."""
    for machine in fleet.machines[:2]:
        for number in range(15):
            path = f'/browse/{number}'
            machine.send(path, f'earn-{machine.name}-{number}')


def test_browsing_with_a_cut_answer_is_sent_again(fleet):
    fill_retry_budget(fleet)
    fleet.machines[0].server.faults.cut = True
    for number in range(4):
        response, content = fleet.machines[0].send('/browse/1', f'a-{number}')
        assert response.status == 200
        assert content.endswith(b'/browse/1')


def test_browsing_on_a_hung_server_is_answered_by_another(fleet):
    """Guards against a hedge that is too late for the objective of 1 s."""
    fill_retry_budget(fleet)
    fleet.machines[0].server.faults.hang = True
    started = time.monotonic()
    response, content = fleet.machines[0].send('/browse/1', 'a-1')
    assert response.status == 200
    assert content.startswith(b'i-2')
    assert time.monotonic() - started < 1


def test_answer_to_another_request_is_never_delivered(fleet):
    for machine in fleet.machines:
        machine.server.faults.stale = True
    response, content = fleet.machines[0].send('/book/1', 'a-1', 'POST', b'')
    assert response.status == 200
    assert content != b'stale'
    assert len(runs_of(fleet, 'a-1')) == 1


@pytest.mark.parametrize('replay', ['with-id', 'without-id'])
def test_repeated_refusal_is_no_proof_that_a_booking_did_not_run(fleet, replay):
    """Guards against "not run" for bookings that run, and second runs.

    The servers send earlier refusals once more, on connections that are kept.
    """
    for machine in fleet.machines:
        machine.server.faults.replay = replay
    for number in range(20):
        attempt_id = f'a-{number}'
        entry = fleet.machines[number % 3]
        response, _ = entry.send('/book/1', attempt_id, 'POST', b'')
        runs = runs_of(fleet, attempt_id)
        assert len(runs) <= 1
        if response.status in {408, 421, 429, 503}:
            assert not runs
        else:
            assert response.status in {200, 502}


def test_answer_that_ends_within_its_head_is_no_success(fleet):
    """Guards against a 200 with an empty body, and second runs."""
    for machine in fleet.machines:
        machine.server.faults.cut_head = True
    for number in range(30):
        attempt_id = f'a-{number}'
        entry = fleet.machines[number % 3]
        response, _ = entry.send('/book/1', attempt_id, 'POST', b'')
        runs = runs_of(fleet, attempt_id)
        expected = 502 if runs else 503
        assert response.status == expected
        assert len(runs) <= 1


def test_hung_server_ends_at_the_deadline_of_the_caller(fleet):
    for machine in fleet.machines:
        machine.server.faults.hang = True
    started = time.monotonic()
    response, _ = fleet.machines[0].send('/book/1', 'a-1', 'POST', left=800)
    assert response.status == 504
    assert 700 < 1000 * (time.monotonic() - started) < 1300


def test_leaving_caller_cancels_what_may_be_repeated(fleet):
    for machine in fleet.machines:
        machine.server.faults.hang = True
    with socket.create_connection(
        ('127.0.0.1', fleet.machines[2].ports[0])
    ) as caller:
        caller.sendall(
            f'GET /browse/1 HTTP/1.1\r\nHost: {HOST}\r\n'
            'Godwitknot-Attempt-Id: a-1\r\n'
            'Godwitknot-Deadline-Ms: 3000\r\n\r\n'.encode()
        )
        wait_until(lambda: runs_of(fleet, 'a-1'))
    wait_until(
        lambda: sum(each.server.cancelled_requests for each in fleet.machines),
        0.5,
    )


def test_configuration_is_in_force_on_all_nodes(fleet):
    fleet.configure(9, new=make_route('/new/', 'idempotent', 'booking'))

    def is_new():
        return all(
            machine.send('/new/1', f'a-{time.monotonic()}')[0].status == 200
            for machine in fleet.machines
        )

    wait_until(is_new, 2.5)
    # A later write of an older version has no effect.
    fleet.configure(7)
    time.sleep(0.5)
    assert is_new()


def test_history_that_is_gone_is_read_anew(fleet):
    fleet.store.drop_history()
    fleet.configure(9, new=make_route('/new/', 'idempotent', 'booking'))
    wait_until(
        lambda: fleet.machines[0].send('/new/1', 'a-1')[0].status == 200, 4
    )


def test_heartbeats_are_acknowledged_while_the_store_is_down(fleet):
    fleet.store.faults.down = True
    first = fleet.machines[0]
    started = time.monotonic()
    assert first.server.send_heartbeat(first.control) == 200
    assert time.monotonic() - started < 1
    assert first.send('/docs/1', 'a-1')[0].status == 200


def test_node_restarted_without_the_store_learns_from_others(fleet):
    """Guards against a restarted node that waits for the store to return.

    It receives records and configuration from the other nodes.
    """
    first = fleet.machines[0]
    fleet.store.faults.down = True
    first.process.kill()
    first.process.wait()
    first.start()
    wait_until(first.is_ready, 6)
    wait_until(lambda: first.send('/docs/1', 'a-1')[0].status == 200, 4)


def test_write_with_a_lost_answer_is_settled(fleet):
    fleet.store.faults.lose_answers = 0.7
    first = fleet.machines[0]
    first.server.draining = True
    first.server.send_heartbeat(first.control)
    key = first.address(1)
    wait_until(
        lambda: b'draining' in (fleet.store.read_value('members', key) or b'')
    )


def test_stop_finishes_what_runs(fleet):
    """Guards against requests that a planned stop leaves unanswered."""
    second = fleet.machines[1]
    for machine in fleet.machines:
        machine.server.work_seconds = 1.0
    second.process.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    assert second.get(2, '/api/ready')[0] == 503
    response, _ = second.send('/book/1', 'a-1', 'POST', b'x')
    assert response.status == 200
    assert response.headers['Connection'] == 'close'
    assert second.process.wait(6) == 0


def test_metrics_are_served_as_text(fleet):
    fleet.machines[0].send('/browse/1', 'a-1')
    _, text = fleet.machines[0].get(4, '/metrics')
    assert b'godwitknot_requests_total' in text
    assert b'godwitknot_request_seconds_bucket' in text


def test_failed_request_is_in_the_log(fleet):
    fleet.machines[0].send('/nothing/', 'a-404')
    wait_until(
        lambda: any(
            event.get('request') == 'a-404'
            for event in fleet.machines[0].events()
        )
    )
