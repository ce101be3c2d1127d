"""Measures how the cost of the control plane grows with the fleet.

Starts real control-plane processes at several sizes, measures each node's
traffic, CPU, memory and delays, fits lines and writes
``docs/capacity.json`` and plots. Ends by itself within about 5 minutes.
"""

import argparse
import collections
import json
import pathlib
import statistics
import time
from collections.abc import Callable

import attrs
from matplotlib.figure import Figure

from bench import scaling
from bench.controlfleet import Fleet, run_fleet
from bench.fits import Fit, fit_line

_DOCS = pathlib.Path(__file__).parent.parent / 'docs'
_DESIGN_NODES = 420
_SIZES = (10, 20, 40, 80)
_PARTITION_SIZES = (20, 40, 80)
_STEADY_SECONDS = 8
_PARTITION_SECONDS = 8
_CHANGED_NODES = 5
_TIMEOUT_SECONDS = 30
_MAX_RUN_SECONDS = 270
_KIB = 1024
_PLOT_LABELS = (
    ('bytes_per_second', 'sent and received, B/s'),
    ('cpu_share', 'share of a core'),
    ('resident_bytes', 'resident memory, B'),
    ('configuration_seconds', 'version reaches all, s'),
    ('detection_seconds', 'killed node known to all, s'),
    ('start_seconds', 'all start together until equal, s'),
    ('rejoin_bytes', 'extra bytes per node after a partition'),
)

Row = dict[str, object]


def _sum_counters(counters: dict[str, int]) -> int:
    return sum(counters.values())


def _sum_traffic(stats: Row) -> int:
    return _sum_counters(stats['sent']) + _sum_counters(stats['received'])


def measure_steady(fleet: Fleet) -> Row:
    """Measure traffic, CPU and memory while nothing changes."""
    before = fleet.send_to_all('stats')
    time.sleep(_STEADY_SECONDS)
    after = fleet.send_to_all('stats')
    byte_rates = []
    cpu_shares = []
    kinds: collections.Counter[str] = collections.Counter()
    for old, new in zip(before, after, strict=True):
        seconds = new['at'] - old['at']
        byte_rates.append((_sum_traffic(new) - _sum_traffic(old)) / seconds)
        cpu_shares.append((new['cpu'] - old['cpu']) / seconds)
        for direction in ('sent', 'received'):
            for kind, size in new[direction].items():
                growth = size - old[direction].get(kind, 0)
                kinds[f'{direction} {kind}'] += growth / seconds / len(after)
    return {
        'bytes_per_second': statistics.mean(byte_rates),
        'bytes_per_second_max': max(byte_rates),
        'bytes_by_kind': {kind: round(kinds[kind], 1) for kind in kinds},
        'cpu_share': statistics.mean(cpu_shares),
        'resident_bytes': statistics.mean(stats['resident'] for stats in after),
    }


def measure_configuration(fleet: Fleet) -> Row:
    """Measure how long a configuration version takes to reach all nodes."""
    started = fleet.processes[0].send_command('configure', 1)
    others = fleet.processes[1:]
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    replies = fleet.send_to(others, 'adopted', 1)
    while None in replies and time.monotonic() < deadline:
        time.sleep(0.2)
        replies = fleet.send_to(others, 'adopted', 1)
    if None in replies:
        return {'configuration_seconds': None}
    return {'configuration_seconds': max(replies) - started}


def measure_detection(fleet: Fleet) -> Row:
    """Kill a node and measure how long all others take to detect it."""
    killed_process = fleet.processes.pop()
    killed_at = killed_process.kill()
    replies, all_detected = fleet.poll_until(
        lambda times: None not in times,
        'lost',
        killed_process.index,
        timeout=_TIMEOUT_SECONDS,
    )
    if not all_detected:
        return {'detection_seconds': None}
    delays = [at - killed_at for at in replies]
    return {
        'detection_seconds': max(delays),
        'detection_median_seconds': statistics.median(delays),
    }


def measure_rejoin(fleet: Fleet) -> Row:
    """Measure what both halves of a fleet exchange after a partition."""
    half = len(fleet.processes) // 2
    halves = (fleet.processes[:half], fleet.processes[half:])
    fleet.send_to(halves[0], 'cut', half, 2 * half + 1)
    fleet.send_to(halves[1], 'cut', 0, half)
    time.sleep(_PARTITION_SECONDS)
    fleet.send_to(halves[0][:_CHANGED_NODES], 'change', 1)
    before = fleet.send_to_all('stats')
    fleet.send_to_all('cut', 0, 0)
    started = time.monotonic()
    # measure_detection killed one process, which stays unreachable.
    after, converged = fleet.poll_until(
        lambda replies: (
            len({each['hash'] for each in replies}) == 1
            and all(each['unreachable'] <= 1 for each in replies)
        ),
        'stats',
        timeout=_TIMEOUT_SECONDS,
    )
    seconds = time.monotonic() - started
    totals = [
        _sum_traffic(new) - _sum_traffic(old)
        for old, new in zip(before, after, strict=True)
    ]
    return {
        'rejoin_seconds': seconds if converged else None,
        'rejoin_bytes_total': statistics.mean(totals),
        'rejoin_bytes_per_second': statistics.mean(totals) / seconds,
        'rejoin_unreachable_before': max(
            each['unreachable'] for each in before
        ),
    }


