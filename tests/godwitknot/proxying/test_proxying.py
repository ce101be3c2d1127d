"""Proxying over real sockets: framing, streaming, cancellation, lost hops."""

import contextlib
import json
import pathlib
import re
import socket
import threading
import time
import types

import pytest
import urllib3

from godwitknot.clock import SystemClock
from godwitknot.control.messages import CrashReport
from godwitknot.health.crashes import CrashTracker
from godwitknot.metrics import Metrics
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.proxying.attempts import AttemptState
from godwitknot.servers.crashreporting import GossipCrashReporter
from godwitknot.servers.supervisor import Supervisor, fingerprint_request
from godwitknot.web.relay import BufferedBody, ClassTag, RelayRequest
from standins.faults import Faults
from standins.faultylink import FaultyLink
from tests.dataplane import exchange_bytes, free_address, running_plane

MEGABYTE = 1048576
RESPONSES = {
    'redirect': b'HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n',
    'encoded': (
        b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 6\r\n'
    ),
    'early': (
        b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
    ),
    'empty': b'HTTP/1.1 204 No Content\r\n',
    'unchanged': b'HTTP/1.1 304 Not Modified\r\nETag: "e"\r\n',
    'short': b'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n',
    'endless': b'HTTP/1.1 200 OK\r\nConnection: close\r\n',
}
BODIES = {
    'encoded': b'\x1f\x8bnot!',
    'early': b'after',
    'short': b'12345',
    'endless': b'a' * 2 * MEGABYTE,
}


class RawServer:
    """A backend server that answers each path with fixed bytes."""

    def __init__(self):
        self.heads = []
        self.connections = 0
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock):
        with sock, sock.makefile('rb') as reader:
            keep_open = True
            while keep_open:
                keep_open = self._respond(sock, reader)

    def _respond(self, sock, reader):
        lines = list(iter(reader.readline, b'\r\n'))
        if b'' in lines or not lines:
            return False
        self.heads.append(b''.join(lines))
        name = lines[0].split()[1].decode().strip('/')
        if name == 'drop':
            return False
        sock.sendall(b'%b\r\n%b' % (RESPONSES[name], BODIES.get(name, b'')))
        return name not in {'short', 'endless'}


@pytest.fixture
def raw():
    server = RawServer()
    yield server
    server.close()


@pytest.fixture
def raw_plane(raw):
    def redirect_to_raw(address):
        return type(address)('127.0.0.1', raw.port)

    with running_plane(names=('s1',), via=redirect_to_raw) as plane:
        yield plane


@pytest.fixture
def http():
    return urllib3.PoolManager(retries=False)


def send_request(plane, path, version='1.1', method='GET'):
    request = f'{method} {path} HTTP/{version}\r\nHost: a\r\n'
    payload = f'{request}Connection: close\r\n\r\n'.encode()
    head, _, body = exchange_bytes(plane.ingress_address, payload).partition(
        b'\r\n\r\n'
    )
    return head, body


def wait_until(condition):
    """Wait for a condition; only the timeout of the test run limits it."""
    while not condition():
        threading.Event().wait(0.01)


def test_redirect_is_passed_on_not_followed(raw, raw_plane):
    head, _ = send_request(raw_plane, '/redirect')
    assert head.startswith(b'HTTP/1.1 302')
    assert b'Location: /y' in head
    assert len(raw.heads) == 1


def test_encoded_body_is_passed_on_unchanged(raw_plane):
    """Guards against decoding a body whose headers describe the encoded one."""
    head, body = send_request(raw_plane, '/encoded')
    assert b'Content-Encoding: gzip' in head
    assert body == BODIES['encoded']


def test_early_hints_are_not_taken_for_the_answer(raw_plane):
    head, body = send_request(raw_plane, '/early')
    assert head.startswith(b'HTTP/1.1 200')
    assert body == BODIES['early']


@pytest.mark.parametrize('path', ['/empty', '/unchanged'])
def test_answer_without_body_leaves_the_connection_usable(
    raw, raw_plane, http, path
):
    """Guards against waiting for a body that never comes."""
    for _ in range(2):
        response = http.request('GET', f'{raw_plane.url}{path}', timeout=30)
        assert response.status in {204, 304}
        assert response.data == b''
    assert raw.connections == 1


def test_head_has_the_length_and_no_body(http):
    with running_plane(names=('s1',)) as plane:
        head, body = send_request(plane, '/blob/70000', method='HEAD')
        assert head.startswith(b'HTTP/1.1 200')
        assert b'Content-Length: 70000' in head
        assert body == b''


def test_short_body_is_no_complete_answer(raw_plane, http):
    with pytest.raises(urllib3.exceptions.HTTPError):
        http.request('GET', f'{raw_plane.url}/short', timeout=30)


