"""When and with which peer a node compares its directory."""

import random
from collections.abc import Sequence

from godwitknot.membership.directory import Directory
from godwitknot.units import Address

_INTERVAL_SECONDS = 5.0
_JITTER_FACTORS = (0.8, 1.2)
# While a joining node has far fewer records than its peers.
_JOIN_INTERVAL_SECONDS = 0.3
_MAX_JOIN_INTERVAL_SECONDS = 5
# Tombstones expire at slightly different times on different nodes, so a
# slightly lower number of records does not mean that this node is joining.
_JOINED_SHARE = 0.9


class ReconcileSchedule:
    """Chooses the intervals and peers of exchanges between directories.

    A node that joins the fleet exchanges more often than one that already
    has most of the records.
    """

    def __init__(self, directory: Directory, rng: random.Random) -> None:
        """Create the schedule of a node that knows no other node."""
        self._directory = directory
        self._rng = rng
        self._peer_count = 0
        self._last_count = 0
        self._interval = _JOIN_INTERVAL_SECONDS

    def record_peer_count(self, count: int) -> None:
        """Record how many records a peer has."""
        self._peer_count = count

    def is_joining(self) -> bool:
        """Return whether many records are still missing."""
        local_count = self._directory.count
        return (
            local_count == 1 or local_count < self._peer_count * _JOINED_SHARE
        )

    def next_interval(self) -> float:
        """Return the seconds until the next exchange."""
        if not self.is_joining():
            # The jitter spreads the exchanges of nodes that started together.
            return _INTERVAL_SECONDS * self._rng.uniform(*_JITTER_FACTORS)
        # Peers whose budget is used up do not reply; shorter intervals would
        # only put load on the seeds.
        has_grown = self._directory.count > self._last_count
        doubled = min(self._interval * 2, _MAX_JOIN_INTERVAL_SECONDS)
        self._interval = _JOIN_INTERVAL_SECONDS if has_grown else doubled
        self._last_count = self._directory.count
        return self._interval

    def choose_peer(self, seeds: Sequence[Address]) -> Address | None:
        """Choose a random peer, or a seed while no peer is known.

        Unreachable peers are included, so that both sides of a partition
        find each other when it ends.
        """
        local = self._directory.local_record
        peers = [
            record.peer
            for record in self._directory.nodes()
            if record.node_id != local.node_id
        ]
        candidates = peers or [each for each in seeds if each != local.peer]
        return self._rng.choice(candidates) if candidates else None
