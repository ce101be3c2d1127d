"""Node processes beside a store that comes back from a copy."""

import signal
import time

import pytest

from bench.meshfleet import make_route, wait_until
from godwitknot.mesh.framedecoder import decode_member
from godwitknot.mesh.model import ServerState

NEW_ROUTE = make_route('/new/', 'idempotent', 'booking')
# Time within which a node applies a configuration.
APPLY_SECONDS = 2.5


def serves(machine, path):
    attempt_id = f'a-{time.monotonic_ns()}'
    return machine.send(path, attempt_id)[0].status == 200


def all_serve(fleet, path):
    return all(serves(machine, path) for machine in fleet.machines)


def write_rows(fleet, count):
    for number in range(count):
        fleet.store.put('status', f'row-{number}', b'content')


def read_stored_state(fleet, machine):
    content = fleet.store.read_value('members', machine.address(1))
    return decode_member(content).state if content else None


def restart(machine):
    machine.process.send_signal(signal.SIGKILL)
    machine.process.wait()
    machine.start()
    wait_until(machine.is_ready, 6)


@pytest.fixture
def copied(fleet):
    """A fleet and the moment of a copy, after which a route was added."""
    time.sleep(0.1)
    moment = time.monotonic()
    time.sleep(0.1)
    write_rows(fleet, 5)
    fleet.configure(8, later=make_route('/later/', 'idempotent', 'booking'))
    wait_until(lambda: all_serve(fleet, '/later/1'), APPLY_SECONDS)
    return fleet, moment


def restore(fleet, moment):
    fleet.store.restore(time.monotonic() - moment)


@pytest.mark.parametrize('down', [True, False])
def test_route_added_after_a_restore_is_served(copied, down):
    """Guards against a change under a version that was given out again.

    The feeds wait while the store is restored, and continue after it has
    passed the version that they had reached.
    """
    fleet, moment = copied
    fleet.store.faults.down = down
    restore(fleet, moment)
    fleet.configure(9, new=NEW_ROUTE)
    write_rows(fleet, 10)
    fleet.store.faults.down = False
    wait_until(lambda: all_serve(fleet, '/new/1'), APPLY_SECONDS)
    assert not serves(fleet.machines[0], '/later/1')


def test_route_is_kept_while_the_store_is_older(copied):
    fleet, moment = copied
    restore(fleet, moment)
    end = time.monotonic() + APPLY_SECONDS
    while time.monotonic() < end:
        assert all_serve(fleet, '/later/1')
    events = [each['event'] for each in fleet.machines[0].events()]
    assert events.count('store restored') == 1
    assert events.count('stored configuration outdated') == 1


def test_node_started_after_a_restore_gets_the_newer_configuration(copied):
    """Guards against a node that keeps the older one of the store."""
    fleet, moment = copied
    restore(fleet, moment)
    first = fleet.machines[0]
    restart(first)
    wait_until(lambda: serves(first, '/later/1'), APPLY_SECONDS)


def test_departure_that_a_restore_drops_is_written_again(copied):
    """Guards against a server that left and is ready in the store."""
    fleet, moment = copied
    first = fleet.machines[0]
    first.server.draining = True
    assert first.server.deregister(first.control) == 200
    wait_until(lambda: read_stored_state(fleet, first) is ServerState.GONE)
    restore(fleet, moment)
    assert read_stored_state(fleet, first) is ServerState.READY
    wait_until(
        lambda: read_stored_state(fleet, first) is ServerState.GONE,
        APPLY_SECONDS,
    )


@pytest.mark.parametrize('restarted', [0, 1])
def test_server_that_left_gets_nothing_after_a_restore(copied, restarted):
    """Guards against requests to a server that is ready in an older row.

    Its own node, or another one, restarts while the row is older.
    """
    fleet, moment = copied
    first = fleet.machines[0]
    first.server.draining = True
    assert first.server.deregister(first.control) == 200
    wait_until(lambda: read_stored_state(fleet, first) is ServerState.GONE)
    entry = fleet.machines[restarted]
    entry.process.kill()
    restore(fleet, moment)
    restart(entry)
    # A late heartbeat.
    first.server.send_heartbeat(first.control, state='ready')
    before = len(first.server.runs)
    end = time.monotonic() + APPLY_SECONDS
    while time.monotonic() < end:
        entry.send('/browse/1', f'a-{time.monotonic_ns()}')
    assert len(first.server.runs) == before


def test_restarted_node_learns_a_departure_from_others(copied):
    """Guards against heartbeats that prove a server that has left.

    The restored store has no record of the departure.
    """
    fleet, moment = copied
    first = fleet.machines[0]
    first.server.draining = True
    assert first.server.deregister(first.control) == 200
    wait_until(lambda: read_stored_state(fleet, first) is ServerState.GONE)
    first.process.kill()
    restore(fleet, moment)
    restart(first)
    time.sleep(APPLY_SECONDS)
    before = len(first.server.runs)
    for number in range(6):
        first.server.send_heartbeat(first.control, state='ready')
        first.send('/browse/1', f'a-{number}')
    assert len(first.server.runs) == before
