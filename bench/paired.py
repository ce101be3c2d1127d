"""Processor time for a request, of two versions of the package in one run.

Both versions run side by side and take short turns, so that noise of the
machine hits them alike. Usage: ``python -m bench.paired BEFORE AFTER``, each
the root of a source tree.
"""

import math
import os
import pathlib
import statistics
import subprocess
import sys
import time

import urllib3

from bench import latency
from bench.fleet import Fleet

_TURNS = 6
_REQUESTS = 150
_MICROSECONDS = 1_000_000
_NANOSECONDS = 1_000_000_000


class TreeFleet(Fleet):
    """A fleet that runs the package of another source tree."""

    def __init__(self, tree: pathlib.Path) -> None:
        """Prepare the two nodes of the latency bench."""
        super().__init__(latency.PLANS)
        self._tree = tree

    def _run(self, module: str, *words: str) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, '-m', module, *words],
            stdout=self._log_file,
            stderr=self._log_file,
            cwd=self._tree,
            env={**os.environ, 'PYTHONPATH': str(self._tree)},
        )


class Turns:
    """Takes turns with one fleet and collects its figures."""

    def __init__(self, fleet: Fleet) -> None:
        """Open the connections."""
        self._fleet = fleet
        self._pool = urllib3.PoolManager(retries=False)
        self._figures: dict[str, list[float]] = {}

    def take(self, path: str) -> None:
        """Send requests one after the other and note the processor time."""
        ingress = self._fleet.nodes['a'].ingress
        before = self._read_cpu()
        seconds = []
        for _ in range(_REQUESTS):
            started = time.perf_counter()
            self._pool.request('GET', f'http://{ingress}{path}')
            seconds.append(time.perf_counter() - started)
        used = self._read_cpu() - before
        self._note(f'{path} processor', used / _REQUESTS)
        self._note(f'{path} p50', statistics.median(seconds))

    def summarize(self) -> dict[str, float]:
        """Give the medians over all turns, microseconds."""
        return {
            name: round(statistics.median(figures) * _MICROSECONDS)
            for name, figures in self._figures.items()
        }

    def _read_cpu(self) -> float:
        nodes = self._fleet.nodes.values()
        return math.fsum(_read_run_time(node.process.pid) for node in nodes)

    def _note(self, name: str, figure: float) -> None:
        self._figures.setdefault(name, []).append(figure)


def _read_run_time(pid: int) -> float:
    """Give the time on a processor of the threads that still run, seconds.

    The clock ticks of ``/proc/PID/stat`` are too coarse for short turns.
    """
    tasks = pathlib.Path(f'/proc/{pid}/task')
    return math.fsum(
        int((task / 'schedstat').read_text().split()[0]) / _NANOSECONDS
        for task in tasks.iterdir()
    )


def main() -> int:
    """Measure and print both versions."""
    before, after = (pathlib.Path(tree).resolve() for tree in sys.argv[1:3])
    with TreeFleet(before) as old, TreeFleet(after) as new:
        for fleet in (old, new):
            latency.apply_declaration(fleet)
        turns = (Turns(old), Turns(new))
        for _ in range(_TURNS):
            for turn in turns:
                turn.take('/near/x')
                turn.take('/far/x')
    summaries = [turn.summarize() for turn in turns]
    for name, microseconds in summaries[0].items():
        later = summaries[1][name]
        sys.stdout.write(f'{name}: {microseconds} us, then {later} us\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
