"""Metrics in the Prometheus text format."""

import itertools
from collections.abc import Callable, Iterator, Mapping

import attrs
import prometheus_client as prometheus
from prometheus_client import core
from prometheus_client.utils import floatToGoString

from godwitknot.mesh.telemetry import Family, Histogram, Labelled

_PREFIX = 'godwitknot'


@attrs.frozen(eq=False)
class _Collector:
    """Passes metrics to the library."""

    counters: Mapping[str, int]
    histograms: Mapping[str, Histogram]
    gauges: Mapping[str, Callable[[], int]]
    labelled: Mapping[str, Labelled]
    families: Mapping[str, Family]

    def collect(self) -> Iterator[core.Metric]:
        """Yield all metrics."""
        yield from map(_make_family, self.labelled, self.labelled.values())
        yield from map(_read_family, self.families, self.families.values())
        for name, count in self.counters.items():
            yield core.CounterMetricFamily(
                f'{_PREFIX}_{name}', name, value=count
            )
        for name, read in self.gauges.items():
            yield core.GaugeMetricFamily(
                f'{_PREFIX}_{name}', name, value=read()
            )
        for name, histogram in self.histograms.items():
            bounds = [*map(float, histogram.bounds), float('inf')]
            cumulated = itertools.accumulate(histogram.counts)
            yield core.HistogramMetricFamily(
                f'{_PREFIX}_{name}',
                name,
                buckets=[
                    (floatToGoString(bound), count)
                    for bound, count in zip(bounds, cumulated, strict=True)
                ],
                sum_value=histogram.total,
            )


def _make_family(name: str, counts: Labelled) -> core.Metric:
    family = core.CounterMetricFamily(
        f'{_PREFIX}_{name}', name, labels=('account', 'result')
    )
    for account, results in counts.items():
        for result, count in results.items():
            family.add_metric((account, result), count)
    return family


def _read_family(name: str, family: Family) -> core.Metric:
    make = core.CounterMetricFamily
    if family.is_level:
        make = core.GaugeMetricFamily
    metric = make(f'{_PREFIX}_{name}', name, labels=family.labels)
    for label_values, number in family.read().items():
        metric.add_metric(label_values, number)
    return metric


def render(
    counters: Mapping[str, int],
    histograms: Mapping[str, Histogram],
    gauges: Mapping[str, Callable[[], int]],
    labelled: Mapping[str, Labelled],
    families: Mapping[str, Family],
) -> bytes:
    """Return all metrics in the text format."""
    registry = prometheus.CollectorRegistry()
    registry.register(
        _Collector(counters, histograms, gauges, labelled, families)
    )
    return prometheus.generate_latest(registry)
