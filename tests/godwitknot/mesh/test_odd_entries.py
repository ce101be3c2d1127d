"""Node processes keep serving and following beside odd entries."""

import functools
import signal
import socket
import struct
import time
from http.client import HTTPConnection

import attrs

from bench.meshfleet import make_route, wait_until
from godwitknot.mesh import frames
from godwitknot.mesh.memberdirectory import Member
from godwitknot.mesh.messages import Rumor
from godwitknot.mesh.model import ServerState
from godwitknot.units import Address, parse_address

# Time within which an acknowledged configuration is in force everywhere.
CONFIGURATION_SECONDS = 2.5
DEPTH = 100000
NESTED = f'{"[" * DEPTH}{"]" * DEPTH}'
ODD_CONFIGURATIONS = [
    NESTED,
    f'{{"version": {NESTED}}}',
    '{"version": "r900", "routes": {"a": {"timeout_ms": 1e999}}}',
    f'{{"version": "r{"9" * 400}", "routes": {{}}, "services": {{}}}}',
    '\x00\x01',
    '',
]
ODD_HEARTBEATS = [
    {'slots': 10**400},
    {'slots': 2**40},
    {'born': 2**63},
    {'cold_left_ms': 10**400},
    {'service': '\u20ac'},
    {'service': '\ud800'},
    {'address': '127.0.0.1:0'},
]
ODD_FRAMES = [
    b'\xff' * 8,
    struct.pack('>I', 16) + b'\xff' * 16,
    struct.pack('>I', 8) + struct.pack('<II', 511, 1),
]


def make_member(number, **changes):
    member = Member(
        node=f'odd-{number}',
        address=Address(f'127.0.1.{number}', 9),
        zone='z1',
        region='r1',
        service='another',
        server_id=f'i-odd-{number}',
        born=1,
        state=ServerState.READY,
        slots=1,
        incarnation=1,
        revision=1,
        serving=True,
    )
    return attrs.evolve(member, **changes)


def make_odd_rows(fleet):
    """Return odd contents of rows, also of the nodes' own records."""
    own = parse_address(fleet.machines[0].address(1))
    odd = [
        make_member(1, address=Address('127.0.1.1', 0), service='booking'),
        make_member(2, address=Address('odd.example', 9), service='booking'),
        make_member(3, address=own, incarnation=2**63 - 1),
        make_member(4, server_id='i-\u20ac', service='booking'),
        make_member(5, node='x' * 1000),
    ]
    contents = [frames.encode_member(member) for member in odd]
    return [*contents, NESTED.encode()[:40000], b'', b'\xff' * 40]


def count_events(machine, name):
    return sum(event['event'] == name for event in machine.events())


def check_processes(fleet, odd_rows):
    """Check that no task of a node failed and that its log is short."""
    for machine in fleet.machines:
        assert machine.process.poll() is None
        for name in ('task failed', 'unexpected error'):
            assert not count_events(machine, name)
        assert count_events(machine, 'row unreadable') <= odd_rows
        unreadable = count_events(machine, 'configuration unreadable')
        assert unreadable <= len(ODD_CONFIGURATIONS)


def check_requests(fleet, name):
    for number, machine in enumerate(fleet.machines):
        response, _ = machine.send('/browse/1', f'{name}-{number}')
        assert response.status == 200


def serves(machine, prefix):
    response, _ = machine.send(prefix, f'n-{time.monotonic()}')
    return response.status == 200


def configure_in_time(fleet, version):
    """Write a configuration and check when it is in force everywhere."""
    prefix = f'/new-{version}/'
    started = time.monotonic()
    fleet.configure(version, new=make_route(prefix, 'idempotent', 'booking'))
    for machine in fleet.machines:
        wait_until(functools.partial(serves, machine, prefix))
    assert time.monotonic() - started < CONFIGURATION_SECONDS


def knows(machine, member):
    return any(
        event['event'] == 'member changed' and event['peer'] == member.node
        for event in machine.events()
    )


