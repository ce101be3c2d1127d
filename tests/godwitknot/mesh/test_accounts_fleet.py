"""Node processes check keys and name the account to servers."""

import contextlib
import socket
import time
from http.client import HTTPConnection

import pytest

from bench.meshfleet import HOST, make_route, wait_until
from godwitknot.units import parse_address
from standins.faultylink import FaultyLink
from standins.ports import reserve_addresses

KEY = 'secret-of-fjord'
NAME = 'Godwitknot-Tenant'
REVOKE_SECONDS = 5
STRICT_MS = 2000
# The delay before a configuration is fetched from a peer, and the transfer.
FETCH_SECONDS = 1.5
ACCOUNTS = {
    'fjord': {'api_keys': [KEY], 'priority': 0},
    'skerry': {'api_keys': ['secret-of-skerry']},
}
OPEN_ROUTE = {
    **make_route('/open/', 'idempotent', 'documents'),
    'no_auth': True,
}


@pytest.fixture
def secured(fleet):
    """A fleet in which the new configuration is in force everywhere."""
    fleet.configure(5, ACCOUNTS, open=OPEN_ROUTE)
    wait_until(
        lambda: all(
            machine.send('/browse/1', 'probe')[0].status == 401
            for machine in fleet.machines
        )
    )
    return fleet


def send_with_key(machine):
    return machine.send('/browse/1', 'a', fields={'Api-Key': KEY})[0].status


def send(machine, path, key, attempt_id='a'):
    fields = {'Api-Key': key}
    return machine.send(path, attempt_id, fields=fields)[0].status


def find_runs(fleet, attempt_id):
    return [
        run
        for machine in fleet.machines
        for run in machine.server.runs
        if run.attempt_id == attempt_id
    ]


def find_fields(fleet, attempt_id):
    """Return the header fields with which a request reached its server."""
    runs = find_runs(fleet, attempt_id)
    assert len(runs) == 1
    return runs[0].fields


@pytest.mark.parametrize(
    ('path', 'sent', 'status', 'account'),
    [
        ('/docs/1', {}, 401, None),
        ('/docs/1', {'Api-Key': 'unknown'}, 401, None),
        ('/docs/1', {'Api-Key': KEY}, 200, ['fjord']),
        ('/docs/1', {'Api-Key': KEY, NAME: 'skerry'}, 200, ['fjord']),
        ('/open/1', {}, 200, []),
        ('/open/1', {NAME: 'skerry'}, 200, []),
        ('/open/1', {'Api-Key': 'unknown', NAME: 'skerry'}, 200, []),
        ('/open/1', {'Api-Key': KEY}, 200, ['fjord']),
    ],
)
def test_server_gets_the_account_and_never_the_key(
    secured, path, sent, status, account
):
    """Guards against open routes, forged accounts and keys that leak.

    The requests are offered to the server of another node.
    """
    response, _ = secured.machines[0].send(path, 'a-1', fields=sent)
    assert response.status == status
    if account is not None:
        fields = find_fields(secured, 'a-1')
        assert [text for name, text in fields if name == NAME] == account
        assert 'api-key' not in {name.lower() for name, _ in fields}
    for machine in secured.machines:
        log = (secured.folder / f'{machine.name}.log').read_text()
        assert KEY not in log
        assert KEY.encode() not in machine.get(4, '/metrics')[1]


def test_revoked_key_stays_revoked_beside_an_old_row(secured):
    """Guards against a restarted node that trusts a restored store."""
    first = secured.machines[0]
    time.sleep(0.1)
    moment = time.monotonic()
    time.sleep(0.1)
    secured.configure(6, {'skerry': ACCOUNTS['skerry']}, open=OPEN_ROUTE)
    wait_until(lambda: send_with_key(first) == 401, REVOKE_SECONDS)
    secured.store.restore(time.monotonic() - moment)
    first.process.kill()
    first.process.wait()
    first.start()
    statuses = set()
    end = time.monotonic() + REVOKE_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            statuses.add(send_with_key(first))
    wait_until(first.is_ready)
    assert send_with_key(first) == 401
    assert statuses <= {401, 503}


