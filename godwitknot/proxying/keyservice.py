"""Assembles the parts of a node that run requests with idempotency keys."""

import json
import threading
import time

from godwitknot.atmostonce.claims import ClaimManager
from godwitknot.atmostonce.issuedkeys import IssuedKeyRegistry
from godwitknot.atmostonce.keyedexecutor import KeyedExecutor, Sibling
from godwitknot.atmostonce.tickets import Owner, TicketIssuer
from godwitknot.clock import Clock
from godwitknot.control.records import NodeRecord, NodeState, ServerState
from godwitknot.errors import ProtocolError
from godwitknot.keys import FleetKeys
from godwitknot.logs import log_event
from godwitknot.membership.directory import Directory
from godwitknot.outcomes import RefusalError
from godwitknot.proxying.dispatch import Dispatcher
from godwitknot.proxying.keydispatch import KeyDispatcher, OwnerFinder
from godwitknot.proxying.peerlink import LinkError, PeerLink
from godwitknot.storage.store import TableService
from godwitknot.storage.writebudget import WriteBudget
from godwitknot.web.connections import ConnectFailedError

HANDOVER = 'handover'

# Half of the several hundred writes a second that the table service handles.
_FLEET_WRITES_PER_SECOND = 150.0
_HANDOVER_TIMEOUT_SECONDS = 5.0
_MAX_HANDOVER_ATTEMPTS = 3
_HANDOVER_BACKOFF_SECONDS = 0.2
_ADOPTED = 'adopted'


class KeyService:
    """The issued keys and claims of one node."""

    registry_class = IssuedKeyRegistry
    claims_class = ClaimManager
    dispatcher_class = KeyDispatcher

    def __init__(
        self,
        directory: Directory,
        tables: TableService,
        keys: FleetKeys,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        """Create the parts of the sidecar role."""
        self._directory = directory
        self._link = link
        self._clock = clock
        self._issuer = TicketIssuer(keys, clock)
        local_record = directory.local_record
        owner = Owner(local_record.node_id, local_record.incarnation)
        self._registry = self.registry_class(owner, clock)
        self._budget = WriteBudget(_FLEET_WRITES_PER_SECOND, clock)
        self._claims = self.claims_class(owner, tables, clock, self._budget)
        self._stopped = threading.Event()
        self.executor = KeyedExecutor(
            self._issuer,
            self._registry,
            self._claims,
            self._find_sibling,
            clock,
        )
        directory.subscribe(self._share_budget)

    def make_dispatcher(self, dispatcher: Dispatcher) -> KeyDispatcher:
        """Create the dispatcher of the ingress role."""
        owners = OwnerFinder(
            self._directory.local_record.node_id, self._directory.node
        )
        return self.dispatcher_class(
            dispatcher, self._issuer, owners, self._clock
        )

    def start(self) -> None:
        """Start the thread that writes the responses of claims."""
        threading.Thread(
            target=self._claims.write_responses,
            args=(self._stopped,),
            name='claim-answers',
            daemon=True,
        ).start()

    def hand_over(self) -> str:
        """Transfer the issued keys to an heir, after the last run has ended.

        The queued responses of claims are written first.

        :returns: node id of the heir, empty if there is none.
        """
        self._stopped.set()
        self._claims.flush()
        for node in self._list_heir_candidates():
            adopted = self._offer(node)
            if adopted:
                log_event('records handed over', heir=node.node_id)
                return node.node_id
            if adopted is None:
                break
            self._registry.clear_heir()
        log_event('records not handed over')
        return ''

    def serve_handover(self, method: str, content: bytes) -> object:
        """Adopt the issued keys of a node that stops."""
        try:
            self._registry.adopt(json.loads(content))
        except (RefusalError, ProtocolError, ValueError) as adoption_error:
            log_event('handover refused', reason=type(adoption_error).__name__)
            return {_ADOPTED: False}
        return {_ADOPTED: True}

    def _offer(self, node: NodeRecord) -> bool | None:
        """Offer the issued keys to a node.

        :returns: whether it adopted them, ``None`` if that is unknown.
        """
        content = self._registry.export(Owner(node.node_id, node.incarnation))
        for attempt in range(_MAX_HANDOVER_ATTEMPTS):
            try:
                reply = self._link.call(
                    node.peer,
                    HANDOVER,
                    content.decode(),
                    _HANDOVER_TIMEOUT_SECONDS,
                )
            except LinkError as error:
                connect_failed = isinstance(error.__cause__, ConnectFailedError)
                if connect_failed and not attempt:
                    return False
                time.sleep(_HANDOVER_BACKOFF_SECONDS)
            else:
                return bool(reply[_ADOPTED])
        return None

    def _list_heir_candidates(self) -> list[NodeRecord]:
        """Return the nodes that share a service, those of the region first."""
        local_record = self._directory.local_record
        services = {server.service for server in local_record.servers}
        nodes = [
            node
            for node in self._directory.nodes()
            if node.node_id != local_record.node_id
            and node.state is NodeState.READY
            and self._directory.is_reachable(node.node_id)
            and services & {server.service for server in node.servers}
        ]
        return sorted(
            nodes, key=lambda node: node.region != local_record.region
        )

    def _find_sibling(self, service: str) -> Sibling | None:
        local_record = self._directory.local_record
        located = [
            each
            for each in self._directory.servers(service)
            if each.reachable
            and each.server.state is ServerState.READY
            and each.node.state is NodeState.READY
            and each.node.node_id != local_record.node_id
        ]
        if not located:
            return None
        nearest = min(
            located, key=lambda each: each.node.region != local_record.region
        )
        node = nearest.node
        owner = Owner(node.node_id, node.incarnation)
        return Sibling(owner, nearest.server.name)

    def _share_budget(self, _changed: NodeRecord) -> None:
        nodes = max(1, len(self._directory.nodes()))
        self._budget.set_rate(_FLEET_WRITES_PER_SECOND / nodes)
