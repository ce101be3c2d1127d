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
_LIMIT_SECONDS = 30
_RUN_SECONDS = 270
_KIB = 1024
_PLOTTED = (
    ('bytes_per_second', 'sent and received, B/s'),
    ('cpu_share', 'share of a core'),
    ('resident_bytes', 'resident memory, B'),
    ('configuration_seconds', 'version reaches all, s'),
    ('detection_seconds', 'killed node known to all, s'),
    ('start_seconds', 'all start together until equal, s'),
    ('rejoin_bytes', 'extra bytes per node after a partition'),
)

Row = dict[str, object]


def _sum(counters: dict[str, int]) -> int:
    return sum(counters.values())


def _total(answer: Row) -> int:
    return _sum(answer['sent']) + _sum(answer['received'])


def measure_steady(fleet: Fleet) -> Row:
    """Measure a fleet in which nothing changes."""
    before = fleet.send_to_all('stats')
    time.sleep(_STEADY_SECONDS)
    after = fleet.send_to_all('stats')
    rates = []
    shares = []
    kinds: collections.Counter[str] = collections.Counter()
    for old, new in zip(before, after, strict=True):
        seconds = new['at'] - old['at']
        rates.append((_total(new) - _total(old)) / seconds)
        shares.append((new['cpu'] - old['cpu']) / seconds)
        for way in ('sent', 'received'):
            for kind, size in new[way].items():
                grown = size - old[way].get(kind, 0)
                kinds[f'{way} {kind}'] += grown / seconds / len(after)
    return {
        'bytes_per_second': statistics.mean(rates),
        'bytes_per_second_max': max(rates),
        'bytes_by_kind': {kind: round(kinds[kind], 1) for kind in kinds},
        'cpu_share': statistics.mean(shares),
        'resident_bytes': statistics.mean(
            answer['resident'] for answer in after
        ),
    }


def measure_configuration(fleet: Fleet) -> Row:
    """Measure the time for a configuration version to reach all nodes."""
    started = fleet.processes[0].send_command('configure', 1)
    others = fleet.processes[1:]
    deadline = time.monotonic() + _LIMIT_SECONDS
    answers = fleet.send_to(others, 'adopted', 1)
    while None in answers and time.monotonic() < deadline:
        time.sleep(0.2)
        answers = fleet.send_to(others, 'adopted', 1)
    if None in answers:
        return {'configuration_seconds': None}
    return {'configuration_seconds': max(answers) - started}


def measure_detection(fleet: Fleet) -> Row:
    """Measure the time until all nodes know of a killed one."""
    victim = fleet.processes.pop()
    killed_at = victim.kill()
    answers, known = fleet.poll_until(
        lambda times: None not in times,
        'lost',
        victim.index,
        timeout=_LIMIT_SECONDS,
    )
    if not known:
        return {'detection_seconds': None}
    delays = [at - killed_at for at in answers]
    return {
        'detection_seconds': max(delays),
        'detection_median_seconds': statistics.median(delays),
    }


def measure_rejoin(fleet: Fleet) -> Row:
    """Measure what two halves exchange when a partition ends."""
    half = len(fleet.processes) // 2
    sides = (fleet.processes[:half], fleet.processes[half:])
    fleet.send_to(sides[0], 'cut', half, 2 * half + 1)
    fleet.send_to(sides[1], 'cut', 0, half)
    time.sleep(_PARTITION_SECONDS)
    fleet.send_to(sides[0][:_CHANGED_NODES], 'change', 1)
    before = fleet.send_to_all('stats')
    fleet.send_to_all('cut', 0, 0)
    started = time.monotonic()
    # One process was killed before and stays unreachable.
    after, met = fleet.poll_until(
        lambda answers: (
            len({each['hash'] for each in answers}) == 1
            and all(each['unreachable'] <= 1 for each in answers)
        ),
        'stats',
        timeout=_LIMIT_SECONDS,
    )
    seconds = time.monotonic() - started
    totals = [
        _total(new) - _total(old)
        for old, new in zip(before, after, strict=True)
    ]
    return {
        'rejoin_seconds': seconds if met else None,
        'rejoin_bytes_total': statistics.mean(totals),
        'rejoin_bytes_per_second': statistics.mean(totals) / seconds,
        'rejoin_unreachable_before': max(
            each['unreachable'] for each in before
        ),
    }


def measure_size(size: int) -> Row:
    """Measure one size of the fleet."""
    row: Row = {'nodes': size}
    started = time.monotonic()
    with run_fleet(size) as fleet:
        fleet.send_to_all('stats')
        launched = time.monotonic()
        equal = fleet.wait_until_converged()
        row['start_seconds'] = time.monotonic() - launched if equal else None
        row['launch_seconds'] = launched - started
        row['start_bytes'] = statistics.mean(
            _total(each) for each in fleet.send_to_all('stats')
        )
        row.update(measure_steady(fleet))
        row.update(measure_configuration(fleet))
        row.update(measure_detection(fleet))
        if size in _PARTITION_SIZES:
            row.update(measure_rejoin(fleet))
            steady = row['bytes_per_second']
            seconds = row['rejoin_seconds'] or _LIMIT_SECONDS
            total = row['rejoin_bytes_total']
            row['rejoin_bytes'] = total - steady * seconds
    return row


def fit_rows(rows: list[Row], x_name: str) -> dict[str, Fit]:
    """Fit a line through each measured quantity."""
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
    """Draw each quantity with its line up to the design size."""
    folder = _DOCS / 'plots'
    folder.mkdir(exist_ok=True)
    labels = dict(_PLOTTED)
    for name, fit in fits.items():
        points = [row for row in rows if row.get(name) is not None]
        figure = Figure(figsize=(5, 3))
        axes = figure.subplots()
        axes.plot(
            [row[x_name] for row in points],
            [row[name] for row in points],
            'o',
        )
        ends = (0, max(fit.high, _DESIGN_NODES if x_name == 'nodes' else 0))
        axes.plot(ends, [fit.predict(end) for end in ends], '--')
        axes.set_xlabel(x_name)
        axes.set_ylabel(labels.get(name, name))
        axes.set_title(f'slope {fit.slope:.3g}, r2 {fit.r2:.2f}', fontsize=9)
        axes.set_ylim(bottom=0)
        figure.tight_layout()
        figure.savefig(folder / f'{x_name}-{name}.png', dpi=80)


def print_fits(fits: dict[str, Fit], x_name: str) -> None:
    """Print slopes with range and r2."""
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
    """Measure a series of sizes, fit and plot it.

    :param deadline: monotonic seconds after which sizes are left out.
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
    deadline = time.monotonic() + _RUN_SECONDS
    report = {
        'record_bytes': scaling.record_bytes(),
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
