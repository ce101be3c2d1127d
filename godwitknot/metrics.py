"""Counters and gauges kept in memory, and metrics sent to statsd.

Names and units are listed in docs/OPERATIONS.md.
"""

import collections
import threading

import statsd

from godwitknot.units import Address

_PREFIX = 'godwitknot'


class Metrics:
    """Counters and gauges that can be read; all metrics may go to statsd."""

    def __init__(self, address: Address | None = None) -> None:
        """Open the statsd client if an address is given.

        :param address: statsd UDP address, or ``None`` to keep the counters
            and gauges in memory only.
        """
        self._values: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(
                address.host, address.port, prefix=_PREFIX
            )

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter.

        :param name: dotted name, for example ``ingress.requests``.
        :param amount: the increment.
        """
        with self._lock:
            self._values[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Send a timing, which is not kept in memory.

        :param name: dotted name.
        :param seconds: duration; it is sent in milliseconds.
        """
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge.

        :param name: dotted name.
        :param level: current value.
        """
        with self._lock:
            self._values[name] = level
        if self._client is not None:
            self._client.gauge(name, level)

    def snapshot(self) -> dict[str, float]:
        """Return all counters and gauges since the process started."""
        with self._lock:
            return dict(self._values)
