import json

import pytest
import urllib3
from fake_node import TEXT, TOKEN, FakeFleet, serve

from godwitknot.errors import LostAnswerError, StoreDownError


@pytest.fixture(scope='module')
def port_and_fleet():
    fleet = FakeFleet()
    with serve(fleet) as port:
        yield port, fleet


@pytest.fixture
def call(port_and_fleet):
    port, fleet = port_and_fleet
    fleet.configuration_manager = fleet.make_configuration_manager()
    fleet.tables.rows.clear()
    pool = urllib3.PoolManager(retries=False)

    def send(method, path, body=None, token=TOKEN, operator='mies'):
        response = pool.request(
            method,
            f'http://127.0.0.1:{port}{path}',
            json=body,
            headers={
                'Authorization': f'Bearer {token}',
                'X-Operator': operator,
            },
        )
        parsed = json.loads(response.data)
        return response.status, parsed.get('error', {}).get('code'), parsed

    send.fleet = fleet
    return send


def apply_body(expected=0, apply_id='a', text=TEXT):
    return {'text': text, 'expected_version': expected, 'apply_id': apply_id}


@pytest.mark.parametrize('token', ['', 'a-token-of-the-test', f'{TOKEN}x'])
def test_wrong_token_is_refused_before_anything_is_read(call, token):
    """Guards against changes by a client without the token."""
    body = apply_body()
    assert call('POST', '/apply', body, token)[:2] == (401, 'unauthorized')
    assert call('GET', '/status', None, token)[:2] == (401, 'unauthorized')
    assert call.fleet.configuration_manager.version == 0


def test_each_change_is_logged_with_its_author(call, caplog):
    """Guards against changes whose author cannot be found in the log."""
    caplog.set_level('INFO', 'absl')
    call('POST', '/apply', apply_body(), operator='jan')
    call('POST', '/apply', apply_body(apply_id='b'), operator='mies')
    logged = [
        (record.getMessage(), record.fields['operator'])
        for record in caplog.records
        if 'operator' in record.fields
    ]
    assert logged == [
        ('operator change', 'jan'),
        ('operator change failed', 'mies'),
    ]
    assert TOKEN not in str([record.fields for record in caplog.records])


def test_typed_errors_have_codes(call):
    """Guards against errors that clients can only tell apart by the text."""
    send = call
    broken = apply_body(text='[service x]\nfloor = many')
    assert send('POST', '/apply', broken)[:2] == (422, 'invalid-declaration')
    assert send('POST', '/apply', apply_body(4))[:2] == (409, 'conflict')
    anonymous = send('POST', '/apply', apply_body(), operator='')
    assert anonymous[:2] == (400, 'operator-required')
    assert send('POST', '/apply', {'text': 1})[:2] == (400, 'bad-request')
    assert send('POST', '/apply', [1])[:2] == (400, 'bad-request')
    assert send('GET', '/apply')[:2] == (405, 'bad-request')
    assert send('GET', '/nothing')[:2] == (404, 'not-found')
    assert send('GET', '/report')[:2] == (403, 'refused')
    assert send('GET', '/confirmation?version=x')[:2] == (400, 'bad-request')
    odd = send('GET', '/confirmation?version=%C2%B2')
    assert odd[:2] == (400, 'bad-request')
    send.fleet.tables.down = True
    assert send('POST', '/apply', apply_body())[:2] == (503, 'store-down')
    send.fleet.tables.down = False
    send.fleet.failures = [LostAnswerError('lost')]
    assert send('POST', '/apply', apply_body())[:2] == (503, 'answer-lost')


def test_unexpected_error_shows_no_details(call):
    """Guards against tracebacks and secrets in responses."""
    call.fleet.failures = [RuntimeError('secret')]
    status, code, parsed = call('POST', '/apply', apply_body())
    assert (status, code) == (500, 'internal')
    assert 'secret' not in str(parsed)


def test_too_large_body_is_refused(port_and_fleet):
    """Guards against unbounded memory use by one request."""
    port, _ = port_and_fleet
    response = urllib3.request(
        'POST',
        f'http://127.0.0.1:{port}/plan',
        headers={
            'Authorization': f'Bearer {TOKEN}',
            'Content-Length': str(9 * 2**20),
        },
        retries=False,
    )
    assert response.status == 413


def test_conflict_names_the_change(call):
    call('POST', '/apply', apply_body())
    other = TEXT.replace('99%', '98%')
    call('POST', '/apply', apply_body(1, 'b', other), operator='jan')
    status, code, parsed = call('POST', '/apply', apply_body(1, 'c'))
    assert (status, code) == (409, 'conflict')
    assert parsed['error']['version'] == 2
    assert parsed['error']['changes'] == [
        '~ [class slot-booking] success: 99% -> 98%'
    ]


def test_store_error_is_not_shown_as_success(call):
    call.fleet.failures = [StoreDownError('down')]
    assert call('POST', '/apply', apply_body())[:2] == (503, 'store-down')