def measure_size(size: int) -> Row:
    """Measure a fleet of one size.

    :param size: number of nodes.
    """
    row: Row = {'nodes': size}
    started = time.monotonic()
    with run_fleet(size) as fleet:
        fleet.send_to_all('stats')
        launched = time.monotonic()
        all_equal = fleet.wait_until_converged()
        row['start_seconds'] = (
            time.monotonic() - launched if all_equal else None
        )
        row['launch_seconds'] = launched - started
        row['start_bytes'] = statistics.mean(
            _sum_traffic(each) for each in fleet.send_to_all('stats')
        )
        row.update(measure_steady(fleet))
        row.update(measure_configuration(fleet))
        row.update(measure_detection(fleet))
        if size in _PARTITION_SIZES:
            row.update(measure_rejoin(fleet))
            steady = row['bytes_per_second']
            seconds = row['rejoin_seconds'] or _TIMEOUT_SECONDS
            total = row['rejoin_bytes_total']
            row['rejoin_bytes'] = total - steady * seconds
    return row


def fit_rows(rows: list[Row], x_name: str) -> dict[str, Fit]:
    """Fit a line through each quantity that at least three rows have.

    :param x_name: key of the values on the x axis.
    """
    fits = {}
    names = {name for row in rows for name in row} - {x_name}
    for name in sorted(names):
        points = [
            (row[x_name], row[name])
            for row in rows
            if isinstance(row.get(name), (int, float))
        ]
        if len(points) >= 3:
            xs, ys = zip(*points, strict=True)
            fits[name] = fit_line(xs, ys)
    return fits


def plot(rows: list[Row], fits: dict[str, Fit], x_name: str) -> None:
    """Plot each quantity; lines over nodes extend to the design size."""
    folder = _DOCS / 'plots'
    folder.mkdir(exist_ok=True)
    labels = dict(_PLOT_LABELS)
    for name, fit in fits.items():
        points = [row for row in rows if row.get(name) is not None]
        figure = Figure(figsize=(5, 3))
        axes = figure.subplots()
        axes.plot(
            [row[x_name] for row in points],
            [row[name] for row in points],
            'o',
        )
        line_range = (
            0,
            max(fit.high, _DESIGN_NODES if x_name == 'nodes' else 0),
        )
        axes.plot(line_range, [fit.predict(end) for end in line_range], '--')
        axes.set_xlabel(x_name)
        axes.set_ylabel(labels.get(name, name))
        axes.set_title(f'slope {fit.slope:.3g}, r2 {fit.r2:.2f}', fontsize=9)
        axes.set_ylim(bottom=0)
        figure.tight_layout()
        figure.savefig(folder / f'{x_name}-{name}.png', dpi=80)


def print_fits(fits: dict[str, Fit], x_name: str) -> None:
    """Print each line with its r2, range and value at the design size."""
    for name, fit in fits.items():
        print(
            f'{name:28} per {x_name}: {fit.slope:10.4g}'
            f'  at 0: {fit.intercept:10.4g}  r2 {fit.r2:5.2f}'
            f'  range {fit.low:g}-{fit.high:g}'
            f'  at {_DESIGN_NODES}: {fit.predict(_DESIGN_NODES):10.4g}'
        )


def run_series(
    sizes: tuple[int, ...],
    x_name: str,
    measure: Callable[[int], Row],
    deadline: float,
) -> dict[str, object]:
    """Measure a series of sizes, fit lines and plot them.

    :param x_name: what the sizes count.
    :param deadline: monotonic seconds after which no further size starts.
    """
    rows = []
    for size in sizes:
        if time.monotonic() > deadline:
            print(f'{x_name}={size} not measured: out of time')
            continue
        rows.append({x_name: size, **measure(size)})
        print(json.dumps(rows[-1]), flush=True)
    fits = fit_rows(rows, x_name)
    print_fits(fits, x_name)
    plot(rows, fits, x_name)
    return {
        'rows': rows,
        'fits': {name: attrs.asdict(fit) for name, fit in fits.items()},
    }


def main() -> None:
    """Run all series and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='*', default=_SIZES)
    sizes = tuple(parser.parse_args().sizes)
    if max(sizes) > 200:
        parser.error('at most 200 processes')
    deadline = time.monotonic() + _MAX_RUN_SECONDS
    report = {
        'record_bytes': scaling.measure_record_bytes(),
        'directory': run_series(
            scaling.NODE_COUNTS, 'nodes', scaling.measure_directory, deadline
        ),
        'routes': run_series(
            scaling.ROUTE_COUNTS, 'routes', scaling.measure_routes, deadline
        ),
        'fleet': run_series(sizes, 'nodes', measure_size, deadline),
    }
    target = _DOCS / 'capacity.json'
    target.write_text(f'{json.dumps(report, indent=1)}\n', encoding='utf-8')
    print(f'record of 16 servers: {report["record_bytes"] / _KIB:.2f} KiB')


if __name__ == '__main__':
    main()
