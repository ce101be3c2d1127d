"""Responses of a server that ends them early never look complete."""

import pytest

from godwitknot.clock import SystemClock
from godwitknot.declarations.settings import ServerSection
from godwitknot.errors import ProtocolError
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.servers.runresults import RunEnd
from godwitknot.servers.upstream import UpstreamServer
from godwitknot.web.relay import BufferedBody, ClassTag, RelayRequest
from standins.rawserver import RawServer
from tests.cutresponses import CUT_RESPONSES, WHOLE
from tests.dataplane import ResultCollector

TIMEOUT_SECONDS = 5


@pytest.fixture
def results():
    return []


@pytest.fixture
def start(results):
    """Start a server that sends the given responses on its connections."""
    servers = []

    def start_server(*script):
        server = RawServer(*script)
        servers.append(server)
        section = ServerSection('s1', 'shop', server.address, 2)
        observer = ResultCollector(results)
        return server, UpstreamServer(section, SystemClock(), observer)

    yield start_server
    for server in servers:
        server.stop()


def run(upstream, request_id='r1', *, never_repeat=False):
    """Return the body of the response, read to its end."""
    request = RelayRequest(
        method='POST' if never_repeat else 'GET',
        target='/x',
        headers=[],
        body=BufferedBody(),
        attempt_id=request_id,
        request_id=request_id,
        tag=ClassTag('browse', never_repeat, 1, 'equal'),
        service='shop',
        server='s1',
        incarnation=1,
        account='',
        deadline=SystemClock().now() + TIMEOUT_SECONDS,
    )
    response = upstream.run(request, None, lambda: None)
    return b''.join(response.chunks)


@pytest.mark.parametrize('never_repeat', [True, False])
@pytest.mark.parametrize('cut', CUT_RESPONSES)
def test_response_cut_on_a_new_connection_is_no_success(
    start, results, cut, never_repeat
):
    """Guards against an empty or short body that looks complete."""
    server, upstream = start([cut])
    with pytest.raises((RefusalError, ProtocolError)) as caught:
        run(upstream, never_repeat=never_repeat)
    if isinstance(caught.value, RefusalError):
        assert caught.value.outcome is Outcome.MAY_HAVE_RUN
    assert [result.failed for result in results] == [True]
    assert server.requests == 1


@pytest.mark.parametrize('cut', CUT_RESPONSES)
def test_response_cut_on_a_kept_connection_is_no_success(start, results, cut):
    """Guards against an empty or short body that looks complete.

    The request is not sent again, since the server has begun to answer it.
    """
    server, upstream = start([WHOLE, cut])
    assert run(upstream) == b'whole'
    with pytest.raises((RefusalError, ProtocolError)):
        run(upstream)
    assert [result.failed for result in results] == [False, True]
    assert (server.connections, server.requests) == (1, 2)


@pytest.mark.parametrize('size', [1, 12, 20])
def test_response_that_ends_within_its_head_may_have_run(start, results, size):
    """Guards against a lost connection that is reported as anything else."""
    _, upstream = start([WHOLE[:size]])
    with pytest.raises(RefusalError) as caught:
        run(upstream, never_repeat=True)
    assert caught.value.code is Code.CONNECTION_LOST
    assert results[0].end is RunEnd.LOST


def test_connection_closed_before_the_response_is_replaced(start, results):
    """Guards against failures of requests on connections that were dropped."""
    server, upstream = start([WHOLE, b''], [WHOLE])
    assert run(upstream) == run(upstream) == b'whole'
    assert server.connections == 2


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 204 No Content\r\n\r\n',
        b'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
    ],
    ids=['204', '304', 'no bytes', 'to close'],
)
def test_complete_response_may_be_empty(start, results, head):
    """Guards against taking a response without a body for a truncated one."""
    _, upstream = start([head])
    assert run(upstream) == b''
    assert not results[0].failed


NOT_RUN = (Code.SERVER_SHED, Outcome.NOT_RUN)
UNKNOWN = (Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN)


def respond(request_id='', status='200 OK', body=b'own', shed=False):
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    if request_id:
        lines.append(f'X-Request-Id: {request_id}')
    if shed:
        lines.append('X-Not-Run: true')
    return '\r\n'.join((*lines, '', '')).encode() + body


def shed(request_id=''):
    return respond(request_id, '503 Busy', b'', shed=True)


def run_all(upstream, *request_ids, never_repeat=False):
    """Run requests in turn; return bodies, or codes and outcomes."""
    answers = []
    for request_id in request_ids:
        try:
            answers.append(run(upstream, request_id, never_repeat=never_repeat))
        except RefusalError as refusal:
            answers.append((refusal.code, refusal.outcome))
    return answers


@pytest.mark.parametrize(
    'first', [respond('r1'), respond()], ids=['after id', 'after no id']
)
def test_earlier_refusal_on_a_kept_connection_is_no_proof(start, first):
    """Guards against "not run" from a refusal with the id of another."""
    server, upstream = start(
        [first, shed('r1') + respond('r2', body=b'late')], [respond('r3')]
    )
    answers = run_all(upstream, 'r1', 'r2', 'r3')
    assert answers == [b'own', UNKNOWN, b'own']
    # The connection is not used again.
    assert server.connections == 2


def test_request_that_must_not_be_repeated_uses_a_new_connection(start):
    """Guards against "not run" from a refusal without an id, sent again."""
    server, upstream = start(
        [respond(), shed() + respond(body=b'late')], [respond()]
    )
    answers = [
        *run_all(upstream, 'r1'),
        *run_all(upstream, 'r2', never_repeat=True),
    ]
    assert answers == [b'own', b'own']
    assert (server.connections, server.requests) == (2, 2)


def test_refusal_of_another_request_is_no_proof(start):
    """Guards against "not run" where a new connection gets another answer."""
    _, upstream = start([shed('r0')])
    assert run_all(upstream, 'r1', never_repeat=True) == [UNKNOWN]


def test_success_without_the_id_after_one_with_it_is_not_delivered(start):
    """Guards against the answer to an earlier request."""
    server, upstream = start(
        [
            respond('r1'),
            respond('', '500 Failed', b'own'),
            respond(body=b'other') + respond('r3'),
        ],
        [respond('r4')],
    )
    answers = run_all(upstream, 'r1', 'r2', 'r3', 'r4')
    assert answers == [b'own', b'own', UNKNOWN, b'own']
    assert server.connections == 2


def test_server_that_echoes_no_id_keeps_its_connection(start):
    """Guards against new connections for each request to such a server."""
    server, upstream = start([respond(), respond(), respond()])
    assert run_all(upstream, 'r1', 'r2', 'r3') == [b'own', b'own', b'own']
    assert server.connections == 1


def test_refused_request_comes_back_on_a_new_connection(start):
    """Guards against a second copy of the refusal on the same connection."""
    server, upstream = start(
        [respond('r1'), shed('r2'), shed('r2')], [respond('r2')]
    )
    answers = run_all(upstream, 'r1', 'r2', 'r2')
    assert answers == [b'own', NOT_RUN, b'own']
    assert server.connections == 2
