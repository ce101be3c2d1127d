"""Records and directories for the tests of the control plane."""

import attrs

from godwitknot.records import (
    NodeRecord,
    NodeState,
    ServerRecord,
    ServerState,
)
from godwitknot.units import Address


def make_server(name, service='booking', state=ServerState.READY):
    return ServerRecord(name, service, 4, 1, state)


def make_record(node_id, incarnation=1, version=1, servers=(), **changes):
    record = NodeRecord(
        node_id=node_id,
        incarnation=incarnation,
        version=version,
        region='east',
        failure_domain='east-a',
        ingress=Address('127.0.0.1', 1),
        peer=Address('127.0.0.1', 2),
        state=NodeState.READY,
        servers=tuple(servers),
    )
    return attrs.evolve(record, **changes)
