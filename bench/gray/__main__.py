"""Compares rules of ejection under gray failures.

Plays each pattern with each rule, prints a table and writes a plot. Nothing
runs in real time: a play of 30 s before 24 nodes takes about two seconds.
"""

import argparse
import itertools
import pathlib
import statistics
import textwrap
from collections.abc import Callable, Sequence
from concurrent import futures

import attrs
from matplotlib.figure import Figure

from bench.gray.fleet import GrayFleet, PlayResult, Workload
from bench.gray.patterns import (
    PATTERNS,
    RULES,
    make_market_workload,
    make_search_workload,
)
from bench.gray.virtualtime import run_virtually

_PLOT = pathlib.Path(__file__).parents[2] / 'docs/plots/gray-served.png'
_SIZES = (24, 72, 236)
_PLAY_SECONDS = 30
_LABEL_WIDTH = 18
_WORKLOADS: dict[str, Callable[[int, float], Workload]] = {
    'search': make_search_workload,
    'market': make_market_workload,
}
_HEADER = (
    '| fleet | nodes | pattern | rule | served | orders served '
    '| orders failed | failed runs | found after s | found | false '
    '| offers a request | of these to other regions |'
)
# Classes that must not be repeated, whose losses are final.
_ORDERS = {'search': 'order', 'market': 'reserve'}


@attrs.frozen
class Play:
    """One play, by the names and indexes of its parts."""

    workload: str
    nodes: int
    load: float
    pattern: int
    rule: int
    seed: int

    def run(self) -> PlayResult:
        """Play it and return the results."""
        return run_virtually(self._run())

    async def _run(self) -> PlayResult:
        workload = _WORKLOADS[self.workload](self.nodes, self.load)
        fleet = GrayFleet(
            self.nodes,
            workload,
            PATTERNS[self.pattern].plan,
            RULES[self.rule],
            self.seed,
        )
        return await fleet.play(_PLAY_SECONDS)


@attrs.frozen
class Row:
    """Results of all seeds of one fleet, pattern and rule."""

    play: Play
    results: Sequence[PlayResult]

    def served_share(self, *names: str) -> float:
        """Return the share of the callers' requests that were served.

        :param names: of the classes; all that callers send if empty.
        """
        tallies = self._list_tallies(*names)
        served = sum(tally.in_time + tally.late for tally in tallies)
        return served / sum(tally.requests for tally in tallies)

    def failed_share(self, name: str) -> float:
        """Return the share of the requests of a class that failed."""
        tallies = self._list_tallies(name)
        failed = sum(tally.failed for tally in tallies)
        return failed / sum(tally.requests for tally in tallies)

    def format(self) -> str:
        """Return a line of a Markdown table."""
        order = _ORDERS[self.play.workload]
        runs = sum(each.runs for each in self.results)
        failed_runs = sum(each.failed_runs for each in self.results)
        detections = [
            each for result in self.results for each in result.detections
        ]
        faults = len(detections) + sum(each.missed for each in self.results)
        median = statistics.median(detections) if detections else 0
        false = sum(each.false_seconds for each in self.results)
        healthy = sum(each.healthy_seconds for each in self.results)
        offers = sum(result.offers.total() for result in self.results)
        remote = sum(result.remote_offers for result in self.results)
        requests = sum(tally.requests for tally in self._list_tallies())
        columns = (
            self.play.workload,
            self.play.nodes,
            PATTERNS[self.play.pattern].name,
            RULES[self.play.rule].name,
            f'{self.served_share():.3f}',
            f'{self.served_share(order):.3f}',
            f'{self.failed_share(order):.3f}',
            f'{failed_runs / runs:.3f}',
            f'{median:.2f}' if faults else '-',
            f'{len(detections)} of {faults}' if faults else '-',
            f'{false / healthy:.3f}',
            f'{offers / requests:.2f}',
            f'{remote / requests:.2f}',
        )
        return f'| {" | ".join(map(str, columns))} |'

    def _list_tallies(self, *names: str) -> list:
        workload = _WORKLOADS[self.play.workload](self.play.nodes, 1)
        if not names:
            names = tuple(
                name
                for name, work_class in workload.classes.items()
                if work_class.rate
            )
        return [
            result.tallies[name] for result in self.results for name in names
        ]


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='+', default=_SIZES)
    parser.add_argument('--seeds', type=int, default=3, help='seeds 0 to N-1')
    parser.add_argument('--load', type=float, default=0.7)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--workloads', nargs='+', choices=_WORKLOADS, default=list(_WORKLOADS)
    )
    parser.add_argument('--plot', type=pathlib.Path, default=_PLOT)
    return parser.parse_args()


def _list_plays(arguments: argparse.Namespace) -> list[list[Play]]:
    cases = itertools.product(
        arguments.workloads,
        arguments.nodes,
        range(len(PATTERNS)),
        range(len(RULES)),
    )
    return [
        [
            Play(workload, nodes, arguments.load, pattern, rule, seed)
            for seed in range(arguments.seeds)
        ]
        for workload, nodes, pattern, rule in cases
    ]


def draw_plot(rows: Sequence[Row], path: pathlib.Path) -> None:
    """Draw the share of orders served by each rule."""
    figure = Figure(figsize=(9, 5), layout='constrained')
    axes = figure.subplots()
    cases = list(
        dict.fromkeys((row.play.workload, row.play.pattern) for row in rows)
    )
    nodes = max(row.play.nodes for row in rows)
    width = 0.8 / len(RULES)
    for rule, each in enumerate(RULES):
        served = [
            row.served_share(_ORDERS[row.play.workload])
            for row in rows
            if row.play.rule == rule and row.play.nodes == nodes
        ]
        places = [index + rule * width for index in range(len(cases))]
        axes.bar(places, served, width, label=each.name)
    axes.set_xticks(
        [index + 0.3 for index in range(len(cases))],
        [
            textwrap.fill(f'{workload}: {PATTERNS[index].name}', _LABEL_WIDTH)
            for workload, index in cases
        ],
    )
    axes.set_ylabel(f'share of the orders served, {nodes} nodes')
    axes.set_ylim(0, 1)
    figure.legend(loc='outside upper center', ncols=len(RULES))
    figure.savefig(path)


def main() -> None:
    """Run the comparison."""
    arguments = _parse_arguments()
    rows = []
    print(_HEADER)
    columns = _HEADER.count(' | ') + 1
    print(f'{"|---" * columns}|')
    with futures.ProcessPoolExecutor(arguments.jobs) as executor:
        groups = [
            (plays[0], [executor.submit(each.run) for each in plays])
            for plays in _list_plays(arguments)
        ]
        for play, pending in groups:
            row = Row(play, [each.result() for each in pending])
            rows.append(row)
            print(row.format(), flush=True)
    draw_plot(rows, arguments.plot)


if __name__ == '__main__':
    main()
