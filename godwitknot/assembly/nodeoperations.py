"""Operators' changes to the fleet, made through one node."""

import json

import attrs

from godwitknot.config.configuration import ConfigurationKeeper
from godwitknot.declarations.census import Census
from godwitknot.declarations.heads import Change
from godwitknot.errors import OperationRefusedError
from godwitknot.membership.directory import Directory
from godwitknot.operators.operations import (
    Operations,
    Plan,
    StopProgress,
    StopTarget,
    resolve_target,
)
from godwitknot.proxying.peerlink import LinkError, PeerLink
from godwitknot.servers.drain import DrainManager

STOP = 'stop'
_STOP_TIMEOUT_SECONDS = 5.0


@attrs.define
class NodeOperations(Operations):
    """Applies declarations, and starts planned stops here or at a peer."""

    directory: Directory
    keeper: ConfigurationKeeper
    census: Census
    drains: DrainManager
    link: PeerLink

    def plan(self, text: str) -> Plan:
        """Compare a declaration with the one in force."""
        return self.keeper.plan(text, self.census)

    def apply(
        self,
        text: str,
        expected_version: int,
        apply_id: str,
        author: str,
    ) -> Change:
        """Accept a declaration as the next configuration."""
        return self.keeper.accept(
            text, expected_version, apply_id, author, self.census
        )

    def stop(self, target: str, author: str) -> StopProgress:
        """Start a planned stop, or return the progress of a running one."""
        return self._stop(target, author, begin=True)

    def get_stop_progress(self, target: str) -> StopProgress:
        """Return the progress of a planned stop without starting one."""
        return self._stop(target, '', begin=False)

    def serve_stop(self, method: str, content: bytes) -> object:
        """Handle a peer's request to stop a server of this node."""
        request = json.loads(content)
        try:
            progress = self._stop_here(
                StopTarget(request['node'], request['server']),
                request['author'],
                begin=request['begin'],
            )
        except OperationRefusedError as refused:
            return {'refused': str(refused)}
        return attrs.asdict(progress)

    def _stop(self, text: str, author: str, *, begin: bool) -> StopProgress:
        target = resolve_target(text, self.directory.nodes())
        if target.node_id == self.directory.local_record.node_id:
            return self._stop_here(target, author, begin=begin)
        return self._stop_at_peer(target, author, begin=begin)

    def _stop_at_peer(
        self,
        target: StopTarget,
        author: str,
        *,
        begin: bool,
    ) -> StopProgress:
        request = {
            'node': target.node_id,
            'server': target.server,
            'author': author,
            'begin': begin,
        }
        peer = self.directory.node(target.node_id).peer
        try:
            reply = self.link.call(peer, STOP, request, _STOP_TIMEOUT_SECONDS)
        except LinkError as error:
            raise OperationRefusedError(
                f'node {target.node_id} does not answer',
            ) from error
        refused = reply.get('refused')
        if refused is not None:
            raise OperationRefusedError(refused)
        return StopProgress(**reply)

    def _stop_here(
        self,
        target: StopTarget,
        author: str,
        *,
        begin: bool,
    ) -> StopProgress:
        """Stop one server of this node, or all of them."""
        names = [target.server]
        if not target.server:
            names = [
                server.name for server in self.directory.local_record.servers
            ]
        if begin:
            for name in names:
                self.drains.begin(name, author)
        statuses = [self.drains.progress(name) for name in names]
        state = _combine_states({status.state for status in statuses})
        detail = ''
        if state == 'waiting':
            detail = 'stay promises of other servers of the service'
        return StopProgress(
            str(target),
            state,
            sum(status.running for status in statuses),
            detail,
        )


def _combine_states(states: set[str]) -> str:
    """Return the state of the stop that is furthest from its end."""
    for state in ('waiting', 'draining'):
        if state in states:
            return state
    return min(states, default='gone')
