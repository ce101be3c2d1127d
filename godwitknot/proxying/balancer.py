"""Interface of a load balancer: picks the server for each attempt."""

import abc
from collections.abc import Collection

import attrs

from godwitknot.declarations.declaration import RegionRule
from godwitknot.units import Address
from godwitknot.web.relay import Load


@attrs.frozen
class Target:
    """A server that a request may be sent to.

    :param incarnation: of the node in front of it.
    :param address: peer address of that node.
    :param local: whether that node is this one.
    :param last_resort: whether it was chosen for want of a better server.
    :param crosses_region: whether its bytes are charged to the region budget.
    """

    node_id: str
    incarnation: int
    server: str
    service: str
    address: Address
    local: bool
    last_resort: bool = False
    crosses_region: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Fleet-wide name of the server."""
        return (self.node_id, self.server)


@attrs.frozen
class TargetQuery:
    """What a target must fulfil.

    :param repeatable: whether the class allows a request to run twice.
    :param regions: whether servers in other regions are allowed.
    :param tried: servers that the request was already sent to.
    :param remaining: seconds until the deadline.
    """

    service: str
    repeatable: bool
    regions: RegionRule
    tried: Collection[tuple[str, str]]
    remaining: float


class LoadBalancer(abc.ABC):
    """Distributes the requests of one ingress among the servers."""

    @abc.abstractmethod
    def choose(self, query: TargetQuery) -> Target | None:
        """Return a server, or ``None`` if there is none left to try."""

    @abc.abstractmethod
    def locate(self, node_id: str, server: str) -> Target | None:
        """Return a server by name, in any state, or ``None``."""

    @abc.abstractmethod
    def record_sent(self, target: Target) -> None:
        """Count a request as outstanding."""

    @abc.abstractmethod
    def record_ended(self, target: Target, load: Load | None) -> None:
        """End an outstanding request.

        :param load: reported by the sidecar with its response, or ``None``.
        """

    @abc.abstractmethod
    def record_refused(self, target: Target) -> None:
        """Record that the sidecar refused because of the server's state."""

    @abc.abstractmethod
    def record_link_failed(self, target: Target) -> None:
        """Record that the node could not be reached."""

    @abc.abstractmethod
    def record_bytes(self, target: Target, amount: int) -> None:
        """Charge bytes to the region budget if the target crosses regions."""