def test_odd_rows_among_the_members(fleet):
    """Guards against nodes that stop following the members for one row."""
    contents = make_odd_rows(fleet)
    for number, content in enumerate(contents):
        fleet.store.put('members', f'127.0.1.{number}:9', content)
    check_requests(fleet, 'a')
    fleet.store.drop_history()
    valid = make_member(99)
    fleet.store.put('members', str(valid.address), frames.encode_member(valid))
    wait_until(lambda: all(knows(each, valid) for each in fleet.machines))
    configure_in_time(fleet, 20)
    check_requests(fleet, 'b')
    check_processes(fleet, len(contents))
    for machine in fleet.machines:
        assert not any(
            event.get('peer', '').startswith('odd-')
            for event in machine.events()
            if event.get('peer') != valid.node
        )


def test_odd_configurations_leave_the_old_one_in_force(fleet):
    """Guards against nodes that stop following the configuration."""
    for number, text in enumerate(ODD_CONFIGURATIONS):
        fleet.store.put('op', 'config', text.encode())
        check_requests(fleet, f'a-{number}')
        # Long enough for each node to read this one before the next.
        time.sleep(0.3)
    fleet.store.drop_history()
    configure_in_time(fleet, 20)
    check_processes(fleet, 0)
    for machine in fleet.machines:
        assert count_events(machine, 'configuration unreadable') > 0


def post(machine, target, body):
    connection = HTTPConnection(machine.control, timeout=5)
    connection.request('POST', target, body)
    status = connection.getresponse().status
    connection.close()
    return status


def test_odd_heartbeats_are_refused(fleet):
    """Guards against a heartbeat that stops the node's gossip or writes."""
    machine = fleet.machines[0]
    for changes in ODD_HEARTBEATS:
        assert machine.server.send_heartbeat(machine.control, **changes) == 400
    target = '/api/rpc?call=instances.heartbeat&of=i-1'
    # The largest body of an announcement is 64 KiB.
    assert post(machine, target, NESTED[:60000]) == 400
    for call in ('heartbeat', 'deregister'):
        target = f'/api/rpc?call=instances.{call}&of=i-%E2%82%AC'
        assert post(machine, target, '{}') == 400
    check_requests(fleet, 'a')
    machine.server.draining = True
    assert machine.server.send_heartbeat(machine.control) == 200
    wait_until(
        lambda: all(
            is_draining(each, machine.name) for each in fleet.machines[1:]
        )
    )
    check_processes(fleet, 0)


def is_draining(machine, peer):
    wanted = {'event': 'member changed', 'peer': peer, 'state': 'draining'}
    return any(wanted.items() <= event.items() for event in machine.events())


def test_odd_frames_end_only_their_connection(fleet):
    """Guards against a peer that ends a node or stops its gossip."""
    machine = fleet.machines[0]
    address = parse_address(machine.address(1))
    odd = make_member(1, address=Address('127.0.1.1', 0))
    valid = make_member(99)
    rumor = Rumor(address, (odd, valid), (), 2**62)
    encoded = frames.encode_rumor(rumor)
    framed = struct.pack('>I', len(encoded)) + encoded
    for content in (*ODD_FRAMES, framed):
        with socket.create_connection(address.pair, timeout=5) as connection:
            connection.sendall(content)
            connection.recv(100)
    wait_until(lambda: all(knows(each, valid) for each in fleet.machines))
    configure_in_time(fleet, 20)
    check_processes(fleet, 1)


def test_odd_settings_leave_the_old_ones_in_force(fleet):
    """Guards against a reload that ends the node."""
    machine = fleet.machines[0]
    path = fleet.folder / f'{machine.name}.yaml'
    text = path.read_text()
    for odd in (
        NESTED,
        'bounds: [3]',
        text.replace('grace_s=6', 'grace_s=.inf'),
    ):
        path.write_text(odd)
        machine.process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
    path.write_bytes(b'\xff\xfe\xff')
    machine.process.send_signal(signal.SIGHUP)
    wait_until(lambda: count_events(machine, 'settings unreadable') >= 4)
    check_requests(fleet, 'a')
    path.write_text(text)
    machine.process.send_signal(signal.SIGHUP)
    wait_until(lambda: count_events(machine, 'settings reloaded') == 1)
    check_processes(fleet, 0)


def test_odd_deadline_is_a_fault_of_the_caller(fleet):
    """Guards against a request without an end, or an error of the node."""
    machine = fleet.machines[0]
    for left in ('nan', 'inf', '-5', '1e999', '9' * 400):
        response, content = machine.send('/browse/1', f'a-{left}', left=left)
        assert (response.status, content) == (400, b'bad-request\n')
    check_requests(fleet, 'b')
