"""Load balancer over the servers that the directory knows."""

import threading

from godwitknot.clock import Clock
from godwitknot.control.records import LocatedServer, NodeRecord
from godwitknot.declarations.declaration import RegionRule
from godwitknot.membership.directory import Directory
from godwitknot.proxying.balancer import LoadBalancer, Target, TargetQuery
from godwitknot.proxying.candidates import CandidatePool, ReportedLoad
from godwitknot.proxying.selection import (
    RegionBudget,
    SelectionCriteria,
    Selector,
)
from godwitknot.web.relay import Load


class DirectoryBalancer(LoadBalancer):
    """Follows the directory, and chooses among the candidates from it."""

    def __init__(self, directory: Directory, clock: Clock) -> None:
        """Create a balancer that follows a directory."""
        self._directory = directory
        self._pool = CandidatePool(directory.local_record, clock)
        self._budget = RegionBudget(clock)
        self._selector = Selector(self._pool, self._budget)
        self._lock = threading.Lock()
        self._services_by_node: dict[str, frozenset[str]] = {}
        directory.subscribe(self._update)
        for node in directory.nodes():
            self._update(node)

    def choose(self, query: TargetQuery) -> Target | None:
        """Return a server, or ``None`` if there is none left to try."""
        criteria = SelectionCriteria(
            query.service,
            repeatable=query.repeatable,
            remaining=query.remaining,
            any_region=query.regions is RegionRule.ANY,
            tried=frozenset(query.tried),
        )
        choice = self._selector.choose(criteria)
        if choice is None:
            return None
        return self._build_target(
            choice.candidate.located,
            last_resort=choice.last_resort,
            crosses_region=choice.crosses_region,
        )

    def locate(self, node_id: str, server: str) -> Target | None:
        """Return a server by name, in any state, or ``None``."""
        node = self._directory.node(node_id)
        if node is None:
            return None
        record = node.find_server(server)
        if record is None:
            return None
        return self._build_target(
            LocatedServer(node, record, reachable=True),
            crosses_region=node.region != self._directory.local_record.region,
        )

    def record_sent(self, target: Target) -> None:
        """Count a request as outstanding."""
        self._pool.record_sent(target.key)

    def record_ended(self, target: Target, load: Load | None) -> None:
        """End an outstanding request."""
        report = None
        if load is not None:
            report = ReportedLoad(
                load.running, load.queued, load.slots, load.share
            )
        self._pool.record_done(target.key, report)

    def record_refused(self, target: Target) -> None:
        """Avoid a server for a short time."""
        self._pool.record_refused(target.key)

    def record_link_failed(self, target: Target) -> None:
        """Avoid a node, with a backoff that grows with each failure."""
        self._pool.record_link_failed(target.node_id)

    def record_bytes(self, target: Target, amount: int) -> None:
        """Charge bytes to the region budget if the target crosses regions."""
        if target.crosses_region:
            self._budget.charge(amount)

    def _build_target(
        self,
        located: LocatedServer,
        *,
        last_resort: bool = False,
        crosses_region: bool = False,
    ) -> Target:
        node = located.node
        return Target(
            node.node_id,
            node.incarnation,
            located.server.name,
            located.server.service,
            node.peer,
            local=node.node_id == self._directory.local_record.node_id,
            last_resort=last_resort,
            crosses_region=crosses_region,
        )

    def _update(self, record: NodeRecord) -> None:
        """Update the candidates for the services of a changed node.

        :param record: the node's new record.
        """
        current_services = frozenset(
            server.service for server in record.servers
        )
        with self._lock:
            previous_services = self._services_by_node.get(
                record.node_id, frozenset()
            )
            self._services_by_node[record.node_id] = current_services
            for service in previous_services | current_services:
                servers = self._directory.servers(service)
                self._pool.update(service, servers)
            local_region = self._directory.local_record.region
            regions = [node.region for node in self._directory.nodes()]
            self._budget.set_region_nodes(regions.count(local_region))
