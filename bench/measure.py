"""``make measure``: compares outlier policies under gray failures."""

import itertools
import multiprocessing
import pathlib
import statistics
import sys
from collections.abc import Iterable, Sequence
from concurrent import futures

import attrs

from bench.faults import FAULTS, HEALTHY
from bench.queues import QUEUE_HEADER, compare_orders
from bench.realfaults import RealRow, RealRun, run_policy
from bench.trials import PolicyName, Trial, TrialResult, Workload
from godwitknot.declarations.declaration import Weighing
from godwitknot.declarations.settings import PolicyName as RealPolicy

_PAGE = pathlib.Path('docs/measurements.md')
_TABLE_START = '<!-- measured tables begin -->'
_TABLE_END = '<!-- measured tables end -->'
_PROCESSES = 6
_FAULT_SECONDS = 60.0
_REPEATS = 6
_HEALTHY = 'no fault'
_HEALTHY_SECONDS = 1200.0
_HEALTHY_REPEATS = 3
_NOT_FOUND = float('inf')
_REAL_SEED = 1
_REAL_HEADER = (
    '| service | fault | policy | detection | requests run by the server '
    '| met target |\n| --- | --- | --- | --- | --- | --- |'
)
_TOTALS_HEADER = (
    '| policy | requests | server-hours a service | false ejections, '
    'documents | archive | extra runs |\n| --- | --- | --- | --- | --- | --- |'
)

WORKLOADS = (
    Workload('Hafnarvagn documents', 8, 3, 0.05, 0.4, 6, Weighing.DETECTION),
    Workload('Lapjeswerk archive', 8, 3, 0.05, 0.4, 6, Weighing.CAUTION),
)


@attrs.frozen
class Cell:
    """One measured combination."""

    workload: Workload
    policy: PolicyName
    fault: str
    seed: int


@attrs.frozen
class Row:
    """Figures of all repeats of a combination.

    :param found: repeats in which the faulty server was ejected.
    :param p50: median detection time, seconds.
    :param p95: 95th percentile of it.
    :param per_hour: false ejections for each healthy server-hour.
    :param per_million: false ejections for each million requests.
    """

    workload: str
    fault: str
    policy: PolicyName
    repeats: int
    found: int
    p50: float
    p95: float
    per_hour: float
    per_million: float
    met: float
    min_in_service: int

    def format(self) -> str:
        """Give a line of a Markdown table."""
        fields = (
            self.fault,
            self.policy,
            f'{self.found}/{self.repeats}',
            _format_seconds(self.p50),
            _format_seconds(self.p95),
            f'{self.per_hour:.2f}',
            f'{self.per_million:.1f}',
            f'{self.met:.2%}',
            str(self.min_in_service),
        )
        return f'| {" | ".join(fields)} |'


_HEADER = (
    '| fault | policy | found | detection p50 | p95 '
    '| false per server-hour | false per 10^6 | met target | least in |\n'
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- |'
)


def _format_seconds(seconds: float) -> str:
    return '-' if seconds == _NOT_FOUND else f'{seconds:.2f} s'


def _percentile(times: Sequence[float], share: float) -> float:
    """Give the nearest-rank percentile of sorted times."""
    return times[min(len(times) - 1, int(share * len(times)))]


def _run(cell: Cell) -> tuple[Cell, TrialResult]:
    fault = FAULTS.get(cell.fault, HEALTHY)
    seconds = _FAULT_SECONDS if cell.fault in FAULTS else _HEALTHY_SECONDS
    trial = Trial(cell.workload, cell.policy, fault, cell.seed)
    return cell, trial.run(seconds)


def _summarize(cell: Cell, figures: Sequence[TrialResult]) -> Row:
    times = sorted(
        each.detection_seconds
        if each.detection_seconds is not None
        else _NOT_FOUND
        for each in figures
    )
    wrong = sum(each.false_ejections for each in figures)
    requests = sum(each.requests for each in figures)
    hours = sum(each.healthy_hours for each in figures)
    return Row(
        workload=cell.workload.name,
        fault=cell.fault,
        policy=cell.policy,
        repeats=len(figures),
        found=sum(each.detection_seconds is not None for each in figures),
        p50=statistics.median_low(times),
        p95=_percentile(times, 0.95),
        per_hour=wrong / hours,
        per_million=wrong / requests * 1_000_000,
        met=sum(each.met_target for each in figures) / requests,
        min_in_service=min(each.min_in_service for each in figures),
    )


