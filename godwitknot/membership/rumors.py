"""Rumours that this node still spreads."""

import math
import threading
from collections.abc import Hashable, Iterable

import attrs

from godwitknot.clock import Clock
from godwitknot.control import codec
from godwitknot.control.messages import (
    Clearance,
    CrashReport,
    RecordChange,
    Rumors,
    Unreachable,
    VersionEntry,
)
from godwitknot.control.recordchanges import CHANGE_BYTES, size_of
from godwitknot.control.records import NodeRecord

FAN_OUT = 3
# Hearing a rumour from a peer shows that it is known; counting it like one
# round of sends lets a rumour end after about 8 sends instead of 27.
_HEARD_WEIGHT = FAN_OUT
# Sends of a report that hearing it does not replace. Anti-entropy and
# heartbeats bring records and versions to nodes that a rumour misses, but
# nothing repeats a report. Of 420 nodes one is missed with a computed chance
# of 420 x e^-15, about 1 in 8,000.
_REPORT_SENDS = 15
_EAGER_BYTES = 250
_CRASH_HOLD_SECONDS = 3600
# Outlives a rumour; a later clearance of the same request is news again.
_CLEARANCE_HOLD_SECONDS = 60


@attrs.frozen
class ConfigNotice:
    """A configuration version as a rumour."""

    version: int


Item = (
    RecordChange
    | VersionEntry
    | Unreachable
    | CrashReport
    | Clearance
    | ConfigNotice
)


@attrs.define
class _Rumor:
    item: Item
    size: int
    left: int
    # Part of ``left`` that only own sends use up.
    reserved: int

    def hear(self) -> None:
        self.left = max(self.left - _HEARD_WEIGHT, self.reserved)

    def note_sent(self) -> None:
        self.left -= 1
        self.reserved = max(self.reserved - 1, 0)


def pack_items(items: Iterable[Item]) -> Rumors:
    """Put items into one message."""
    chosen = list(items)
    versions = [
        item.version for item in chosen if isinstance(item, ConfigNotice)
    ]
    return Rumors(
        unreachable=_pick(chosen, Unreachable),
        crashes=_pick(chosen, CrashReport),
        clearances=_pick(chosen, Clearance),
        config_version=max(versions, default=0),
        changes=_pick(chosen, RecordChange),
        news=_pick(chosen, VersionEntry),
    )


def _pick(items: list[Item], wanted: type) -> tuple:
    return tuple(item for item in items if isinstance(item, wanted))


def choose_news(changes: list[RecordChange]) -> Item:
    """Choose how a new version of a record is spread.

    Each node receives a rumour about 8 times. So a large record is not the
    rumour itself: its version is, and who lacks it asks for the record.
    """
    change = changes[0]
    if change.parts == 1 and size_of(change) <= _EAGER_BYTES:
        return change
    return VersionEntry(change.record.node_id, *change.record.freshness)


def _key(item: Item) -> Hashable:
    """Name the slot of an item; a newer item takes its predecessor's."""
    if isinstance(item, RecordChange):
        return (NodeRecord, item.record.node_id)
    if isinstance(item, VersionEntry):
        return (NodeRecord, item.node_id)
    if isinstance(item, ConfigNotice):
        return ConfigNotice
    return item


def _is_same_news(first: Item, second: Item) -> bool:
    return _version_of(first) == _version_of(second)


def _version_of(item: Item) -> object:
    """Tell news of a record by its version, whichever way it is sent."""
    if isinstance(item, RecordChange):
        return item.record.freshness
    if isinstance(item, VersionEntry):
        return (item.incarnation, item.version)
    return item


class RumorBuffer:
    """Items with the number of sends left for each."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._rumors: dict[Hashable, _Rumor] = {}
        self._seen: dict[Hashable, float] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        """Give the number of items that have sends left."""
        return len(self._rumors)

    def add(self, item: Item, nodes: int) -> None:
        """Spread an item, in place of an older one of the same subject.

        :param nodes: size of the fleet.
        """
        limit = math.ceil(FAN_OUT * math.log2(max(nodes, 2)))
        size = len(codec.encode(pack_items([item])))
        with self._lock:
            self._rumors[_key(item)] = _Rumor(
                item, size, limit, _count_reserved(item, limit)
            )

    def hear(self, item: Item) -> None:
        """Count an item that a peer sent and that was known here."""
        key = _key(item)
        with self._lock:
            rumor = self._rumors.get(key)
            if rumor is not None and _is_same_news(rumor.item, item):
                rumor.hear()
                self._end_if_spent(key, rumor)

    def select(self) -> list[Item]:
        """Choose the items for one datagram, those least sent first."""
        chosen: list[Item] = []
        room = CHANGE_BYTES
        with self._lock:
            ordered = sorted(self._rumors.values(), key=_sends_left)
            for rumor in reversed(ordered):
                if rumor.size <= room:
                    chosen.append(rumor.item)
                    room -= rumor.size
        return chosen

    def note_sent(self, items: Iterable[Item]) -> None:
        """Count one send of each item."""
        with self._lock:
            for item in items:
                rumor = self._rumors.get(_key(item))
                if rumor is not None and rumor.item is item:
                    rumor.note_sent()
                    self._end_if_spent(_key(item), rumor)

    def is_first(self, item: CrashReport | Clearance) -> bool:
        """Tell whether a report is heard for the first time, and note it."""
        now = self._clock.now()
        with self._lock:
            if self._seen.get(item, 0) > now:
                return False
            self._seen = {
                key: until for key, until in self._seen.items() if until > now
            }
            self._remember(item, now)
        return True

    def _remember(self, item: CrashReport | Clearance, now: float) -> None:
        if isinstance(item, Clearance):
            self._seen[item] = now + _CLEARANCE_HOLD_SECONDS
            return
        self._seen[item] = now + _CRASH_HOLD_SECONDS
        # A success after this crash is news, even if one before it was heard.
        for fingerprint in item.fingerprints:
            self._seen.pop(Clearance(item.service, fingerprint), None)

    def _end_if_spent(self, key: Hashable, rumor: _Rumor) -> None:
        if rumor.left <= 0:
            self._rumors.pop(key)


def _count_reserved(item: Item, limit: int) -> int:
    if isinstance(item, CrashReport | Clearance):
        return min(limit, _REPORT_SENDS)
    return 0


def _sends_left(rumor: _Rumor) -> int:
    return rumor.left
