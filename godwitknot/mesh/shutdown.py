"""The planned stop of this process: what it still takes, and when it exits."""

from godwitknot.clock import Clock
from godwitknot.mesh.model import Bounds

# Callers are sent elsewhere after two failed readiness checks, one a second.
_REROUTE_SECONDS = 2.6
# Where the grace is short, what was taken until then has the rest of it.
_REROUTE_SHARE = 0.5
# The end of the grace that is kept free for the exit itself, and its largest
# part of a short grace.
_EXIT_SECONDS = 0.6
_EXIT_SHARE = 0.1
# From the deadline of a request until its answer is written.
_ANSWER_SECONDS = 0.2


class Shutdown:
    """Decides what a stopping process takes on.

    Callers may stay until the exit, for example where most nodes of their
    failure domain stop together. Whatever is taken on has to be answered
    before it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start as a process that takes everything."""
        self._clock = clock
        self._rerouted_at = float(0)
        self._exit_at = float(0)
        self._closed = False
        self.stopping = False

    def begin(self, bounds: Bounds) -> None:
        """Start to stop.

        :param bounds: with the time until the process is killed.
        """
        grace = bounds.stop_grace_seconds
        now = self._clock.now()
        self._rerouted_at = now + min(_REROUTE_SECONDS, _REROUTE_SHARE * grace)
        self._exit_at = now + grace - min(_EXIT_SECONDS, _EXIT_SHARE * grace)
        self.stopping = True

    def close(self) -> None:
        """Take on nothing more, since the process exits now."""
        self._closed = True

    def admits(self, deadline: float) -> bool:
        """Tell whether a request may be taken on.

        :param deadline: of its answer, on the node's clock.
        """
        if not self.stopping:
            return True
        if self._closed:
            return False
        if self._clock.now() < self._rerouted_at:
            return True
        return deadline <= self._exit_at - _ANSWER_SECONDS

    def may_exit(self, *, busy: bool) -> bool:
        """Tell whether a stopping process may exit.

        :param busy: whether requests wait for their answer.
        """
        if not self.stopping:
            return False
        earliest = self._exit_at if busy else self._rerouted_at
        return self._clock.now() >= earliest
