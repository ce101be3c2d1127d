"""Service time of a backend server without the pace of the reader."""

import contextlib
from collections.abc import Iterator

from godwitknot.clock import Clock


class ServiceTimer:
    """Adds up the time spent waiting for the server.

    Only the waits count, so time blocked on writing to a slow caller is
    left out.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no time.

        :param clock: source of monotonic time.
        """
        self._clock = clock
        self.started = clock.now()
        self.seconds = float(0)

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Count the time of the ``with`` body, a wait for the server."""
        since = self._clock.now()
        try:
            yield
        finally:
            self.seconds += self._clock.now() - since
