"""Connects the promise manager of a node to the fleet."""

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
    """Reads floors from the declaration and sends promise requests."""

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        declaration: Callable[[], Declaration | None],
        healths: Mapping[str, ServerHealth],
    ) -> None:
        """Create the context of a promise manager.

        :param declaration: returns the declaration in force, ``None`` before
            the first.
        :param healths: servers of this node by name; filled in later.
        """
        self._directory = directory
        self._endpoint = endpoint
        self._declaration = declaration
        self._healths = healths

    def siblings(self, service: str) -> Sequence[LocatedServer]:
        """Return the reachable ready servers of a service."""
        return [
            located
            for located in self._directory.servers(service)
            if located.reachable and located.server.state is ServerState.READY
        ]

    def floor(self, service: str) -> int:
        """Return the minimum number of servers that must stay in service.

        Without a declaration no server may leave.
        """
        declaration = self._declaration()
        if declaration is None or service not in declaration.services:
            return sys.maxsize
        peak_count = self._directory.peak_server_count(service)
        return declaration.services[service].floor.count_servers(peak_count)

    def count_others(self, service: str, server: str) -> int:
        """Count the servers of a service except one of this node.

        Includes servers that are unreachable or out of service.
        """
        local_key = (self._directory.local_record.node_id, server)
        servers = self._directory.servers(service)
        return sum(1 for located in servers if located.key != local_key)

    def send(self, target: LocatedServer, request: PromiseRequest) -> None:
        """Send a promise request to the node of another server."""
        self._endpoint.send(target.node.peer, request)

    def can_promise(self, server: str) -> bool:
        """Return whether a server of this node is ready and not suspect."""
        health = self._healths.get(server)
        return health is not None and health.can_promise


class PromiseHandler:
    """Handles promise requests of other nodes and their answers."""

    def __init__(
        self, endpoint: Endpoint, promise_manager: PromiseManager
    ) -> None:
        """Subscribe to promise messages."""
        self._endpoint = endpoint
        self._promise_manager = promise_manager
        endpoint.subscribe(PromiseRequest, self._handle_request)
        endpoint.subscribe(PromiseAnswer, self._handle_answer)

    def _handle_request(
        self,
        sender: str,
        address: Address,
        request: PromiseRequest,
    ) -> None:
        self._endpoint.send(
            address, self._promise_manager.handle_request(request)
        )

    def _handle_answer(
        self,
        sender: str,
        address: Address,
        answer: PromiseAnswer,
    ) -> None:
        self._promise_manager.handle_answer(answer)