def test_long_answer_without_length_is_refused_for_http10(raw_plane):
    """Guards against a cut that an HTTP/1.0 caller cannot see."""
    head, _ = send_request(raw_plane, '/endless', version='1.0')
    assert b' 505 ' in head.split(b'\r\n')[0]
    assert b'length-required-for-http10' in head


def test_dropped_request_is_not_sent_again(raw, raw_plane, http):
    """Guards against an HTTP library that retries requests by itself."""
    response = http.request('POST', f'{raw_plane.url}/drop', body=b'x')
    assert response.json()['outcome'] == 'may-have-run'
    assert len(raw.heads) == 1


def test_time_left_and_request_id_reach_the_server(raw, raw_plane):
    payload = (
        b'GET /early HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-7\r\n'
        b'X-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n'
    )
    response = exchange_bytes(raw_plane.ingress_address, payload)
    forwarded_head = raw.heads[0].decode()
    time_left = int(re.search(r'X-Deadline-Ms: (\d+)', forwarded_head)[1])
    assert 0 < time_left <= 4000
    assert 'X-Request-Id: id-7' in forwarded_head
    assert b'X-Request-Id: id-7' in response


def test_connection_with_an_unread_answer_is_not_reused(http):
    """Guards against the rest of one response being read as the next one."""
    with running_plane(names=('s1',)) as plane:
        with socket.create_connection(plane.ingress_address.pair) as sock:
            sock.sendall(b'GET /blob/20000000 HTTP/1.1\r\nHost: a\r\n\r\n')
            assert sock.recv(12) == b'HTTP/1.1 200'
        wait_until(lambda: not plane.upstreams['s1'].count_active())
        response = http.request('POST', f'{plane.url}/x', body=b'own')
        assert response.json()['body'] == 'own'


def test_late_answer_reaches_nobody(http):
    """Guards against a late response being read as that of the next request."""
    with running_plane(names=('s1',)) as plane:
        plane.fake('s1').faults = Faults(hang=True)
        late = http.request(
            'POST',
            f'{plane.url}/x',
            body=b'late',
            headers={'X-Deadline-Ms': '200'},
        )
        assert late.json()['code'] == 'deadline-passed'
        assert late.json()['outcome'] == 'may-have-run'
        plane.fake('s1').faults = Faults()
        response = http.request('POST', f'{plane.url}/x', body=b'next')
        assert response.json()['body'] == 'next'


@pytest.mark.parametrize('chunked', [False, True])
def test_body_over_the_limit_is_refused(http, chunked):
    body = bytes(11 * MEGABYTE)
    with running_plane(names=('s1',)) as plane:
        sent_body = iter([body]) if chunked else body
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            response = http.request('POST', f'{plane.url}/x', body=sent_body)
            assert response.status in {400, 413}
        assert not plane.fake('s1').executions


def test_queued_request_of_a_caller_that_left_does_not_run(http):
    with running_plane(names=('s1',)) as plane:
        plane.start_housekeeping()
        plane.fake('s1').faults = Faults(hang=True)
        payload = b'GET /%b HTTP/1.1\r\nHost: a\r\n\r\n'
        socks = []
        limiter = plane.upstreams['s1'].limiter
        for name in (b'1', b'2', b'3', b'4'):
            sock = socket.create_connection(plane.ingress_address.pair)
            sock.sendall(payload % name)
            socks.append(sock)
        # The last request is sent once all slots are in use.
        wait_until(lambda: limiter.load().running == 4)
        sock = socket.create_connection(plane.ingress_address.pair)
        sock.sendall(payload % b'queued')
        socks.append(sock)
        wait_until(lambda: limiter.load().queued == 1)
        socks[-1].close()
        wait_until(lambda: limiter.load().queued == 0)
        plane.fake('s1').faults = Faults()
        for sock in socks[:-1]:
            assert sock.recv(12) == b'HTTP/1.1 200'
        paths = {run.path for run in plane.fake('s1').executions}
        assert '/queued' not in paths


def test_wrong_incarnation_is_refused_as_not_run(http):
    """Guards against running a request meant for an earlier process."""
    with running_plane(names=('s1',)) as plane:
        plane.sidecar._incarnation = 2
        response = http.request('GET', f'{plane.url}/x')
        assert response.json()['code'] == 'wrong-incarnation'
        assert response.json()['outcome'] == 'not-run'
        assert not plane.fake('s1').executions


