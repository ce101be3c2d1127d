"""Buffer of the rumors that this node still sends to other nodes."""

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
from godwitknot.control.recordchanges import MAX_CHANGE_BYTES, encoded_size
from godwitknot.control.records import NodeRecord

FAN_OUT = 3
# A duplicate from a peer shows that the rumor is already known there. It
# counts like one round of sends, so that a rumor ends after about 8 sends
# instead of 27.
_DUPLICATE_WEIGHT = FAN_OUT
# Sends of a report that duplicates do not replace. Anti-entropy and heartbeats
# bring records and versions to nodes that a rumor misses, but nothing repeats
# a report. With 420 nodes the probability that any node misses it is
# 420 x e^-15, about 1 in 8,000.
_RESERVED_REPORT_SENDS = 15
# Larger records are not sent as rumors; their versions are announced.
_MAX_INLINE_BYTES = 250
_CRASH_RETENTION_SECONDS = 3600
# Longer than a rumor is sent; a later clearance of the same request is
# spread again.
_CLEARANCE_RETENTION_SECONDS = 60


@attrs.frozen
class ConfigNotice:
    """A configuration version, sent as a rumor."""

    version: int


RumorItem = (
    RecordChange
    | VersionEntry
    | Unreachable
    | CrashReport
    | Clearance
    | ConfigNotice
)


@attrs.define
class _Rumor:
    item: RumorItem
    size: int
    sends_left: int
    # Part of ``sends_left`` that duplicates do not reduce.
    reserved: int

    def record_duplicate(self) -> None:
        self.sends_left = max(
            self.sends_left - _DUPLICATE_WEIGHT, self.reserved
        )

    def record_sent(self) -> None:
        self.sends_left -= 1
        self.reserved = max(self.reserved - 1, 0)


def pack_items(items: Iterable[RumorItem]) -> Rumors:
    """Combine items into one message."""
    chosen = list(items)
    versions = [
        item.version for item in chosen if isinstance(item, ConfigNotice)
    ]
    return Rumors(
        unreachable=_select_type(chosen, Unreachable),
        crashes=_select_type(chosen, CrashReport),
        clearances=_select_type(chosen, Clearance),
        config_version=max(versions, default=0),
        changes=_select_type(chosen, RecordChange),
        news=_select_type(chosen, VersionEntry),
    )


def _select_type(items: list[RumorItem], wanted: type) -> tuple:
    return tuple(item for item in items if isinstance(item, wanted))


def choose_rumor_item(changes: list[RecordChange]) -> RumorItem:
    """Choose the rumor for a new version of a record.

    Each node receives a rumor about 8 times. So only the version of a large
    record is announced, and the nodes that lack it request the record.
    """
    change = changes[0]
    if change.parts == 1 and encoded_size(change) <= _MAX_INLINE_BYTES:
        return change
    return VersionEntry(change.record.node_id, *change.record.freshness)


def _subject_key(item: RumorItem) -> Hashable:
    """Return the key of an item's subject; a newer item replaces the older."""
    if isinstance(item, RecordChange):
        return (NodeRecord, item.record.node_id)
    if isinstance(item, VersionEntry):
        return (NodeRecord, item.node_id)
    if isinstance(item, ConfigNotice):
        return ConfigNotice
    return item


def _is_same_version(first: RumorItem, second: RumorItem) -> bool:
    return _identity_of(first) == _identity_of(second)


def _identity_of(item: RumorItem) -> object:
    """Return what identifies an item, the freshness in case of a record.

    A record and the announcement of its version have the same identity.
    """
    if isinstance(item, RecordChange):
        return item.record.freshness
    if isinstance(item, VersionEntry):
        return (item.incarnation, item.version)
    return item


class RumorBuffer:
    """Rumors with the number of remaining sends of each."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty buffer."""
        self._clock = clock
        self._rumors: dict[Hashable, _Rumor] = {}
        self._seen: dict[Hashable, float] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        """Return the number of items that have sends left."""
        return len(self._rumors)

    def add(self, item: RumorItem, nodes: int) -> None:
        """Add an item, replacing an older one of the same subject.

        :param nodes: number of nodes, which determines the number of sends.
        """
        limit = math.ceil(FAN_OUT * math.log2(max(nodes, 2)))
        size = len(codec.encode(pack_items([item])))
        with self._lock:
            self._rumors[_subject_key(item)] = _Rumor(
                item, size, limit, _count_reserved(item, limit)
            )

    def record_duplicate(self, item: RumorItem) -> None:
        """Record that a peer sent an item which was already known here."""
        key = _subject_key(item)
        with self._lock:
            rumor = self._rumors.get(key)
            if rumor is not None and _is_same_version(rumor.item, item):
                rumor.record_duplicate()
                self._remove_if_exhausted(key, rumor)

    def select(self) -> list[RumorItem]:
        """Select items that fit one datagram, those with most sends left."""
        chosen: list[RumorItem] = []
        free_bytes = MAX_CHANGE_BYTES
        with self._lock:
            ordered = sorted(self._rumors.values(), key=_sends_left)
            for rumor in reversed(ordered):
                if rumor.size <= free_bytes:
                    chosen.append(rumor.item)
                    free_bytes -= rumor.size
        return chosen

    def record_sent(self, items: Iterable[RumorItem]) -> None:
        """Record one send of each item."""
        with self._lock:
            for item in items:
                rumor = self._rumors.get(_subject_key(item))
                if rumor is not None and rumor.item is item:
                    rumor.record_sent()
                    self._remove_if_exhausted(_subject_key(item), rumor)

    def mark_seen(self, item: CrashReport | Clearance) -> bool:
        """Record a report as seen.

        :returns: whether it had not been seen within its retention period.
        """
        now = self._clock.now()
        with self._lock:
            if self._seen.get(item, 0) > now:
                return False
            self._seen = {
                key: until for key, until in self._seen.items() if until > now
            }
            self._record_seen(item, now)
        return True

    def _record_seen(self, item: CrashReport | Clearance, now: float) -> None:
        if isinstance(item, Clearance):
            self._seen[item] = now + _CLEARANCE_RETENTION_SECONDS
            return
        self._seen[item] = now + _CRASH_RETENTION_SECONDS
        # A success after this crash must spread, even if an earlier clearance
        # of the same request was seen.
        for fingerprint in item.fingerprints:
            self._seen.pop(Clearance(item.service, fingerprint), None)

    def _remove_if_exhausted(self, key: Hashable, rumor: _Rumor) -> None:
        if rumor.sends_left <= 0:
            self._rumors.pop(key)


def _count_reserved(item: RumorItem, limit: int) -> int:
    if isinstance(item, CrashReport | Clearance):
        return min(limit, _RESERVED_REPORT_SENDS)
    return 0


def _sends_left(rumor: _Rumor) -> int:
    return rumor.sends_left
