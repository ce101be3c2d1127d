"""Control plane of a node: heartbeats, rumours and anti-entropy."""

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
from godwitknot.membership.directory import Directory, Merge
from godwitknot.membership.heartbeats import Heartbeats
from godwitknot.membership.links import LinkState
from godwitknot.membership.reconcile import Reconciler
from godwitknot.membership.recordfetcher import PullBook, Puller
from godwitknot.membership.rumors import ConfigNotice
from godwitknot.membership.rumorsender import Spreader
from godwitknot.units import Address

_WATCH_REFRESH_SECONDS = 1
# Bytes a second. With the heartbeats, about 1.1 KB/s, this leaves 1.9 KB/s
# of the 5 KB/s sent and received for summaries and promises. Rumours and
# anti-entropy have a budget each, so that a storm of the one does not stop
# the other.
RUMOR_RATE = 400
RECONCILE_RATE = 600
_BURST_BYTES = 8000
# Once for each process, so that nodes which start together learn of each
# other sooner.
_START_BYTES = 64000


@attrs.define
class Listeners:
    """Callbacks; they run on the receiver thread and must not block.

    :param config: gets version, node id and peer address of a node that
        tells of a higher configuration version than the one set here; again
        with each heartbeat until it is set.
    :param superseded: gets the error when another process took over the id.
    """

    crash: list[Callable[[CrashReport], None]] = attrs.field(factory=list)
    clearance: list[Callable[[Clearance], None]] = attrs.field(factory=list)
    config: list[Callable[[int, str, Address], None]] = attrs.field(
        factory=list,
    )
    superseded: list[Callable[[SupersededError], None]] = attrs.field(
        factory=list,
    )

    def tell(self, item: CrashReport | Clearance) -> None:
        """Pass on a report that is heard for the first time."""
        if isinstance(item, CrashReport):
            listeners = self.crash
        else:
            listeners = self.clearance
        for listener in listeners:
            listener(item)

    def tell_config(self, version: int, peer: str, address: Address) -> None:
        """Pass on a higher configuration version."""
        for listener in self.config:
            listener(version, peer, address)

    def tell_superseded(self, error: SupersededError) -> None:
        """Pass on that another process took over the node id."""
        for listener in self.superseded:
            listener(error)


class Gossip:
    """Spreads changes, watches peers and keeps the directory equal."""

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Subscribe to the directory and the endpoint.

        :param endpoint: started and stopped by its owner.
        :param rng: for the choice of peers.
        """
        self.listeners = Listeners()
        self._directory = directory
        self._endpoint = endpoint
        rng = rng or random.Random()
        self._spreader = Spreader(
            directory,
            endpoint,
            clock,
            ByteBudget(clock, RUMOR_RATE, _BURST_BYTES),
            rng,
        )
        self._reconciler = Reconciler(
            directory,
            endpoint,
            clock,
            ByteBudget(clock, RECONCILE_RATE, _BURST_BYTES, _START_BYTES),
            rng,
        )
        self._heartbeats = Heartbeats(
            directory,
            endpoint,
            clock,
            self._spreader.add,
            self.listeners.tell_config,
        )
        self._puller = Puller(
            directory, self._reconciler, self._spreader, PullBook(clock)
        )
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='watches', daemon=True
        )
        directory.subscribe(self._take_directory_change)
        endpoint.subscribe(Rumors, self._take_rumors)
        endpoint.subscribe(Records, self._take_records)

    @property
    def config_version(self) -> int:
        """The version in force here, which heartbeats show."""
        return self._heartbeats.config_version

    def start(self) -> None:
        """Start the threads."""
        self._thread.start()
        self._spreader.start()
        self._reconciler.start()

    def stop(self) -> None:
        """Stop the threads, after telling the last changes once more."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        self._heartbeats.stop()
        self._reconciler.stop()
        self._spreader.stop()

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Find the fleet through these addresses, as long as none is known.

        :param seeds: peer addresses; the own one among them is left out.
        """
        own = self._directory.local_record.peer
        others = tuple(each for each in seeds if each != own)
        self._reconciler.seeds = others
        self._spreader.seeds = others

    def spread(self, rumors: Rumors) -> None:
        """Spread news that starts at this node."""
        for record in rumors.records:
            self._spreader.add_changes(split_record(record))
        for change in rumors.changes:
            self._spreader.add_changes([change])
        for item in (*rumors.crashes, *rumors.clearances):
            self._spreader.buffer.is_first(item)
            self._spreader.add(item)
        for report in rumors.unreachable:
            self._spreader.add(report)
        self._spreader.add_config(rumors.config_version)

    def set_config_version(self, version: int) -> None:
        """Set the version in force here and spread it."""
        self._heartbeats.config_version = version
        self._spreader.add_config(version)

    def link(self, peer: str) -> LinkState:
        """Give the state of the link to a watched peer."""
        return self._heartbeats.link(peer)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._heartbeats.refresh()
            self._stopped.wait(_WATCH_REFRESH_SECONDS)

    def _take_directory_change(self, record: NodeRecord) -> None:
        if record.node_id != self._directory.local_record.node_id:
            return
        self._endpoint.set_incarnation(record.incarnation)
        self._spreader.add_own(record)

    def _take_records(
        self, sender: str, address: Address, message: Records
    ) -> None:
        for change in message.changes:
            if self._merge(change) is Merge.APPLIED:
                self._puller.settle(change.record.node_id)
        for report in message.unreachable:
            self._directory.report_unreachable(report)

    def _take_rumors(
        self, sender: str, address: Address, message: Rumors
    ) -> None:
        whole = (RecordChange(record) for record in message.records)
        for change in (*message.changes, *whole):
            self._take_change(change, address)
        self._puller.take(message.news, address)
        for report in message.unreachable:
            self._take_report(report)
        for item in (*message.crashes, *message.clearances):
            self._take_item(item)
        if message.config_version:
            self._spreader.buffer.hear(ConfigNotice(message.config_version))
            self._spreader.add_config(message.config_version)
            self._heartbeats.note_config(
                message.config_version, sender, address
            )

    def _take_change(self, change: RecordChange, address: Address) -> None:
        outcome = self._merge(change)
        node_id = change.record.node_id
        if outcome is Merge.KNOWN:
            self._spreader.buffer.hear(change)
        elif outcome is Merge.BASE_MISSING:
            self._reconciler.request(address, [node_id])
        elif (
            outcome is Merge.APPLIED
            and node_id != self._directory.local_record.node_id
        ):
            self._spreader.add_changes([change])

    def _merge(self, change: RecordChange) -> Merge:
        try:
            return self._directory.merge_change(change)
        except SupersededError as error:
            log_event('node id taken over', error=str(error))
            self.listeners.tell_superseded(error)
            return Merge.KNOWN

    def _take_report(self, report: Unreachable) -> None:
        was_reachable = self._directory.is_reachable(report.node_id)
        if self._directory.report_unreachable(report) and was_reachable:
            self._spreader.add(report)
        else:
            self._spreader.buffer.hear(report)

    def _take_item(self, item: CrashReport | Clearance) -> None:
        if not self._spreader.buffer.is_first(item):
            self._spreader.buffer.hear(item)
            return
        self._spreader.add(item)
        self.listeners.tell(item)
