"""The planned stop of this process: what it still takes, and when it ends."""

from godwitknot.clock import Clock
from godwitknot.mesh.model import Bounds

# Callers are sent elsewhere after two failed readiness checks, one a second.
_REROUTE_SECONDS = 2.6
# The end of the grace that is kept free for the exit itself.
_EXIT_SECONDS = 0.6
# From the deadline of a request until its answer is written.
_ANSWER_SECONDS = 0.2


class Shutdown:
    """Decides what a stopping process takes on.

    Callers may stay until the exit, for example where most nodes of their
    failure domain stop together. Whatever is taken on has to be answered
    before it.

    :ivar ended: whether the process exits now and reads nothing more.
    """

    def __init__(self, clock: Clock) -> None:
        """Start as a process that takes everything."""
        self._clock = clock
        self._began: float | None = None
        self._end = float(0)
        self.ended = False

    @property
    def begun(self) -> bool:
        """Whether the process is stopping."""
        return self._began is not None

    def begin(self, bounds: Bounds) -> None:
        """Start to stop.

        :param bounds: with the time until the process is killed.
        """
        self._began = self._clock.now()
        self._end = self._began + bounds.stop_grace_seconds - _EXIT_SECONDS

    def end(self) -> None:
        """Read no more requests."""
        self.ended = True

    def admits(self, deadline: float) -> bool:
        """Tell whether a request may be taken on.

        :param deadline: of its answer, on the node's clock.
        """
        if self._began is None:
            return True
        if self._clock.now() - self._began < _REROUTE_SECONDS:
            return True
        return deadline <= self._end - _ANSWER_SECONDS

    def is_over(self, *, busy: bool) -> bool:
        """Tell whether a stopping process has to exit now.

        :param busy: whether requests wait for their answer.
        """
        if self._began is None:
            return False
        now = self._clock.now()
        if busy:
            return now >= self._end
        return now - self._began > _REROUTE_SECONDS
