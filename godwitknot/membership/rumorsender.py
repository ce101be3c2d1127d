"""Sends rumors to random peers within a byte budget."""

import collections
import random
import threading

from godwitknot.clock import Clock
from godwitknot.control.bytebudget import ByteBudget
from godwitknot.control.messages import RecordChange
from godwitknot.control.recordchanges import diff_records, split_record
from godwitknot.control.records import NodeRecord
from godwitknot.control.transport import Endpoint
from godwitknot.membership.directory import Directory
from godwitknot.membership.rumors import (
    FAN_OUT,
    ConfigNotice,
    RumorBuffer,
    RumorItem,
    choose_rumor_item,
    pack_items,
)
from godwitknot.units import Address

_ROUND_SECONDS = 0.2
# Each change is sent together with the local changes of this time before it,
# so that a change that overtakes another one needs no second transfer.
_COMBINE_SECONDS = 10
# Additional rounds in which a stopping node sends its final state.
_FINAL_ROUNDS = 3


class LocalChanges:
    """Recent versions of the local record, for deltas that cover them all."""

    def __init__(self, local: NodeRecord, clock: Clock) -> None:
        """Start with the first version of the record."""
        self._clock = clock
        self._latest = local
        self._recent: collections.deque[tuple[float, NodeRecord]] = (
            collections.deque()
        )

    def make_delta(self, record: NodeRecord) -> list[RecordChange]:
        """Return the changes from all recent versions to this one."""
        now = self._clock.now()
        self._recent.append((now, self._latest))
        self._latest = record
        while self._recent[0][0] < now - _COMBINE_SECONDS:
            self._recent.popleft()
        base, *intermediate = [earlier for _, earlier in self._recent]
        if base.incarnation != record.incarnation:
            self._recent.clear()
            return split_record(record)
        return diff_records(base, record, intermediate)


class RumorSender:
    """Thread that sends the rumors of a node to random peers."""

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        clock: Clock,
        budget: ByteBudget,
        rng: random.Random,
    ) -> None:
        """Create the thread, with the local record as the first rumor.

        :param budget: limits the bytes of all rumors.
        """
        self.buffer = RumorBuffer(clock)
        self.seeds: tuple[Address, ...] = ()
        self._directory = directory
        self._endpoint = endpoint
        self._budget = budget
        self._rng = rng
        self._local_changes = LocalChanges(directory.local_record, clock)
        self._config_version = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='rumors', daemon=True
        )
        self.add_changes(split_record(directory.local_record))

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and send the remaining rumors in a few rounds."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        for _ in range(_FINAL_ROUNDS):
            self._send_round()

    def add(self, item: RumorItem) -> None:
        """Spread an item as a rumor."""
        self.buffer.add(item, self._directory.count)

    def add_changes(self, changes: list[RecordChange]) -> None:
        """Spread a new version of a record."""
        self.add(choose_rumor_item(changes))

    def add_local(self, record: NodeRecord) -> None:
        """Spread a new version of the local record."""
        self.add_changes(self._local_changes.make_delta(record))

    def add_config(self, version: int) -> None:
        """Spread a configuration version, if it is the highest so far."""
        if version > self._config_version:
            self._config_version = version
            self.add(ConfigNotice(version))

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._send_round()
            self._stopped.wait(_ROUND_SECONDS)

    def _send_round(self) -> None:
        items = self.buffer.select()
        if not items:
            return
        message = pack_items(items)
        for address in self._choose_targets():
            datagram = self._endpoint.sign_message(message)
            if not self._budget.try_consume(len(datagram.payload)):
                return
            self._endpoint.send_signed(address, datagram)
            self.buffer.record_sent(items)

    def _choose_targets(self) -> list[Address]:
        local_id = self._directory.local_record.node_id
        peers = [
            record.peer
            for record in self._directory.nodes()
            if record.node_id != local_id
            and self._directory.is_reachable(record.node_id)
        ]
        candidates = peers or list(self.seeds)
        return self._rng.sample(candidates, min(FAN_OUT, len(candidates)))
