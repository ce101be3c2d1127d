"""Records that describe nodes and backend servers to the fleet."""

import enum

import attrs

from godwitknot.units import Address


class NodeState(enum.StrEnum):
    """Life cycle of a node."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class ServerState(enum.StrEnum):
    """Life cycle of a backend server as its sidecar announces it."""

    STARTING = 'starting'
    READY = 'ready'
    EJECTED = 'ejected'
    PROBATION = 'probation'
    DRAINING = 'draining'
    GONE = 'gone'


@attrs.frozen
class ServerRecord:
    """A backend server.

    :param name: unique within the node.
    :param service: service that it belongs to.
    :param slots: number of requests that it runs at a time.
    :param incarnation: increases with each restart of the server.
    :param state: as announced by its sidecar.
    """

    name: str
    service: str
    slots: int
    incarnation: int
    state: ServerState


@attrs.frozen
class NodeRecord:
    """A node and its servers; only the node itself creates new versions.

    :param node_id: id from the settings.
    :param incarnation: increases with each new process of this node id.
    :param version: increases with each change within an incarnation.
    :param ingress: address for callers.
    :param peer: address for other nodes, HTTP and UDP.
    :param heir: id of the node that took over the idempotency records, or
        empty.
    """

    node_id: str
    incarnation: int
    version: int
    region: str
    failure_domain: str
    ingress: Address
    peer: Address
    state: NodeState
    servers: tuple[ServerRecord, ...] = ()
    heir: str = ''

    @property
    def freshness(self) -> tuple[int, int]:
        """Order of the records of one node; the greatest one is current."""
        return (self.incarnation, self.version)

    def find_server(self, name: str) -> ServerRecord | None:
        """Find a server of this node by name."""
        for server in self.servers:
            if server.name == name:
                return server
        return None


@attrs.frozen
class LocatedServer:
    """A server together with the node in front of it.

    :param reachable: whether the node counts as alive in the fleet.
    """

    node: NodeRecord
    server: ServerRecord
    reachable: bool

    @property
    def key(self) -> tuple[str, str]:
        """Unique key within the fleet: node id and server name."""
        return (self.node.node_id, self.server.name)
