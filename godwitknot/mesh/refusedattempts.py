"""Attempts that the local server has refused."""

import heapq

from godwitknot.clock import Clock

# An attempt may be offered again with a later deadline, since the time that is
# left is measured before the offer travels to this node.
_MARGIN_SECONDS = 10.0
# Of an attempt; 132 as measured with 5,000, and its id.
_ATTEMPT_BYTES = 220


class RefusedAttempts:
    """Ids of refused attempts, until they can no longer be offered again."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty record."""
        self._clock = clock
        self._ids: set[str] = set()
        self._expiries: list[tuple[float, str]] = []

    def add(self, attempt_id: str, deadline: float) -> None:
        """Record a refused attempt.

        :param deadline: clock time at which the attempt ends, in seconds.
        """
        self._remove_expired()
        if attempt_id not in self._ids:
            self._ids.add(attempt_id)
            expiry = deadline + _MARGIN_SECONDS
            heapq.heappush(self._expiries, (expiry, attempt_id))

    def __contains__(self, attempt_id: str) -> bool:
        """Return whether the server has refused an attempt."""
        return attempt_id in self._ids

    def __len__(self) -> int:
        """Return the number of recorded attempts."""
        return len(self._ids)

    @property
    def table_bytes(self) -> int:
        """Estimated size of the record, in bytes."""
        return _ATTEMPT_BYTES * len(self._expiries)

    def _remove_expired(self) -> None:
        now = self._clock.now()
        while self._expiries and self._expiries[0][0] <= now:
            self._ids.remove(heapq.heappop(self._expiries)[1])
