"""Service time of a backend server, without time spent on a slow reader."""

import contextlib
from collections.abc import Iterator

from godwitknot.clock import Clock


class ServiceTimer:
    """Adds up the time spent waiting for the server.

    Only the waits count, so time blocked on writing to a slow caller is not
    included.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a timer at zero.

        :param clock: source of monotonic time.
        """
        self._clock = clock
        self.started = clock.now()
        self.seconds = float(0)

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Add the time of the ``with`` body, a wait for the server."""
        since = self._clock.now()
        try:
            yield
        finally:
            self.seconds += self._clock.now() - since
