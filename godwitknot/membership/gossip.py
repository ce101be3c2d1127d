"""Control plane of a node: heartbeats, rumors and anti-entropy."""

import random
import threading
from collections.abc import Callable, Iterable

import attrs

from godwitknot.clock import Clock
from godwitknot.control.bytebudget import ByteBudget
from godwitknot.control.messages import (
    Clearance,
    CrashReport,
    RecordChange,
    Records,
    Rumors,
    Unreachable,
)
from godwitknot.control.recordchanges import split_record
from godwitknot.control.records import NodeRecord
from godwitknot.control.transport import Endpoint
from godwitknot.errors import SupersededError
from godwitknot.logs import log_event
from godwitknot.membership.directory import Directory, MergeResult
from godwitknot.membership.heartbeats import Heartbeats
from godwitknot.membership.links import LinkState
from godwitknot.membership.reconcile import Reconciler
from godwitknot.membership.recordfetcher import PendingFetches, RecordFetcher
from godwitknot.membership.rumors import ConfigNotice
from godwitknot.membership.rumorsender import RumorSender
from godwitknot.units import Address

_WATCH_UPDATE_SECONDS = 1
# A node may send and receive 5 KB/s in total. Besides these budgets and the
# heartbeats, about 1.1 KB/s, 1.9 KB/s are left for summaries and promises.
# Rumors and anti-entropy have separate budgets, so that a burst of one does
# not block the other.
RUMOR_BYTES_PER_SECOND = 400
RECONCILE_BYTES_PER_SECOND = 600
_BURST_BYTES = 8000
# Initial level of the anti-entropy budget, so that nodes which start together
# learn of each other sooner.
_INITIAL_BYTES = 64000


@attrs.define
class Listeners:
    """Callbacks; they run on the receiver thread and must not block.

    :param crash: called with each crash report received for the first time.
    :param clearance: called with each clearance received for the first time.
    :param config: called with the version, node id and peer address of a
        node that has a higher configuration version than this one; called
        again at each heartbeat until the version is set here.
    :param superseded: called with the error when another process has taken
        over the node id.
    """

    crash: list[Callable[[CrashReport], None]] = attrs.field(factory=list)
    clearance: list[Callable[[Clearance], None]] = attrs.field(factory=list)
    config: list[Callable[[int, str, Address], None]] = attrs.field(
        factory=list,
    )
    superseded: list[Callable[[SupersededError], None]] = attrs.field(
        factory=list,
    )

    def notify(self, item: CrashReport | Clearance) -> None:
        """Notify of a report that was received for the first time."""
        if isinstance(item, CrashReport):
            listeners = self.crash
        else:
            listeners = self.clearance
        for listener in listeners:
            listener(item)

    def notify_config(self, version: int, peer: str, address: Address) -> None:
        """Notify of a higher configuration version."""
        for listener in self.config:
            listener(version, peer, address)

    def notify_superseded(self, error: SupersededError) -> None:
        """Notify that another process has taken over the node id."""
        for listener in self.superseded:
            listener(error)


