"""Counters, gauges and timers, kept in memory and sent to statsd.

Names and units are listed in docs/OPERATIONS.md.
"""

import collections
import threading

import statsd

from godwitknot.units import Address

_PREFIX = 'godwitknot'


class Metrics:
    """Counters that can be read back, forwarded to statsd if configured."""

    def __init__(self, address: Address | None = None) -> None:
        """Open the statsd client.

        :param address: statsd UDP address, or ``None`` to keep counts only.
        """
        self._counts: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(
                address.host, address.port, prefix=_PREFIX
            )

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        :param name: dotted name, for example ``ingress.requests``.
        :param amount: how much to add.
        """
        with self._lock:
            self._counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Send a timer.

        :param name: dotted name.
        :param seconds: duration; statsd gets milliseconds.
        """
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge.

        :param name: dotted name.
        :param level: current value.
        """
        with self._lock:
            self._counts[name] = level
        if self._client is not None:
            self._client.gauge(name, level)

    def snapshot(self) -> dict[str, float]:
        """Give all counters and gauges since the start."""
        with self._lock:
            return dict(self._counts)