def restart_behind_link(fleet, machine):
    """Restart a node; return the link between it and the store."""
    target = parse_address(fleet.store_address)
    link = FaultyLink(reserve_addresses(1)[0], target)
    link.start()
    machine.process.kill()
    machine.process.wait()
    fleet.store_address = str(link.address)
    machine.start()
    wait_until(machine.is_ready)
    return link


def test_strict_node_cut_from_the_store_needs_other_nodes(secured):
    """Guards against refusals in touch with others, and keys without them."""
    secured.bounds = 'strict_revoke=true', f'revoke_ms={STRICT_MS}'
    cut = secured.machines[0]
    link = restart_behind_link(secured, cut)
    wait_until(lambda: send_with_key(cut) == 200)
    link.cut_backward = True
    link.reset_open_connections()
    wait_until(lambda: 'store lost' in {each['event'] for each in cut.events()})
    end = time.monotonic() + 2 * STRICT_MS / 1000
    while time.monotonic() < end:
        assert send_with_key(cut) == 200
    for machine in secured.machines[1:]:
        machine.process.kill()
    wait_until(lambda: send_with_key(cut) == 503)
    wait_until(
        lambda: (
            'out of touch with store and nodes'
            in {each.get('detail') for each in cut.events()}
        )
    )
    assert send_with_key(cut) == 503


def test_one_of_two_keys_ends_at_a_node_cut_from_the_store(secured):
    """Guards against a key that works through a node that missed its end.

    The valid key of the account is served meanwhile, after a wait.
    """
    keys = [KEY, 'second']
    secured.configure(6, {'fjord': {'api_keys': keys}}, open=OPEN_ROUTE)
    cut = secured.machines[0]
    link = restart_behind_link(secured, cut)
    wait_until(
        lambda: {send(cut, '/docs/1', key, 'first') for key in keys} == {200}
    )
    link.cut_backward = True
    secured.configure(7, {'fjord': {'api_keys': keys[1:]}}, open=OPEN_ROUTE)
    wait_until(lambda: send(secured.machines[2], '/docs/1', KEY) == 401)
    sent_at = time.monotonic()
    statuses = [send(cut, '/docs/1', key, 'cut') for key in reversed(keys)]
    assert statuses == [200, 401]
    assert time.monotonic() - sent_at < FETCH_SECONDS
    assert len(find_runs(secured, 'cut')) == 1


def test_malformed_field_with_a_key_is_not_logged(secured):
    """Guards against parser errors that quote the key in log and answer."""
    entry = secured.machines[0]
    host, _, port = entry.address(0).partition(':')
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(
            f'GET / HTTP/1.1\r\nHost: h\r\nApi-Key: {KEY}\x00\r\n\r\n'.encode()
        )
        response = connection.recv(65536)
    assert response.startswith(b'HTTP/1.1 400')
    assert KEY.encode() not in response
    wait_until(
        lambda: 'request rejected' in {each['event'] for each in entry.events()}
    )
    assert KEY not in (secured.folder / f'{entry.name}.log').read_text()


def test_new_and_revoked_keys_on_a_connection_that_stays_open(secured):
    """Guards against connections that keep the account of their first key."""
    entry = secured.machines[0]
    connection = HTTPConnection(entry.address(0), timeout=5)
    connection.connect()
    opened = connection.sock

    def send(key):
        head = {'Host': HOST, 'Godwitknot-Attempt-Id': 'a', 'Api-Key': key}
        connection.request('GET', '/browse/1', headers=head)
        response = connection.getresponse()
        response.read()
        return response.status

    assert (send(KEY), send('newer')) == (200, 401)
    secured.configure(6, {'fjord': {'api_keys': ['newer']}})
    wait_until(lambda: send(KEY) == 401, REVOKE_SECONDS)
    assert send('newer') == 200
    assert connection.sock is opened
    connection.close()