def _cells(policies: Iterable[PolicyName]) -> list[Cell]:
    repeats = dict.fromkeys(FAULTS, _REPEATS)
    repeats[_HEALTHY] = _HEALTHY_REPEATS
    seeds = [
        (fault, seed) for fault in repeats for seed in range(repeats[fault])
    ]
    return [
        Cell(workload, policy, fault, seed)
        for workload, policy in itertools.product(WORKLOADS, policies)
        for fault, seed in seeds
    ]


def measure(policies: Iterable[PolicyName]) -> list[Row]:
    """Run all trials in a few processes."""
    with multiprocessing.Pool(_PROCESSES) as pool:
        finished = pool.map(_run, _cells(policies), chunksize=2)
    groups: dict[tuple[str, str, str], list[TrialResult]] = {}
    heads: dict[tuple[str, str, str], Cell] = {}
    for cell, figures in finished:
        place = (cell.workload.name, cell.fault, cell.policy)
        heads.setdefault(place, cell)
        groups.setdefault(place, []).append(figures)
    return [_summarize(heads[place], groups[place]) for place in groups]


def format_tables(rows: Sequence[Row]) -> str:
    """Give one Markdown table for each workload."""
    parts = []
    for workload in WORKLOADS:
        weighing = workload.weighing.value
        parts.append(f'### {workload.name} ({weighing})\n\n{_HEADER}')
        parts.extend(
            row.format() for row in rows if row.workload == workload.name
        )
        parts.append('')
    return '\n'.join(parts)


def write_page(tables: str) -> None:
    """Replace the tables of the page; the text around them stays."""
    page = _PAGE.read_text(encoding='utf-8')
    before, _, rest = page.partition(_TABLE_START)
    _, _, after = rest.partition(_TABLE_END)
    text = f'{before}{_TABLE_START}\n\n{tables}\n{_TABLE_END}{after}'
    _PAGE.write_text(text, encoding='utf-8')


def measure_real() -> list[RealRun]:
    """Run real nodes with each policy, all at the same time."""
    names = tuple(RealPolicy)
    with futures.ThreadPoolExecutor(len(names)) as pool:
        return list(pool.map(run_policy, names, itertools.repeat(_REAL_SEED)))


def format_real(runs: Sequence[RealRun]) -> str:
    """Give the tables of the runs with real nodes."""
    lines = [_REAL_HEADER]
    for rows in zip(*(run.rows for run in runs), strict=True):
        lines.extend(map(_format_real_row, runs, rows))
    lines.extend(('', _TOTALS_HEADER))
    lines.extend(_format_totals(run) for run in runs)
    return '\n'.join(lines)


def _format_real_row(run: RealRun, row: RealRow) -> str:
    found = _NOT_FOUND if row.detected is None else row.detected
    fields = (
        row.work_class,
        row.fault,
        run.policy,
        _format_seconds(found),
        str(row.sent),
        f'{row.met:.2%}',
    )
    return f'| {" | ".join(fields)} |'


def _format_totals(run: RealRun) -> str:
    fields = [run.policy, str(run.calls), f'{run.server_hours:.2f}']
    fields.extend(
        str(run.false_ejections[name]) for name in ('documents', 'archive')
    )
    fields.append(f'{run.executions / run.calls - 1:.2%}')
    return f'| {" | ".join(fields)} |'


def main() -> None:
    """Measure, print and write; ``--sequential`` prints one policy's trials."""
    if '--sequential' in sys.argv:
        print(format_tables(measure((PolicyName.SEQUENTIAL,))))
        return
    real = format_real(measure_real())
    print(real)
    queues = '\n'.join(row.format() for row in compare_orders())
    print(queues)
    trials = format_tables(measure(PolicyName))
    print(trials)
    write_page(
        f'## Real nodes and fake backend servers\n\n{real}\n\n'
        f'## Order of the admission queue\n\n{QUEUE_HEADER}\n{queues}\n\n'
        f'## Trials with generated requests\n\n{trials}'
    )


if __name__ == '__main__':
    main()
