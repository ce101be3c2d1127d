"""Whom a node compares its directory with, and how often."""

import random
from collections.abc import Sequence

from godwitknot.membership.directory import Directory
from godwitknot.units import Address

_INTERVAL_SECONDS = 5.0
_JITTER = (0.8, 1.2)
# Until a node that joins holds about as many records as its peers.
_JOIN_INTERVAL_SECONDS = 0.3
_LONGEST_JOIN_INTERVAL_SECONDS = 5
# Tombstones expire at slightly different times on different nodes, so a
# small difference in number does not mean that this node is joining.
_JOINED_SHARE = 0.9


class Joining:
    """Tells a node that joins from one that only keeps up."""

    def __init__(self, directory: Directory, rng: random.Random) -> None:
        """Start as a node that knows nobody."""
        self._directory = directory
        self._rng = rng
        self._largest_count = 0
        self._last_count = 0
        self._pause = _JOIN_INTERVAL_SECONDS

    def note_count(self, count: int) -> None:
        """Note how many records a peer holds."""
        self._largest_count = count

    def is_joining(self) -> bool:
        """Tell whether most records are still missing."""
        own = self._directory.count
        return own == 1 or own < self._largest_count * _JOINED_SHARE

    def pause(self) -> float:
        """Give the seconds until the next exchange."""
        if not self.is_joining():
            # Spreads the rounds of nodes that started together.
            return _INTERVAL_SECONDS * self._rng.uniform(*_JITTER)
        # Peers without budget do not answer; asking more often would only
        # load the seeds.
        grown = self._directory.count > self._last_count
        doubled = min(self._pause * 2, _LONGEST_JOIN_INTERVAL_SECONDS)
        self._pause = _JOIN_INTERVAL_SECONDS if grown else doubled
        self._last_count = self._directory.count
        return self._pause

    def choose_peer(self, seeds: Sequence[Address]) -> Address | None:
        """Choose a random peer, or a seed while no peer is known.

        Unreachable peers are chosen too, so that two halves of the fleet
        find each other when a partition ends.
        """
        own = self._directory.local_record
        peers = [
            record.peer
            for record in self._directory.nodes()
            if record.node_id != own.node_id
        ]
        candidates = peers or [each for each in seeds if each != own.peer]
        return self._rng.choice(candidates) if candidates else None
