"""``make fault-soak SEEDS=n``: runs soaks from seeds and prints each."""

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

_SIDE_BY_SIDE = 3
_FRESH_SEEDS = 10**9


def run_soaks(
    seeds: Sequence[int],
    jobs: int,
    folder: pathlib.Path,
) -> tuple[list[Report], list[int]]:
    """Run soaks, each in a process of its own, and print each.

    :param folder: gets one folder of settings and logs for each seed.
    :returns: reports, and seeds that could not be run.
    """
    reports: list[Report] = []
    failed: list[int] = []
    with futures.ProcessPoolExecutor(
        jobs,
        multiprocessing.get_context('spawn'),
        max_tasks_per_child=1,
    ) as pool:
        running = {}
        for seed in seeds:
            place = folder / str(seed)
            place.mkdir(parents=True, exist_ok=True)
            running[pool.submit(run_soak, seed, place)] = seed
        for done in futures.as_completed(running):
            error = done.exception()
            if error is not None:
                print(f'seed {running[done]}: not run: {error!r}', flush=True)
                failed.append(running[done])
                continue
            reports.append(done.result())
            _print_report(reports[-1])
    return reports, failed


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
    jobs: Annotated[int, typer.Option(help='At a time.')] = _SIDE_BY_SIDE,
    logs: Annotated[str, typer.Option(help='Folder for the logs.')] = '',
) -> None:
    """Check the promises of nodes on the platform under faults."""
    chosen = list(range(seeds)) if seed < 0 else [seed]
    if fresh:
        chosen = [random.randrange(_FRESH_SEEDS) for _ in range(seeds)]
    place = logs or tempfile.mkdtemp(prefix='godwitknot-fault-soak-')
    reports, failed = run_soaks(chosen, jobs, pathlib.Path(place))
    violations = sum(len(report.violations) for report in reports)
    print(
        f'{len(reports)} of {len(chosen)} soaks run, '
        f'{sum(report.calls for report in reports)} calls, '
        f'{sum(report.faults for report in reports)} events, '
        f'{violations} violations; logs in {place}'
    )
    sys.exit(1 if violations or failed else 0)


if __name__ == '__main__':
    typer.run(run_command)
