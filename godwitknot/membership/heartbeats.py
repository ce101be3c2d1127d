"""Heartbeats of a node: sending, answering, and reports of silence."""

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
from godwitknot.membership.directoryhash import hash_name
from godwitknot.membership.links import LinkState, LinkTable
from godwitknot.membership.peerwatch import WatchSet
from godwitknot.units import Address

SpreadReport = Callable[[Unreachable], None]
TellConfig = Callable[[int, str, Address], None]


class Heartbeats:
    """Watches peers and answers those that watch this node."""

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        clock: Clock,
        spread_report: SpreadReport,
        tell_config: TellConfig,
    ) -> None:
        """Subscribe to heartbeats.

        :param spread_report: spreads a report of this node as a rumour.
        :param tell_config: gets version, node id and address of a peer.
        """
        self.config_version = 0
        self._directory = directory
        self._endpoint = endpoint
        self._spread_report = spread_report
        self._tell_config = tell_config
        self._links = LinkTable(clock)
        self._watches = WatchSet(
            self._links, clock, self._send_heartbeat, self._report_silence
        )
        endpoint.subscribe(Heartbeat, self._take_heartbeat)
        endpoint.subscribe_old_incarnations(self._answer_old)

    def refresh(self) -> None:
        """Watch the peers that the directory names now."""
        watched = self._directory.watched()
        self._watches.set_peers({each.node_id for each in watched})

    def stop(self) -> None:
        """End all watches."""
        self._watches.stop()

    def link(self, peer: str) -> LinkState:
        """Give the state of the link to a peer."""
        return self._links.state(peer)

    def note_config(self, version: int, peer: str, address: Address) -> None:
        """Tell of a peer's configuration version if it is higher."""
        if version > self.config_version:
            self._tell_config(version, peer, address)

    def _send_heartbeat(self, peer: str) -> None:
        record = self._directory.node(peer)
        if record is not None:
            self._beat(peer, record.peer, is_reply=False)

    def _beat(self, peer: str, address: Address, *, is_reply: bool) -> None:
        sequence, last_heard = self._links.next_counters(peer)
        message = Heartbeat(
            sequence,
            last_heard,
            self._directory.hash,
            self.config_version,
            hash_name(peer),
            is_reply,
        )
        self._endpoint.send(address, message)

    def _report_silence(self, peer: str) -> None:
        """Report a watched peer whose link is not whole."""
        record = self._directory.node(peer)
        # Two reports are enough for everybody; a third would only cost.
        if record is None or not self._directory.is_reachable(peer):
            return
        own = self._directory.local_record.node_id
        report = Unreachable(own, peer, *record.freshness)
        if self._directory.report_unreachable(report):
            self._spread_report(report)

    def _take_heartbeat(
        self, sender: str, address: Address, message: Heartbeat
    ) -> None:
        own = self._directory.local_record.node_id
        # It may be meant for a node that had this address before.
        if message.receiver != hash_name(own):
            return
        incarnation = self._endpoint.incarnation_of(sender)
        if not self._links.note(sender, incarnation, message):
            return
        if sender not in self._watches and not message.reply:
            self._beat(sender, address, is_reply=True)
        self.note_config(message.config_version, sender, address)
        self._complain(sender, address)
        record = self._directory.node(sender)
        if record is None or record.incarnation < incarnation:
            self._endpoint.send(address, RecordsRequest((sender,)))

    def _complain(self, sender: str, address: Address) -> None:
        """Tell a peer that is heard but counts as lost, so that it refutes."""
        record = self._directory.node(sender)
        if self._directory.is_reachable(sender):
            return
        record = self._directory.tombstone(sender) or record
        if record is None or not self._links.may_complain(sender):
            return
        if record.state is NodeState.GONE:
            message = Records(changes=(RecordChange(record),))
        else:
            reports = self._directory.reports(sender)
            message = Records(unreachable=tuple(reports))
        self._endpoint.send(address, message)

    def _answer_old(self, sender: str, address: Address) -> None:
        """Show a process whose clock is behind the record of its id."""
        record = self._directory.node(sender)
        if record is None or not self._links.may_complain(sender):
            return
        head = attrs.evolve(record, servers=())
        message = Records(changes=(RecordChange(head),))
        self._endpoint.send(address, message)
