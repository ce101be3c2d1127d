"""Records that were asked for because a rumour told of their version."""

import threading
from collections.abc import Iterable

import attrs

from godwitknot.clock import Clock
from godwitknot.control.messages import VersionEntry
from godwitknot.control.records import NodeRecord
from godwitknot.membership.directory import Directory
from godwitknot.membership.reconcile import Reconciler
from godwitknot.membership.rumorsender import Spreader
from godwitknot.units import Address

# An answer takes one round trip; after this time another peer is asked.
_ANSWER_SECONDS = 1.0
_HOLD_SECONDS = 60


@attrs.frozen
class _Pull:
    freshness: tuple[int, int]
    asked_at: float


class PullBook:
    """Keeps a node from asking several peers for the same record."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing asked for."""
        self._clock = clock
        self._pulls: dict[str, _Pull] = {}
        self._lock = threading.Lock()

    def try_ask(self, entry: VersionEntry) -> bool:
        """Tell whether to ask for a version now, and note it."""
        now = self._clock.now()
        freshness = (entry.incarnation, entry.version)
        with self._lock:
            pull = self._pulls.get(entry.node_id)
            if pull is not None and pull.freshness >= freshness:
                if now - pull.asked_at < _ANSWER_SECONDS:
                    return False
            self._pulls[entry.node_id] = _Pull(freshness, now)
        return True

    def settle(self, record: NodeRecord) -> bool:
        """Tell whether a record that arrived had been asked for."""
        earliest = self._clock.now() - _HOLD_SECONDS
        with self._lock:
            pull = self._pulls.pop(record.node_id, None)
            self._pulls = {
                node_id: other
                for node_id, other in self._pulls.items()
                if other.asked_at >= earliest
            }
        return pull is not None and record.freshness >= pull.freshness


class Puller:
    """Asks for the records that rumours tell of, and spreads them on."""

    def __init__(
        self,
        directory: Directory,
        reconciler: Reconciler,
        spreader: Spreader,
        book: PullBook,
    ) -> None:
        """Take the parts of the control plane that it connects."""
        self._directory = directory
        self._reconciler = reconciler
        self._spreader = spreader
        self._book = book

    def take(self, news: Iterable[VersionEntry], address: Address) -> None:
        """Ask the peer that told of new versions for their records."""
        wanted = []
        for entry in news:
            freshness = (entry.incarnation, entry.version)
            if not self._directory.is_new(entry.node_id, freshness):
                self._spreader.buffer.hear(entry)
            elif self._book.try_ask(entry):
                wanted.append(entry.node_id)
        self._reconciler.request(address, wanted)

    def settle(self, node_id: str) -> None:
        """Spread a record that a rumour led to, not one of anti-entropy."""
        record = self._directory.node(node_id)
        if self._book.settle(record):
            entry = VersionEntry(node_id, *record.freshness)
            self._spreader.add(entry)
