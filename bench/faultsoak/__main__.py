"""``make fault-soak SEEDS=n``: run seeded fault soaks and print each."""

import multiprocessing
import pathlib
import random
import sys
import tempfile
from collections.abc import Sequence
from concurrent import futures
from typing import Annotated

import typer

from bench.faultsoak.run import Report, run_soak

_DEFAULT_JOBS = 3
_FRESH_SEED_LIMIT = 10**9


def run_soaks(
    seeds: Sequence[int],
    jobs: int,
    folder: pathlib.Path,
) -> tuple[list[Report], list[int]]:
    """Run each soak in a separate process and print its result.

    :param jobs: number of soaks that run in parallel.
    :param folder: receives one folder of settings and logs for each seed.
    :returns: reports, and seeds that could not be run.
    """
    reports: list[Report] = []
    failed_seeds: list[int] = []
    with futures.ProcessPoolExecutor(
        jobs,
        multiprocessing.get_context('spawn'),
        max_tasks_per_child=1,
    ) as pool:
        seeds_by_future = {}
        for seed in seeds:
            seed_folder = folder / str(seed)
            seed_folder.mkdir(parents=True, exist_ok=True)
            seeds_by_future[pool.submit(run_soak, seed, seed_folder)] = seed
        for future in futures.as_completed(seeds_by_future):
            error = future.exception()
            if error is not None:
                print(
                    f'seed {seeds_by_future[future]}: not run: {error!r}',
                    flush=True,
                )
                failed_seeds.append(seeds_by_future[future])
                continue
            reports.append(future.result())
            _print_report(reports[-1])
    return reports, failed_seeds


def _print_report(report: Report) -> None:
    print(
        f'seed {report.seed}: {report.calls} calls, {report.served} served, '
        f'{report.faults} events, {len(report.violations)} violations',
        flush=True,
    )
    for violation in report.violations[:5]:
        print(f'  {violation}', flush=True)


def run_command(
    seeds: Annotated[int, typer.Option(help='Number of soaks.')] = 50,
    seed: Annotated[int, typer.Option(help='Run only this seed.')] = -1,
    fresh: Annotated[bool, typer.Option(help='Draw new seeds.')] = False,
    jobs: Annotated[int, typer.Option(help='At a time.')] = _DEFAULT_JOBS,
    logs: Annotated[str, typer.Option(help='Folder for the logs.')] = '',
) -> None:
    """Check the promises of nodes on the platform under faults."""
    selected_seeds = list(range(seeds)) if seed < 0 else [seed]
    if fresh:
        selected_seeds = [
            random.randrange(_FRESH_SEED_LIMIT) for _ in range(seeds)
        ]
    log_folder = logs or tempfile.mkdtemp(prefix='godwitknot-fault-soak-')
    reports, failed_seeds = run_soaks(
        selected_seeds, jobs, pathlib.Path(log_folder)
    )
    violations = sum(len(report.violations) for report in reports)
    print(
        f'{len(reports)} of {len(selected_seeds)} soaks run, '
        f'{sum(report.calls for report in reports)} calls, '
        f'{sum(report.faults for report in reports)} events, '
        f'{violations} violations; logs in {log_folder}'
    )
    sys.exit(1 if violations or failed_seeds else 0)


if __name__ == '__main__':
    typer.run(run_command)
