"""``make soak SEEDS=n``: run and check seeded histories of a fleet."""

import multiprocessing
import sys
from collections.abc import Sequence
from concurrent import futures
from typing import Annotated

import typer

from bench.soaknode import VARIANTS
from bench.soakrun import Report, run_history

_DEFAULT_JOBS = 3


def run_soak(seeds: Sequence[int], variant: str, jobs: int) -> list[Report]:
    """Run each history in a separate process and print its result.

    :param variant: of the nodes, see :mod:`bench.soaknode`.
    :param jobs: number of histories that run in parallel.
    :returns: reports of the histories that could be run.
    """
    reports = []
    with futures.ProcessPoolExecutor(
        jobs,
        multiprocessing.get_context('spawn'),
        max_tasks_per_child=1,
    ) as pool:
        seeds_by_future = {
            pool.submit(run_history, seed, variant): seed for seed in seeds
        }
        for future in futures.as_completed(seeds_by_future):
            error = future.exception()
            if error is not None:
                print(
                    f'seed {seeds_by_future[future]}: not run: {error!r}',
                    flush=True,
                )
                continue
            reports.append(future.result())
            _print_report(reports[-1], variant)
    return reports


def _print_report(report: Report, variant: str) -> None:
    print(
        f'seed {report.seed}: {report.operations} operations, '
        f'{report.runs} runs, {report.faults} faults, '
        f'{len(report.violations)} violations',
        flush=True,
    )
    for violation in report.violations[:5]:
        print(f'  {violation}')
    if report.violations:
        options = f' --broken {variant}' if variant else ''
        print(f'  again: python -m bench.soak --seed {report.seed}{options}')


def run_command(
    seeds: Annotated[int, typer.Option(help='Number of histories.')] = 20,
    seed: Annotated[int, typer.Option(help='Run only this seed.')] = -1,
    broken: Annotated[str, typer.Option(help='Run a broken variant.')] = '',
    jobs: Annotated[int, typer.Option(help='At a time.')] = _DEFAULT_JOBS,
) -> None:
    """Check histories of fleets under faults.

    \f
    :raises BadParameter: if the broken variant is unknown.
    """
    if broken not in VARIANTS:
        known = ', '.join(filter(None, VARIANTS))
        raise typer.BadParameter(f'--broken takes one of: {known}')
    selected_seeds = list(range(seeds)) if seed < 0 else [seed]
    reports = run_soak(selected_seeds, broken, jobs)
    violations = sum(len(report.violations) for report in reports)
    print(
        f'{len(reports)} of {len(selected_seeds)} histories run, '
        f'{sum(report.operations for report in reports)} operations, '
        f'{sum(report.faults for report in reports)} faults, '
        f'{violations} violations'
    )
    sys.exit(1 if violations or len(reports) < len(selected_seeds) else 0)


if __name__ == '__main__':
    typer.run(run_command)