@pytest.mark.parametrize('cut', ['forward', 'backward', 'silent'])
def test_lost_hop_is_settled_by_an_inquiry(http, cut):
    """Guards against a wrong outcome for a request whose hop was lost."""
    with running_plane(names=('s1',)) as plane:
        target = plane.balancer.targets[0]
        link = FaultyLink(free_address(), target.address)
        link.start()
        plane.balancer.targets = [
            type(target)(
                **{
                    name: getattr(target, name)
                    for name in target.__slots__
                    if name not in {'address', '__weakref__'}
                },
                address=link.address,
            )
        ]
        body = json.dumps({'cut': cut})
        assert http.request('POST', f'{plane.url}/x', body=body).status == 200
        if cut == 'silent':
            link.blackhole_open_connections()
        else:
            setattr(link, f'cut_{cut}', True)
        response = http.request('POST', f'{plane.url}/x', body=body, timeout=30)
        outcome = response.headers['X-Godwitknot-Outcome']
        runs = len(plane.fake('s1').executions) - 1
        expected = {
            'forward': ('may-have-run', 0),
            'backward': ('may-have-run', 1),
            'silent': ('not-run', 0),
        }
        assert (outcome, runs) == expected[cut]


def read_resident_bytes():
    status = pathlib.Path('/proc/self/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+)', status)[1]) * 1024


def test_download_to_a_slow_reader_keeps_memory_flat():
    """Guards against buffering a whole response for a slow reader.

    Fake server, ingress and sidecar share this process, so the bound holds
    for all three together.
    """
    size = 200 * MEGABYTE
    with running_plane(names=('s1',)) as plane:
        resident_before = read_resident_bytes()
        with socket.create_connection(plane.ingress_address.pair) as sock:
            sock.sendall(b'GET /blob/%d HTTP/1.1\r\nHost: a\r\n\r\n' % size)
            received = 0
            max_resident = 0
            while received < size:
                received += len(sock.recv(4 * MEGABYTE))
                max_resident = max(max_resident, read_resident_bytes())
        assert max_resident - resident_before < 64 * MEGABYTE


def test_ingress_holds_400_connections():
    """Guards against idle connections that are dropped or occupy threads."""
    payload = b'GET /.godwitknot/health HTTP/1.1\r\nHost: a\r\n\r\n'
    with running_plane(names=('s1',)) as plane, contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(
                socket.create_connection(plane.ingress_address.pair, timeout=60)
            )
            for _ in range(400)
        ]
        for _ in range(2):
            for sock in socks:
                sock.sendall(payload)
            for sock in socks:
                assert sock.recv(4096).startswith(b'HTTP/1.1 200')


def test_slow_readers_do_not_use_up_the_connections_of_a_server(monkeypatch):
    """Guards against more open connections than a server accepts."""
    monkeypatch.setattr('godwitknot.servers.upstream._MAX_STREAMING_BODIES', 5)
    payload = b'GET /blob/200000000 HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 2000\r\n\r\n'
    with running_plane(names=('s1',)) as plane, contextlib.ExitStack() as stack:
        plane.start_housekeeping()
        for _ in range(12):
            sock = stack.enter_context(
                socket.create_connection(plane.ingress_address.pair)
            )
            sock.sendall(payload)
        wait_until(lambda: len(plane.ended) == 12)
        # The limit, plus the slots that were in use when it was reached.
        assert len(plane.upstreams['s1'].running()) <= 5 + 4


def make_request(target='/x', attempt_id='a1'):
    return RelayRequest(
        method='GET',
        target=target,
        headers=[],
        body=BufferedBody(),
        attempt_id=attempt_id,
        request_id='r1',
        tag=ClassTag('browse', never_repeat=False, priority=5, weigh='time'),
        service='shop',
        server='s1',
        incarnation=1,
        account='',
        deadline=time.monotonic() + 60,
    )


def test_attempt_that_was_settled_as_not_run_never_runs():
    """Guards against a paused sidecar that reads an old request on resuming."""
    with running_plane(names=('s1',)) as plane:
        assert plane.sidecar.resolve_attempt('1/a1') is AttemptState.NOT_RUN
        with pytest.raises(RefusalError):
            plane.sidecar.relay(make_request(), None)
        assert not plane.fake('s1').executions


def test_query_of_death_is_refused_and_a_bystander_is_not():
    clock = SystemClock()
    metrics = Metrics()
    tracker = CrashTracker(clock)
    supervisor = Supervisor(
        'n1',
        health=types.SimpleNamespace(accepts=lambda **_: True),
        policy=None,
        siblings=None,
        crash_reporter=GossipCrashReporter(tracker, metrics),
        probe=None,
        clock=clock,
        metrics=metrics,
    )
    fatal = make_request('/fatal')
    bystander = make_request('/bystander')
    prints = tuple(fingerprint_request(each) for each in (fatal, bystander))
    tracker.record_crash(CrashReport('shop', 'n1', 's1', 1, prints))
    tracker.record_success('shop', prints[1])
    tracker.record_crash(CrashReport('shop', 'n2', 's2', 1, prints))
    supervisor.admit(bystander)
    with pytest.raises(RefusalError) as caught:
        supervisor.admit(fatal)
    assert caught.value.code is Code.QUERY_OF_DEATH
    assert caught.value.outcome is Outcome.NOT_RUN
