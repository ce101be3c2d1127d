"""Pace at which a node refutes reports that it is unreachable."""

from godwitknot.clock import Clock

_FIRST_PAUSE_SECONDS = 5.0
_LONGEST_PAUSE_SECONDS = 320.0
_QUIET_SECONDS = 600.0


class RefutationPace:
    """Doubles the pause between refutations while reports keep coming.

    Watchers that a node can hear but not reach would otherwise make it
    spread a new record version every few seconds.
    """

    def __init__(self, clock: Clock) -> None:
        """Allow the first refutation at once."""
        self._clock = clock
        self._pause: float = 0
        self._last = clock.now() - _QUIET_SECONDS

    def try_refute(self) -> bool:
        """Tell whether a refutation may be made now, and count it."""
        since = self._clock.now() - self._last
        if since >= self._pause + _QUIET_SECONDS:
            self._pause = 0
        if since < self._pause:
            return False
        self._last = self._clock.now()
        doubled = max(self._pause * 2, _FIRST_PAUSE_SECONDS)
        self._pause = min(doubled, _LONGEST_PAUSE_SECONDS)
        return True
