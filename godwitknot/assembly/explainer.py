"""Explanations of decisions about servers and of refused requests."""

import json

import attrs

from godwitknot.control.records import NodeRecord, ServerState
from godwitknot.health.crashes import CrashTracker
from godwitknot.health.evidence import DecisionLog
from godwitknot.membership.directory import Directory
from godwitknot.operators.operations import (
    Explanation,
    FleetStatus,
    resolve_target,
)
from godwitknot.operators.refusals import RefusalLog
from godwitknot.proxying.peerlink import LinkError, PeerLink

DECISIONS = 'decisions'

_MAX_DECISIONS = 20


@attrs.define
class Explainer:
    """Explains why a server is out of service or a request was refused."""

    directory: Directory
    decisions: DecisionLog
    refusals: RefusalLog
    crashes: CrashTracker
    link: PeerLink

    def explain(self, subject: str) -> Explanation:
        """Explain the treatment of a server or a request.

        :param subject: server, node or request id.
        :raises OperationRefusedError: if nothing is known of the subject.
        """
        refused = self.refusals.find(subject)
        if refused is not None:
            return Explanation(subject, (refused.explain(),))
        target = resolve_target(subject, self.directory.nodes())
        node = self.directory.node(target.node_id)
        lines = self._list_decisions(node, target.server)
        if not lines:
            lines = ['no decision was taken about it lately']
        facts = {'node': node.node_id, 'state': str(node.state)}
        server = node.find_server(target.server)
        if server is not None:
            facts['state'] = str(server.state)
        return Explanation(subject, tuple(lines), facts)

    def explain_fleet(self, status: FleetStatus) -> Explanation:
        """List the warnings, blocked requests and servers not ready."""
        lines = list(status.warnings)
        lines.extend(
            f'request {fingerprint:016x} of {service} is refused: it '
            f'crashed two servers'
            for service, fingerprint in self.crashes.list_blocked()
        )
        not_ready = [
            f'{server.node_id}/{server.name} is {server.state}'
            for server in status.servers
            if server.state != ServerState.READY
        ]
        return Explanation(
            '', tuple(lines + not_ready) or ('nothing is wrong',)
        )

    def serve_decisions(self, method: str, content: bytes) -> object:
        """Handle a peer's request for the decisions about a local server."""
        server = json.loads(content)['server']
        return self._list_local_decisions(server)

    def _list_decisions(self, node: NodeRecord, server: str) -> list[str]:
        if node.node_id == self.directory.local_record.node_id:
            return self._list_local_decisions(server)
        try:
            reply = self.link.call(node.peer, DECISIONS, {'server': server})
        except LinkError as error:
            return [f'its node does not answer: {error}']
        return [str(line) for line in reply]

    def _list_local_decisions(self, server: str) -> list[str]:
        recorded = self.decisions.list_decisions(server)
        return [
            decision.explain()
            for decision in recorded[: -_MAX_DECISIONS - 1 : -1]
        ]
