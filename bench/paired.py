"""Compares the processor time per request of two versions of the package.

Both versions run at the same time and receive requests in short alternating
turns, so that noise of the machine affects them alike. Usage:
``python -m bench.paired BEFORE AFTER``, each the root of a source tree.
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
        """Write the settings of the two nodes of ``bench.latency``.

        :param tree: root of the source tree.
        """
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


class FleetSampler:
    """Sends requests to one fleet in turns and collects the samples."""

    def __init__(self, fleet: Fleet) -> None:
        """Create the connection pool."""
        self._fleet = fleet
        self._pool = urllib3.PoolManager(retries=False)
        self._samples: dict[str, list[float]] = {}

    def run_turn(self, path: str) -> None:
        """Send requests one after the other and record a turn's samples.

        Records processor time per request and median latency.
        """
        ingress = self._fleet.nodes['a'].ingress
        before = self._read_cpu()
        seconds = []
        for _ in range(_REQUESTS):
            started = time.perf_counter()
            self._pool.request('GET', f'http://{ingress}{path}')
            seconds.append(time.perf_counter() - started)
        cpu_seconds = self._read_cpu() - before
        self._record(f'{path} processor', cpu_seconds / _REQUESTS)
        self._record(f'{path} p50', statistics.median(seconds))

    def summarize(self) -> dict[str, float]:
        """Return the medians over all turns, microseconds."""
        return {
            name: round(statistics.median(samples) * _MICROSECONDS)
            for name, samples in self._samples.items()
        }

    def _read_cpu(self) -> float:
        nodes = self._fleet.nodes.values()
        return math.fsum(_read_cpu_seconds(node.process.pid) for node in nodes)

    def _record(self, name: str, sample: float) -> None:
        self._samples.setdefault(name, []).append(sample)


def _read_cpu_seconds(pid: int) -> float:
    """Return the processor time of a process's live threads, seconds.

    The clock ticks of ``/proc/PID/stat`` are too coarse for short turns.
    """
    tasks = pathlib.Path(f'/proc/{pid}/task')
    return math.fsum(
        int((task / 'schedstat').read_text().split()[0]) / _NANOSECONDS
        for task in tasks.iterdir()
    )


def main() -> int:
    """Measure both versions and print the medians."""
    before, after = (pathlib.Path(tree).resolve() for tree in sys.argv[1:3])
    with TreeFleet(before) as old, TreeFleet(after) as new:
        for fleet in (old, new):
            latency.apply_declaration(fleet)
        samplers = (FleetSampler(old), FleetSampler(new))
        for _ in range(_TURNS):
            for sampler in samplers:
                sampler.run_turn('/near/x')
                sampler.run_turn('/far/x')
    summaries = [sampler.summarize() for sampler in samplers]
    for name, before_microseconds in summaries[0].items():
        after_microseconds = summaries[1][name]
        sys.stdout.write(
            f'{name}: {before_microseconds} us, then {after_microseconds} us\n'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
