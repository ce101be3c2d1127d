"""Heartbeats of a node: sending them, replies, and reports of lost peers."""

from collections.abc import Callable

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import (
    Heartbeat,
    RecordChange,
    Records,
    RecordsRequest,
    Unreachable,
)
from godwitknot.control.records import NodeState
from godwitknot.control.transport import Endpoint
from godwitknot.membership.directory import Directory
from godwitknot.membership.directoryhash import hash_node_id
from godwitknot.membership.links import LinkState, LinkTable
from godwitknot.membership.peerwatch import PeerWatches
from godwitknot.units import Address

SpreadReport = Callable[[Unreachable], None]
NotifyConfig = Callable[[int, str, Address], None]


class Heartbeats:
    """Watches peers and replies to those that watch this node."""

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        clock: Clock,
        spread_report: SpreadReport,
        notify_config: NotifyConfig,
    ) -> None:
        """Subscribe to heartbeats.

        :param spread_report: spreads a report of this node as a rumor.
        :param notify_config: called with the version, node id and address
            of a peer that has a higher configuration version.
        """
        self.config_version = 0
        self._directory = directory
        self._endpoint = endpoint
        self._spread_report = spread_report
        self._notify_config = notify_config
        self._links = LinkTable(clock)
        self._watches = PeerWatches(
            self._links, clock, self._send_heartbeat, self._report_unresponsive
        )
        endpoint.subscribe(Heartbeat, self._handle_heartbeat)
        endpoint.subscribe_old_incarnations(self._handle_old_incarnation)

    def refresh(self) -> None:
        """Watch the peers that the directory currently selects."""
        watched = self._directory.watched()
        self._watches.set_peers({each.node_id for each in watched})

    def stop(self) -> None:
        """Stop watching peers."""
        self._watches.stop()

    def link(self, peer: str) -> LinkState:
        """Return the state of the link to a peer."""
        return self._links.state(peer)

    def check_config_version(
        self, version: int, peer: str, address: Address
    ) -> None:
        """Notify of a peer's configuration version if it is higher."""
        if version > self.config_version:
            self._notify_config(version, peer, address)

    def _send_heartbeat(self, peer: str) -> None:
        record = self._directory.node(peer)
        if record is not None:
            self._send_to(peer, record.peer, is_reply=False)

    def _send_to(self, peer: str, address: Address, *, is_reply: bool) -> None:
        sequence, last_heard = self._links.next_counters(peer)
        message = Heartbeat(
            sequence,
            last_heard,
            self._directory.hash,
            self.config_version,
            hash_node_id(peer),
            is_reply,
        )
        self._endpoint.send(address, message)

    def _report_unresponsive(self, peer: str) -> None:
        """Report a watched peer as unreachable."""
        record = self._directory.node(peer)
        # Two reports make a node unreachable everywhere; a third would only
        # use bandwidth.
        if record is None or not self._directory.is_reachable(peer):
            return
        local_id = self._directory.local_record.node_id
        report = Unreachable(local_id, peer, *record.freshness)
        if self._directory.report_unreachable(report):
            self._spread_report(report)

    def _handle_heartbeat(
        self, sender: str, address: Address, message: Heartbeat
    ) -> None:
        local_id = self._directory.local_record.node_id
        # It may be addressed to a node that used this address before.
        if message.receiver != hash_node_id(local_id):
            return
        incarnation = self._endpoint.incarnation_of(sender)
        if not self._links.record_heartbeat(sender, incarnation, message):
            return
        if sender not in self._watches and not message.reply:
            self._send_to(sender, address, is_reply=True)
        self.check_config_version(message.config_version, sender, address)
        self._notify_if_unreachable(sender, address)
        record = self._directory.node(sender)
        if record is None or record.incarnation < incarnation:
            self._endpoint.send(address, RecordsRequest((sender,)))

    def _notify_if_unreachable(self, sender: str, address: Address) -> None:
        """Notify a live peer of its reports or tombstone, for it to refute."""
        record = self._directory.node(sender)
        if self._directory.is_reachable(sender):
            return
        record = self._directory.tombstone(sender) or record
        if record is None or not self._links.try_notify(sender):
            return
        if record.state is NodeState.GONE:
            message = Records(changes=(RecordChange(record),))
        else:
            reports = self._directory.reports(sender)
            message = Records(unreachable=tuple(reports))
        self._endpoint.send(address, message)

    def _handle_old_incarnation(self, sender: str, address: Address) -> None:
        """Send a process whose clock is behind the record of its node id.

        It then continues above the incarnation of this record.
        """
        record = self._directory.node(sender)
        if record is None or not self._links.try_notify(sender):
            return
        without_servers = attrs.evolve(record, servers=())
        message = Records(changes=(RecordChange(without_servers),))
        self._endpoint.send(address, message)
