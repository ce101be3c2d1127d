"""Periodic polling of the store for new configurations."""

import random
import threading
from collections.abc import Callable

from godwitknot.config.configuration import ConfigurationManager
from godwitknot.errors import StoreDownError, StoreError
from godwitknot.logs import log_event
from godwitknot.metrics import Metrics

# Share of the interval by which a delay varies. It spreads the reads of nodes
# that were started together.
_JITTER = 0.25


class ConfigurationPoller:
    """Background thread that polls the store at jittered intervals."""

    def __init__(
        self,
        manager: ConfigurationManager,
        interval: float,
        metrics: Metrics,
        jitter: Callable[[float, float], float] = random.uniform,
    ) -> None:
        """Create the thread without starting it.

        :param interval: mean seconds between polls.
        :param jitter: draws a random number between two bounds.
        """
        self._manager = manager
        self._interval = interval
        self._metrics = metrics
        self._jitter = jitter
        self._stopped = threading.Event()
        self._last_failure = ''
        self._thread = threading.Thread(
            target=self._run, name='configuration-poller', daemon=True
        )

    @property
    def store_up(self) -> bool:
        """Whether the most recent poll reached the store."""
        return self._last_failure != StoreDownError.__name__

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def poll(self) -> None:
        """Poll once; count each failure and log each change of the result."""
        failure = ''
        try:
            self._manager.poll()
        except StoreError as error:
            failure = type(error).__name__
            self._metrics.count('configuration.poll-failed')
        if failure != self._last_failure:
            self._last_failure = failure
            log_event('configuration poll', result=failure or 'up')

    def draw_delay(self) -> float:
        """Return the seconds until the next poll."""
        max_jitter = self._interval * _JITTER
        return self._interval + self._jitter(-max_jitter, max_jitter)

    def _run(self) -> None:
        while not self._stopped.wait(self.draw_delay()):
            self.poll()
