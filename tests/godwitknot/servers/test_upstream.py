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
