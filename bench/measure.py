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
_PROCESS_COUNT = 6
_FAULT_SECONDS = 60.0
_REPEATS = 6
_NO_FAULT = 'no fault'
_HEALTHY_SECONDS = 1200.0
_HEALTHY_REPEATS = 3
_NOT_DETECTED = float('inf')
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
class Combination:
    """A workload, policy, fault and seed to run a trial with."""

    workload: Workload
    policy: PolicyName
    fault: str
    seed: int


@attrs.frozen
class Row:
    """Results of all repeats of a workload, fault and policy.

    :param detections: repeats in which the faulty server was ejected.
    :param detection_p50: median detection time, seconds.
    :param detection_p95: 95th percentile of the detection time, seconds.
    :param false_per_server_hour: false ejections per healthy server-hour.
    :param false_per_million: false ejections per million requests.
    :param met_share: share of the requests that met their target, 0 to 1.
    :param min_in_service: fewest servers in service at any step.
    """

    workload: str
    fault: str
    policy: PolicyName
    repeats: int
    detections: int
    detection_p50: float
    detection_p95: float
    false_per_server_hour: float
    false_per_million: float
    met_share: float
    min_in_service: int

    def format(self) -> str:
        """Return a line of a Markdown table."""
        fields = (
            self.fault,
            self.policy,
            f'{self.detections}/{self.repeats}',
            _format_seconds(self.detection_p50),
            _format_seconds(self.detection_p95),
            f'{self.false_per_server_hour:.2f}',
            f'{self.false_per_million:.1f}',
            f'{self.met_share:.2%}',
            str(self.min_in_service),
        )
        return f'| {" | ".join(fields)} |'


_HEADER = (
    '| fault | policy | found | detection p50 | p95 '
    '| false per server-hour | false per 10^6 | met target | least in |\n'
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- |'
)


def _format_seconds(seconds: float) -> str:
    return '-' if seconds == _NOT_DETECTED else f'{seconds:.2f} s'


def _percentile(times: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile of sorted times."""
    return times[min(len(times) - 1, int(share * len(times)))]


def _run_trial(combination: Combination) -> tuple[Combination, TrialResult]:
    fault = FAULTS.get(combination.fault, HEALTHY)
    seconds = (
        _FAULT_SECONDS if combination.fault in FAULTS else _HEALTHY_SECONDS
    )
    trial = Trial(
        combination.workload, combination.policy, fault, combination.seed
    )
    return combination, trial.run(seconds)


def _summarize(combination: Combination, results: Sequence[TrialResult]) -> Row:
    detection_times = sorted(
        each.detection_seconds
        if each.detection_seconds is not None
        else _NOT_DETECTED
        for each in results
    )
    false_count = sum(each.false_ejections for each in results)
    requests = sum(each.requests for each in results)
    healthy_server_hours = sum(each.healthy_hours for each in results)
    return Row(
        workload=combination.workload.name,
        fault=combination.fault,
        policy=combination.policy,
        repeats=len(results),
        detections=sum(each.detection_seconds is not None for each in results),
        detection_p50=statistics.median_low(detection_times),
        detection_p95=_percentile(detection_times, 0.95),
        false_per_server_hour=false_count / healthy_server_hours,
        false_per_million=false_count / requests * 1_000_000,
        met_share=sum(each.met_target for each in results) / requests,
        min_in_service=min(each.min_in_service for each in results),
    )


def _list_combinations(policies: Iterable[PolicyName]) -> list[Combination]:
    repeats = dict.fromkeys(FAULTS, _REPEATS)
    repeats[_NO_FAULT] = _HEALTHY_REPEATS
    seeds = [
        (fault, seed) for fault in repeats for seed in range(repeats[fault])
    ]
    return [
        Combination(workload, policy, fault, seed)
        for workload, policy in itertools.product(WORKLOADS, policies)
        for fault, seed in seeds
    ]


def measure(policies: Iterable[PolicyName]) -> list[Row]:
    """Run all trials of policies in a pool of processes."""
    with multiprocessing.Pool(_PROCESS_COUNT) as pool:
        finished = pool.map(
            _run_trial, _list_combinations(policies), chunksize=2
        )
    groups: dict[tuple[str, str, str], list[TrialResult]] = {}
    combinations: dict[tuple[str, str, str], Combination] = {}
    for combination, result in finished:
        key = (combination.workload.name, combination.fault, combination.policy)
        combinations.setdefault(key, combination)
        groups.setdefault(key, []).append(result)
    return [_summarize(combinations[key], groups[key]) for key in groups]


def format_tables(rows: Sequence[Row]) -> str:
    """Return one Markdown table for each workload."""
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
    """Replace the tables in the page and keep the text around them."""
    page = _PAGE.read_text(encoding='utf-8')
    before, _, rest = page.partition(_TABLE_START)
    _, _, after = rest.partition(_TABLE_END)
    text = f'{before}{_TABLE_START}\n\n{tables}\n{_TABLE_END}{after}'
    _PAGE.write_text(text, encoding='utf-8')


def measure_real_nodes() -> list[RealRun]:
    """Run real nodes with each policy; all policies run at the same time."""
    names = tuple(RealPolicy)
    with futures.ThreadPoolExecutor(len(names)) as pool:
        return list(pool.map(run_policy, names, itertools.repeat(_REAL_SEED)))


def format_real_runs(runs: Sequence[RealRun]) -> str:
    """Return the tables of the runs with real nodes."""
    lines = [_REAL_HEADER]
    for rows in zip(*(run.rows for run in runs), strict=True):
        lines.extend(map(_format_real_row, runs, rows))
    lines.extend(('', _TOTALS_HEADER))
    lines.extend(_format_totals(run) for run in runs)
    return '\n'.join(lines)


def _format_real_row(run: RealRun, row: RealRow) -> str:
    detected_after = _NOT_DETECTED if row.detected is None else row.detected
    fields = (
        row.work_class,
        row.fault,
        run.policy,
        _format_seconds(detected_after),
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
    """Measure everything, print the tables and write them to the page.

    With ``--sequential`` only run and print the sequential policy's trials.
    """
    if '--sequential' in sys.argv:
        print(format_tables(measure((PolicyName.SEQUENTIAL,))))
        return
    real = format_real_runs(measure_real_nodes())
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
