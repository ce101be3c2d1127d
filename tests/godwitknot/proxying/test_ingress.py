import json

import pytest
import urllib3
from tests.dataplane import exchange_bytes, running_plane

from godwitknot.proxying.peerlink import PeerLink
from godwitknot.web import headers, relayprotocol
from godwitknot.web.relay import BufferedBody


@pytest.fixture(scope='module')
def plane():
    with running_plane() as running:
        yield running


@pytest.fixture
def http():
    return urllib3.PoolManager(retries=False)


def test_request_crosses_ingress_and_sidecar(plane, http):
    response = http.request('POST', f'{plane.url}/x?a=1&b=%20', body=b'hello')
    echo = json.loads(response.data)
    assert response.status == 200
    assert (echo['body'], echo['query']) == ('hello', 'a=1&b=%20')
    assert response.headers['X-Godwitknot-Outcome'] == 'ran'
    assert response.headers['X-Request-Id'] == echo['request']


def test_unknown_route_is_refused_as_not_run(plane, http):
    response = http.request('DELETE', f'{plane.url}/x')
    assert response.status == 404
    assert response.json()['outcome'] == 'not-run'
    assert response.json()['code'] == 'no-class'


def test_never_repeat_without_key_is_refused(plane, http):
    """Guards against bookings whose resends cannot be recognized."""
    response = http.request('POST', f'{plane.url}/reservations', body=b'x')
    assert response.status == 428
    assert response.json()['code'] == 'idempotency-key-required'


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 5\r\nContent-Length: 6\r\n',
        b'Content-Length: 5\r\nContent-Length: 5\r\n',
        b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
        b'Content-Length: +5\r\n',
        b'Content-Length: 5_0\r\n',
        b'Content-Length : 5\r\n',
        b'Transfer-Encoding: chunked, identity\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n',
    ],
)
def test_ambiguous_framing_is_refused(plane, framing):
    """Guards against request smuggling between ingress and sidecar."""
    payload = b'POST /x HTTP/1.1\r\nHost: a\r\n%b\r\nhello' % framing
    response = exchange_bytes(plane.ingress_address, payload)
    assert response.startswith(b'HTTP/1.1 400')
    assert response.count(b'HTTP/1.1') == 1


def test_too_large_header_is_refused(plane):
    payload = b'GET /x HTTP/1.1\r\nHost: a\r\nX-Big: %b\r\n\r\n'
    response = exchange_bytes(plane.ingress_address, payload % (b'a' * 20000))
    assert b' 413 ' in response.split(b'\r\n')[0]


def test_own_and_hop_by_hop_headers_of_a_caller_are_stripped(plane, http):
    """Guards against callers that impersonate a node of the fleet."""
    response = http.request(
        'GET',
        f'{plane.url}/x',
        headers={
            'X-Godwitknot-Account': 'other',
            'X-Godwitknot-Last-Resort': 'yes',
            'Connection': 'X-Secret',
            'X-Secret': 'hop',
            'TE': 'trailers',
        },
    )
    assert response.status == 200


def test_caller_deadline_shortens_the_timeout(plane, http):
    response = http.request(
        'GET', f'{plane.url}/x', headers={'X-Deadline-Ms': '0'}
    )
    assert response.status == 504
    assert response.json()['outcome'] == 'not-run'


def test_peer_port_refuses_requests_without_a_fleet_key(plane, http):
    """Guards against callers that bypass the ingress."""
    address = plane.balancer.targets[0].address
    before = len(plane.fake('s1').executions)
    response = http.request('GET', f'http://{address}/x')
    assert response.status == 403
    assert len(plane.fake('s1').executions) == before


def test_health_and_ready(plane, http):
    for name in ('health', 'ready'):
        response = http.request('GET', f'{plane.url}/.godwitknot/{name}')
        assert response.status == 200


def test_peer_call_with_another_body_is_refused(plane, http):
    """Guards against handed-over records that were altered in transit."""
    calls = []
    plane.peer_app.add_handler('note', lambda *call: calls.append(call))
    link = PeerLink(plane.keys, plane.clock, plane.metrics)
    address = plane.balancer.targets[-1].address
    link.call(address, 'note', {'a': 1})
    digest = BufferedBody(b'{"a": 1}').digest
    fields = {headers.BODY_DIGEST: digest}
    mac = relayprotocol.sign_fields(
        plane.keys, 'POST', '/.godwitknot/note', fields
    )
    response = http.request(
        'POST',
        f'http://{address}/.godwitknot/note',
        body=b'{"a": 2}',
        headers={**fields, headers.MAC: mac},
    )
    assert response.status == 403
    assert calls == [('POST', b'{"a": 1}')]
