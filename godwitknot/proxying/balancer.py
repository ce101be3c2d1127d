"""Interface between the dispatch of requests and the choice of servers."""

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
    :param last_resort: no other server had room.
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
    """What is asked for.

    :param repeatable: whether the class allows a repeat.
    :param tried: servers already tried.
    :param remaining: seconds until the deadline.
    """

    service: str
    repeatable: bool
    regions: RegionRule
    tried: Collection[tuple[str, str]]
    remaining: float


class LoadBalancer(abc.ABC):
    """Knows the servers of each service and picks one."""

    @abc.abstractmethod
    def choose(self, query: TargetQuery) -> Target | None:
        """Pick a server, or ``None`` if there is none left to try."""

    @abc.abstractmethod
    def locate(self, node_id: str, server: str) -> Target | None:
        """Find a server by name, whatever its state."""

    @abc.abstractmethod
    def record_sent(self, target: Target) -> None:
        """Count a request as outstanding."""

    @abc.abstractmethod
    def record_ended(self, target: Target, load: Load | None) -> None:
        """End an outstanding request.

        :param load: load that the sidecar reported with its answer.
        """

    @abc.abstractmethod
    def record_refused(self, target: Target) -> None:
        """Note that the sidecar refused because of the server's state."""

    @abc.abstractmethod
    def record_link_failed(self, target: Target) -> None:
        """Note that the node could not be reached."""

    @abc.abstractmethod
    def record_bytes(self, target: Target, amount: int) -> None:
        """Charge bytes to the link between regions if it was used."""
