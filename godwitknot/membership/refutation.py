"""Backoff between refutations of reports that a node is unreachable."""

from godwitknot.clock import Clock

_INITIAL_BACKOFF_SECONDS = 5.0
_MAX_BACKOFF_SECONDS = 320.0
# The backoff is reset this long after it ended, if no report came.
_RESET_SECONDS = 600.0


class RefutationBackoff:
    """Doubles the delay between refutations while reports keep arriving.

    Watchers whose messages arrive but that cannot be reached would
    otherwise make the node spread a new record version every few seconds.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a backoff that allows the first refutation immediately."""
        self._clock = clock
        self._backoff: float = 0
        self._last = clock.now() - _RESET_SECONDS

    def try_refute(self) -> bool:
        """Return whether a refutation is allowed now, and record it if so."""
        elapsed = self._clock.now() - self._last
        if elapsed >= self._backoff + _RESET_SECONDS:
            self._backoff = 0
        if elapsed < self._backoff:
            return False
        self._last = self._clock.now()
        doubled = max(self._backoff * 2, _INITIAL_BACKOFF_SECONDS)
        self._backoff = min(doubled, _MAX_BACKOFF_SECONDS)
        return True
