import signal

from bench.histories import History
from bench.soakcallers import apply_declaration
from bench.soakfleet import DECLARATION, SERVICE, SoakFleet
from godwitknot.atmostonce.tickets import TicketIssuer
from godwitknot.clock import SystemClock
from godwitknot.declarations.settings import load_settings
from godwitknot.keys import FleetKeys


def issue_for(fleet, node_id):
    """Ask for keys until one names the node."""
    settings = load_settings(fleet.nodes[node_id].settings)
    keys = FleetKeys(settings.current_key, settings.keys)
    issuer = TicketIssuer(keys, SystemClock())
    for _ in range(500):
        answer = fleet.request(
            node_id, 'POST', f'/.godwitknot/keys?service={SERVICE}'
        )
        key = answer.json()['key']
        if issuer.read(key).owner.node_id == node_id:
            return key
    raise AssertionError('no key names the node')


def book(fleet, key):
    fields = {'Idempotency-Key': key}
    return fleet.request(
        'n1', 'POST', '/bookings', body=b'slot', headers=fields
    )


def test_keys_outlive_the_planned_stop_of_their_node():
    """Guards against bookings that are lost to a planned stop."""
    with SoakFleet('') as fleet:
        assert apply_declaration(fleet, History(), 'n0', DECLARATION)
        fleet.wait_ready()
        used, fresh = issue_for(fleet, 'n0'), issue_for(fleet, 'n0')
        first = book(fleet, used)
        fleet.signal_node('n0', signal.SIGTERM)
        assert fleet.nodes['n0'].process.wait(60) == 0
        assert book(fleet, used).data == first.data
        assert book(fleet, fresh).status == 200
        ran = [run.key for run in fleet.list_all_runs()]
    assert (first.status, ran) == (200, [used, fresh])
