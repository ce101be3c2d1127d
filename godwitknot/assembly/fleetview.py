"""Read access to the fleet through one node, for operators."""

from collections.abc import Iterable

import attrs

from godwitknot.assembly.explainer import Explainer
from godwitknot.clock import Clock
from godwitknot.config.configuration import ConfigurationKeeper
from godwitknot.config.poller import ConfigurationPoller
from godwitknot.control.records import LocatedServer, NodeRecord, ServerState
from godwitknot.declarations.census import Census, ServiceCount
from godwitknot.errors import OperationRefusedError, ProtocolError
from godwitknot.membership.directory import Directory
from godwitknot.operators.budgetreport import BudgetReport, make_report
from godwitknot.operators.operations import (
    ConfigurationView,
    Confirmation,
    Explanation,
    FleetStatus,
    FleetView,
    ServerStatus,
    ServiceStatus,
)
from godwitknot.operators.requestcounts import (
    CountsSnapshot,
    RequestCounter,
    merge_snapshots,
    snapshot_from_json,
    snapshot_to_json,
)
from godwitknot.proxying.peerlink import LinkError, PeerLink

BURN = 'burn'
VERSION = 'version'

_SERVING = frozenset((ServerState.READY, ServerState.PROBATION))


class DirectoryCensus(Census):
    """Counts the servers in the directory of this node."""

    def __init__(self, directory: Directory) -> None:
        """Count in a directory."""
        self._directory = directory

    def count(self, service: str) -> ServiceCount:
        """Count the servers of a service, and those not draining."""
        servers = self._directory.servers(service)
        serving = [
            located
            for located in servers
            if located.server.state is not ServerState.DRAINING
        ]
        return ServiceCount(len(servers), len(serving))


@attrs.define
class NodeView(FleetView):
    """Reads the state of this node and requests that of its peers."""

    directory: Directory
    keeper: ConfigurationKeeper
    poller: ConfigurationPoller
    request_counter: RequestCounter
    explainer: Explainer
    link: PeerLink
    clock: Clock

    def status(self) -> FleetStatus:
        """Return the state of the fleet as this node knows it."""
        record = self.directory.local_record
        current = self.keeper.current
        nodes = self.directory.nodes()
        unreachable = tuple(
            node.node_id
            for node in nodes
            if not self.directory.is_reachable(node.node_id)
        )
        services = self._list_services()
        return FleetStatus(
            record.node_id,
            str(record.state),
            self.keeper.version,
            current.change.author if current else '',
            self.poller.store_up,
            len(nodes),
            unreachable,
            services,
            tuple(self._list_servers()),
            tuple(self._warn(services, unreachable)),
        )

    def report(self) -> BudgetReport:
        """Collect the request counts of all nodes and build the report."""
        current = self.keeper.current
        if current is None:
            raise OperationRefusedError('no configuration is in force')
        snapshots = [self.request_counter.snapshot()]
        missing = []
        for node in self._list_peers():
            try:
                snapshots.append(self._fetch_counts(node))
            except (LinkError, ProtocolError):
                missing.append(node.node_id)
        merged = merge_snapshots(snapshots)
        return make_report(
            current.declaration,
            current.version,
            merged,
            tuple(missing),
            self.clock.wall(),
        )

    def explain(self, subject: str) -> Explanation:
        """Explain the treatment of a server, a request or the fleet."""
        if subject:
            return self.explainer.explain(subject)
        return self.explainer.explain_fleet(self.status())

    def configuration(self) -> ConfigurationView:
        """Return the configuration in force at this node."""
        current = self.keeper.current
        if current is None:
            return ConfigurationView(None, '')
        return ConfigurationView(current.change, current.declaration.text)

    def confirm(self, version: int) -> Confirmation:
        """Request the configuration version of every node."""
        confirmed = []
        missing = {}
        if self.keeper.version >= version:
            confirmed.append(self.directory.local_record.node_id)
        for node in self._list_peers():
            try:
                active = self.link.call(node.peer, VERSION)[VERSION]
            except (LinkError, LookupError, TypeError):
                missing[node.node_id] = 'no answer'
                continue
            if active >= version:
                confirmed.append(node.node_id)
            else:
                missing[node.node_id] = f'version {active}'
        return Confirmation(version, tuple(confirmed), missing)

    def serve_counts(self, method: str, content: bytes) -> object:
        """Handle a peer's request for the request counts of this node."""
        return snapshot_to_json(self.request_counter.snapshot())

    def serve_version(self, method: str, content: bytes) -> object:
        """Handle a peer's request for the configuration version."""
        return {VERSION: self.keeper.version}

    def _list_peers(self) -> list[NodeRecord]:
        local_id = self.directory.local_record.node_id
        return [
            node for node in self.directory.nodes() if node.node_id != local_id
        ]

    def _fetch_counts(self, node: NodeRecord) -> CountsSnapshot:
        return snapshot_from_json(self.link.call(node.peer, BURN))

    def _list_services(self) -> tuple[ServiceStatus, ...]:
        current = self.keeper.current
        if current is None:
            return ()
        return tuple(
            self._describe_service(name, current.declaration.services[name])
            for name in sorted(current.declaration.services)
        )

    def _describe_service(self, name: str, service: object) -> ServiceStatus:
        servers = self.directory.servers(name)
        peak_count = self.directory.peak_server_count(name)
        return ServiceStatus(
            name,
            service.floor.count_servers(peak_count),
            len(servers),
            sum(1 for located in servers if _is_serving(located)),
        )

    def _list_servers(self) -> Iterable[ServerStatus]:
        for node in sorted(self.directory.nodes(), key=_get_node_id):
            reachable = self.directory.is_reachable(node.node_id)
            for server in node.servers:
                state = str(server.state) if reachable else 'unreachable'
                yield ServerStatus(
                    node.node_id,
                    server.name,
                    server.service,
                    node.region,
                    node.failure_domain,
                    state,
                )

    def _warn(
        self,
        services: Iterable[ServiceStatus],
        unreachable: Iterable[str],
    ) -> Iterable[str]:
        if not self.poller.store_up:
            yield 'the store is down; no configuration can be applied'
        for service in services:
            if service.serving < service.floor:
                yield (
                    f'service {service.name} has {service.serving} servers '
                    f'in service, its floor is {service.floor}'
                )
        for node_id in unreachable:
            yield f'node {node_id} is not reachable'


def _get_node_id(node: NodeRecord) -> str:
    return node.node_id


def _is_serving(located: LocatedServer) -> bool:
    return located.reachable and located.server.state in _SERVING