class Gossip:
    """Keeps the directory of this node in sync with the fleet.

    Spreads changes as rumors, watches peers by heartbeats, and repairs what
    rumors miss by anti-entropy.
    """

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Subscribe to the directory and the endpoint.

        :param endpoint: started and stopped by the caller.
        :param rng: for choosing peers.
        """
        self.listeners = Listeners()
        self._directory = directory
        self._endpoint = endpoint
        rng = rng or random.Random()
        self._rumor_sender = RumorSender(
            directory,
            endpoint,
            clock,
            ByteBudget(clock, RUMOR_BYTES_PER_SECOND, _BURST_BYTES),
            rng,
        )
        self._reconciler = Reconciler(
            directory,
            endpoint,
            clock,
            ByteBudget(
                clock, RECONCILE_BYTES_PER_SECOND, _BURST_BYTES, _INITIAL_BYTES
            ),
            rng,
        )
        self._heartbeats = Heartbeats(
            directory,
            endpoint,
            clock,
            self._rumor_sender.add,
            self.listeners.notify_config,
        )
        self._record_fetcher = RecordFetcher(
            directory,
            self._reconciler,
            self._rumor_sender,
            PendingFetches(clock),
        )
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='watches', daemon=True
        )
        directory.subscribe(self._handle_directory_change)
        endpoint.subscribe(Rumors, self._handle_rumors)
        endpoint.subscribe(Records, self._handle_records)

    @property
    def config_version(self) -> int:
        """The configuration version of this node, sent in heartbeats."""
        return self._heartbeats.config_version

    def start(self) -> None:
        """Start the threads."""
        self._thread.start()
        self._rumor_sender.start()
        self._reconciler.start()

    def stop(self) -> None:
        """Stop the threads, after sending the last changes."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        self._heartbeats.stop()
        self._reconciler.stop()
        self._rumor_sender.stop()

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Set the addresses to contact while no peer is known.

        :param seeds: peer addresses; that of this node is ignored.
        """
        local_address = self._directory.local_record.peer
        others = tuple(each for each in seeds if each != local_address)
        self._reconciler.seeds = others
        self._rumor_sender.seeds = others

    def spread(self, rumors: Rumors) -> None:
        """Spread rumors that originate at this node."""
        for record in rumors.records:
            self._rumor_sender.add_changes(split_record(record))
        for change in rumors.changes:
            self._rumor_sender.add_changes([change])
        for item in (*rumors.crashes, *rumors.clearances):
            self._rumor_sender.buffer.mark_seen(item)
            self._rumor_sender.add(item)
        for report in rumors.unreachable:
            self._rumor_sender.add(report)
        self._rumor_sender.add_config(rumors.config_version)

    def set_config_version(self, version: int) -> None:
        """Set the configuration version of this node and spread it."""
        self._heartbeats.config_version = version
        self._rumor_sender.add_config(version)

    def link(self, peer: str) -> LinkState:
        """Return the state of the link to a watched peer."""
        return self._heartbeats.link(peer)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._heartbeats.refresh()
            self._stopped.wait(_WATCH_UPDATE_SECONDS)

    def _handle_directory_change(self, record: NodeRecord) -> None:
        if record.node_id != self._directory.local_record.node_id:
            return
        self._endpoint.set_incarnation(record.incarnation)
        self._rumor_sender.add_local(record)

    def _handle_records(
        self, sender: str, address: Address, message: Records
    ) -> None:
        for change in message.changes:
            if self._merge(change) is MergeResult.APPLIED:
                self._record_fetcher.handle_record(change.record.node_id)
        for report in message.unreachable:
            self._directory.report_unreachable(report)

    def _handle_rumors(
        self, sender: str, address: Address, message: Rumors
    ) -> None:
        complete = (RecordChange(record) for record in message.records)
        for change in (*message.changes, *complete):
            self._handle_change(change, address)
        self._record_fetcher.handle_versions(message.news, address)
        for report in message.unreachable:
            self._handle_report(report)
        for item in (*message.crashes, *message.clearances):
            self._handle_item(item)
        if message.config_version:
            self._rumor_sender.buffer.record_duplicate(
                ConfigNotice(message.config_version)
            )
            self._rumor_sender.add_config(message.config_version)
            self._heartbeats.check_config_version(
                message.config_version, sender, address
            )

    def _handle_change(self, change: RecordChange, address: Address) -> None:
        result = self._merge(change)
        node_id = change.record.node_id
        if result is MergeResult.KNOWN:
            self._rumor_sender.buffer.record_duplicate(change)
        elif result is MergeResult.BASE_MISSING:
            self._reconciler.request_records(address, [node_id])
        elif (
            result is MergeResult.APPLIED
            and node_id != self._directory.local_record.node_id
        ):
            self._rumor_sender.add_changes([change])

    def _merge(self, change: RecordChange) -> MergeResult:
        try:
            return self._directory.merge_change(change)
        except SupersededError as error:
            log_event('node id taken over', error=str(error))
            self.listeners.notify_superseded(error)
            return MergeResult.KNOWN

    def _handle_report(self, report: Unreachable) -> None:
        was_reachable = self._directory.is_reachable(report.node_id)
        if self._directory.report_unreachable(report) and was_reachable:
            self._rumor_sender.add(report)
        else:
            self._rumor_sender.buffer.record_duplicate(report)

    def _handle_item(self, item: CrashReport | Clearance) -> None:
        if not self._rumor_sender.buffer.mark_seen(item):
            self._rumor_sender.buffer.record_duplicate(item)
            return
        self._rumor_sender.add(item)
        self.listeners.notify(item)
