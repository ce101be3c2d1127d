"""Spreading of rumours to random peers within the byte budget."""

import collections
import random
import threading

from godwitknot.clock import Clock
from godwitknot.control.bytebudget import ByteBudget
from godwitknot.control.messages import RecordChange
from godwitknot.control.recordchanges import find_change, split_record
from godwitknot.control.records import NodeRecord
from godwitknot.control.transport import Endpoint
from godwitknot.membership.directory import Directory
from godwitknot.membership.rumors import (
    FAN_OUT,
    ConfigNotice,
    Item,
    RumorBuffer,
    choose_news,
    pack_items,
)
from godwitknot.units import Address

_ROUND_SECONDS = 0.2
# Own changes within this time are sent together, so that a change that
# overtakes another needs no second transfer.
_CHANGE_SPAN_SECONDS = 10
# A node that stops tells its last state to some more peers.
_LAST_ROUNDS = 3


class OwnChanges:
    """What the rumour of an own change holds."""

    def __init__(self, own: NodeRecord, clock: Clock) -> None:
        """Start with the record that nobody knows yet."""
        self._clock = clock
        self._last = own
        self._past: collections.deque[tuple[float, NodeRecord]] = (
            collections.deque()
        )

    def make(self, record: NodeRecord) -> list[RecordChange]:
        """Give the changes from recent versions to this one."""
        now = self._clock.now()
        self._past.append((now, self._last))
        self._last = record
        while self._past[0][0] < now - _CHANGE_SPAN_SECONDS:
            self._past.popleft()
        base, *between = [past for _, past in self._past]
        if base.incarnation != record.incarnation:
            self._past.clear()
            return split_record(record)
        return find_change(base, record, between)


class Spreader:
    """Thread that sends the rumours of a node to random peers."""

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        clock: Clock,
        budget: ByteBudget,
        rng: random.Random,
    ) -> None:
        """Start with the own record as the only rumour."""
        self.buffer = RumorBuffer(clock)
        self.seeds: tuple[Address, ...] = ()
        self._directory = directory
        self._endpoint = endpoint
        self._budget = budget
        self._rng = rng
        self._own_changes = OwnChanges(directory.local_record, clock)
        self._heard_config = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='rumors', daemon=True
        )
        self.add_changes(split_record(directory.local_record))

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and send what is left a few times more."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        for _ in range(_LAST_ROUNDS):
            self._spread_round()

    def add(self, item: Item) -> None:
        """Spread an item."""
        self.buffer.add(item, self._directory.count)

    def add_changes(self, changes: list[RecordChange]) -> None:
        """Spread a new version of a record."""
        self.add(choose_news(changes))

    def add_own(self, record: NodeRecord) -> None:
        """Spread a new version of the own record."""
        self.add_changes(self._own_changes.make(record))

    def add_config(self, version: int) -> None:
        """Spread a configuration version, if it is the highest heard."""
        if version > self._heard_config:
            self._heard_config = version
            self.add(ConfigNotice(version))

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._spread_round()
            self._stopped.wait(_ROUND_SECONDS)

    def _spread_round(self) -> None:
        items = self.buffer.select()
        if not items:
            return
        message = pack_items(items)
        for address in self._choose_targets():
            datagram = self._endpoint.sign_message(message)
            if not self._budget.try_take(len(datagram.payload)):
                return
            self._endpoint.send_signed(address, datagram)
            self.buffer.note_sent(items)

    def _choose_targets(self) -> list[Address]:
        own = self._directory.local_record.node_id
        peers = [
            record.peer
            for record in self._directory.nodes()
            if record.node_id != own
            and self._directory.is_reachable(record.node_id)
        ]
        candidates = peers or list(self.seeds)
        return self._rng.sample(candidates, min(FAN_OUT, len(candidates)))
