"""The control plane of a node: the parts that exchange UDP messages."""

import random
import time
from collections.abc import Callable

from godwitknot.clock import Clock
from godwitknot.control.records import (
    NodeRecord,
    NodeState,
    ServerRecord,
    ServerState,
)
from godwitknot.control.transport import Endpoint
from godwitknot.declarations.declaration import Declaration
from godwitknot.declarations.settings import NodeSettings
from godwitknot.health.crashes import CrashTracker
from godwitknot.health.ejections import ServerHealth
from godwitknot.health.fleetfloor import FleetFloor, PromiseHandler
from godwitknot.health.floors import PromiseManager
from godwitknot.health.siblings import SiblingStatistics
from godwitknot.health.summaries import SummaryExchange
from godwitknot.keys import FleetKeys
from godwitknot.membership.directory import Directory
from godwitknot.membership.gossip import Gossip
from godwitknot.metrics import Metrics
from godwitknot.servers.crashreporting import GossipCrashReporter

_MILLISECONDS = 1000
_RANDOM_BITS = 16


def generate_incarnation() -> int:
    """Return an incarnation number that grows with each process start.

    :returns: wall-clock milliseconds, then 16 random bits.
    """
    milliseconds = int(time.time() * _MILLISECONDS)
    return milliseconds << _RANDOM_BITS | random.getrandbits(_RANDOM_BITS)


def make_initial_record(settings: NodeSettings, incarnation: int) -> NodeRecord:
    """Build the record that a starting node announces."""
    node = settings.node
    servers = tuple(
        ServerRecord(
            section.name,
            section.service,
            section.slots,
            1,
            ServerState.STARTING,
        )
        for section in settings.servers
    )
    return NodeRecord(
        node.id,
        incarnation,
        1,
        node.region,
        node.failure_domain,
        node.ingress,
        node.peer,
        NodeState.STARTING,
        servers,
    )


class ControlPlane:
    """Directory, gossip, promises, sibling statistics and crash reports."""

    def __init__(
        self,
        settings: NodeSettings,
        keys: FleetKeys,
        clock: Clock,
        metrics: Metrics,
        declaration: Callable[[], Declaration | None],
    ) -> None:
        """Build the parts; nothing is sent before :meth:`start`.

        :param declaration: returns the declaration in force, if any.
        """
        record = make_initial_record(settings, generate_incarnation())
        self.directory = Directory(record, clock)
        self.endpoint = Endpoint(
            settings.node.peer,
            keys,
            record.node_id,
            record.incarnation,
            metrics,
        )
        self.gossip = Gossip(self.directory, self.endpoint, clock)
        self.siblings = SiblingStatistics(record.node_id, clock)
        self.summaries = SummaryExchange(
            self.directory, self.endpoint, self.siblings
        )
        self.server_health: dict[str, ServerHealth] = {}
        self.floor = FleetFloor(
            self.directory, self.endpoint, declaration, self.server_health
        )
        self.promise_manager = PromiseManager(record.node_id, self.floor, clock)
        self.promise_handler = PromiseHandler(
            self.endpoint, self.promise_manager
        )
        self.crashes = CrashTracker(clock)
        self.crash_reporter = GossipCrashReporter(self.crashes, metrics)
        self.crash_reporter.connect(self.gossip, self.gossip.listeners)

    def start(self, seeds: tuple) -> None:
        """Start the threads and join the fleet.

        :param seeds: peer addresses of nodes to contact first.
        """
        self.endpoint.start()
        self.gossip.set_seeds(seeds)
        self.gossip.start()
        self.summaries.start()

    def stop(self) -> None:
        """Stop the threads."""
        self.summaries.stop()
        self.gossip.stop()
        self.endpoint.stop()

    def announce_server(
        self,
        name: str,
        state: ServerState,
        incarnation: int,
    ) -> None:
        """Announce the state of a local server to the fleet."""
        self.directory.set_server_state(name, state, incarnation=incarnation)

    def announce_node(self, state: NodeState, **changes: str) -> None:
        """Announce the state of this node to the fleet.

        :param changes: other fields of the record, with their new values.
        """
        self.directory.update_local_record(state=state, **changes)
