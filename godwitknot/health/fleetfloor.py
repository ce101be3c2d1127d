"""Connects the floor keeper of a node to its fleet."""

import sys
from collections.abc import Callable, Mapping, Sequence

from godwitknot.control.messages import PromiseAnswer, PromiseRequest
from godwitknot.control.records import LocatedServer, ServerState
from godwitknot.control.transport import Endpoint
from godwitknot.declarations.declaration import Declaration
from godwitknot.health.ejections import ServerHealth
from godwitknot.health.floors import FloorContext, PromiseManager
from godwitknot.membership.directory import Directory
from godwitknot.units import Address


class FleetFloor(FloorContext):
    """Gives the floors in force and carries the questions to siblings."""

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        declaration: Callable[[], Declaration | None],
        healths: Mapping[str, ServerHealth],
    ) -> None:
        """Take the collaborators.

        :param declaration: gives the one in force, ``None`` before the first.
        :param healths: own servers by name; filled in later.
        """
        self._directory = directory
        self._endpoint = endpoint
        self._declaration = declaration
        self._healths = healths

    def siblings(self, service: str) -> Sequence[LocatedServer]:
        """Give the reachable ready servers of a service."""
        return [
            located
            for located in self._directory.servers(service)
            if located.reachable and located.server.state is ServerState.READY
        ]

    def floor(self, service: str) -> int:
        """Give the least number of servers that must stay in.

        Without a declaration no server may leave.
        """
        declaration = self._declaration()
        if declaration is None or service not in declaration.services:
            return sys.maxsize
        most_seen = self._directory.peak_server_count(service)
        return declaration.services[service].floor.count_servers(most_seen)

    def count_others(self, service: str, server: str) -> int:
        """Count the servers of a service besides an own one.

        Servers that cannot be reached or are out for now are included.
        """
        own = (self._directory.local_record.node_id, server)
        servers = self._directory.servers(service)
        return sum(1 for located in servers if located.key != own)

    def send(self, target: LocatedServer, request: PromiseRequest) -> None:
        """Send a request to the node of another server."""
        self._endpoint.send(target.node.peer, request)

    def can_promise(self, server: str) -> bool:
        """Tell whether an own server is ready and not suspect."""
        health = self._healths.get(server)
        return health is not None and health.can_promise


class PromiseHandler:
    """Answers the questions of other nodes and takes in their answers."""

    def __init__(self, endpoint: Endpoint, keeper: PromiseManager) -> None:
        """Listen for promise messages."""
        self._endpoint = endpoint
        self._keeper = keeper
        endpoint.subscribe(PromiseRequest, self._answer)
        endpoint.subscribe(PromiseAnswer, self._take)

    def _answer(
        self,
        sender: str,
        address: Address,
        request: PromiseRequest,
    ) -> None:
        self._endpoint.send(address, self._keeper.handle_request(request))

    def _take(
        self,
        sender: str,
        address: Address,
        answer: PromiseAnswer,
    ) -> None:
        self._keeper.handle_answer(answer)
