"""Graceful shutdown: which requests are still accepted, and when to exit."""

import math

from godwitknot.clock import Clock
from godwitknot.mesh.model import Bounds

# The platform routes callers to other nodes after two failed readiness checks,
# which it sends once a second.
_REROUTE_SECONDS = 2.6
# Largest share of a short grace period spent waiting for the rerouting; the
# rest is left to the requests accepted until then.
_MAX_REROUTE_SHARE = 0.5
# Reserved at the end of the grace period for the exit itself, and its largest
# share of a short one.
_EXIT_SECONDS = 0.6
_MAX_EXIT_SHARE = 0.1
# Time to write the response of a request that runs until its deadline.
_RESPONSE_SECONDS = 0.2


class Shutdown:
    """Decides which requests a stopping process accepts.

    Callers may keep sending until the exit, for example if most nodes of
    their failure domain stop together. Each accepted request must be answered
    before the exit.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the state of a process that is not stopping."""
        self._clock = clock
        self._rerouted_at = float(0)
        self._exit_at = float(0)
        self._closed = False
        self.stopping = False

    def begin(self, bounds: Bounds) -> None:
        """Start the shutdown.

        :param bounds: contain the grace period until the process is killed.
        """
        grace = bounds.stop_grace_seconds
        now = self._clock.now()
        self._rerouted_at = now + min(
            _REROUTE_SECONDS, _MAX_REROUTE_SHARE * grace
        )
        self._exit_at = (
            now + grace - min(_EXIT_SECONDS, _MAX_EXIT_SHARE * grace)
        )
        self.stopping = True

    def close(self) -> None:
        """Reject all further requests, just before the exit."""
        self._closed = True

    def admits(self, deadline: float) -> bool:
        """Return whether a request may be accepted.

        :param deadline: of the request, on the node's clock.
        """
        if not self.stopping:
            return True
        if self._closed:
            return False
        if self._clock.now() < self._rerouted_at:
            return True
        return deadline <= self._exit_at - _RESPONSE_SECONDS

    @property
    def seconds_left(self) -> float:
        """Seconds in which accepted work has to end, infinite if not stopping."""
        if not self.stopping:
            return math.inf
        if self._closed:
            return 0
        return self._exit_at - _RESPONSE_SECONDS - self._clock.now()

    def may_exit(self, *, busy: bool) -> bool:
        """Return whether a stopping process may exit.

        :param busy: whether accepted requests are unanswered.
        """
        if not self.stopping:
            return False
        earliest = self._exit_at if busy else self._rerouted_at
        return self._clock.now() >= earliest
