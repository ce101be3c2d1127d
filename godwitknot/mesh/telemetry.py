"""Counters and latency histograms in the Prometheus text format."""

import prometheus_client as prometheus

_PREFIX = 'godwitknot'
# Upper bounds that cover the objectives of 0.2 to 3 s that operators declare.
_BUCKET_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8)


class Telemetry:
    """Counters and histograms of one node."""

    def __init__(self) -> None:
        """Create a registry without metrics."""
        self._registry = prometheus.CollectorRegistry()
        self._counters: dict[str, prometheus.Counter] = {}
        self._histograms: dict[str, prometheus.Histogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter, creating it on first use.

        :param name: in snake case, without unit and prefix.
        """
        counter = self._counters.get(name)
        if counter is None:
            counter = prometheus.Counter(
                f'{_PREFIX}_{name}', name, registry=self._registry
            )
            self._counters[name] = counter
        counter.inc(amount)

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a latency histogram, creating it on first use.

        :param name: in snake case, ends in ``_seconds``.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = prometheus.Histogram(
                f'{_PREFIX}_{name}',
                name,
                registry=self._registry,
                buckets=_BUCKET_SECONDS,
            )
            self._histograms[name] = histogram
        histogram.observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return prometheus.generate_latest(self._registry)
