import signal

from bench.histories import History
from bench.soakcallers import apply_declaration
from bench.soakfleet import DECLARATION, SERVICE, SoakFleet
from godwitknot.atmostonce.tickets import TicketIssuer
from godwitknot.clock import SystemClock
from godwitknot.declarations.settings import load_settings
from godwitknot.keys import FleetKeys


def issue_key(fleet, node_id):
    """Request keys until one is owned by the node."""
    settings = load_settings(fleet.nodes[node_id].settings)
    keys = FleetKeys(settings.current_key, settings.keys)
    issuer = TicketIssuer(keys, SystemClock())
    for _ in range(500):
        response = fleet.request(
            node_id, 'POST', f'/.godwitknot/keys?service={SERVICE}'
        )
        key = response.json()['key']
        if issuer.read(key).owner.node_id == node_id:
            return key
    raise AssertionError('no issued key is owned by the node')


def book(fleet, key):
    request_headers = {'Idempotency-Key': key}
    return fleet.request(
        'n1', 'POST', '/bookings', body=b'slot', headers=request_headers
    )


def test_keys_outlive_the_planned_stop_of_their_node():
    """Guards against keys that become unusable after a planned stop.

    A used key must replay its response, and an unused one must still run.
    """
    with SoakFleet('') as fleet:
        assert apply_declaration(fleet, History(), 'n0', DECLARATION)
        fleet.wait_ready()
        used, unused = issue_key(fleet, 'n0'), issue_key(fleet, 'n0')
        first = book(fleet, used)
        fleet.signal_node('n0', signal.SIGTERM)
        assert fleet.nodes['n0'].process.wait(60) == 0
        assert book(fleet, used).data == first.data
        assert book(fleet, unused).status == 200
        executed_keys = [run.key for run in fleet.list_all_runs()]
    assert (first.status, executed_keys) == (200, [used, unused])
