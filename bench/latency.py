"""Added latency and requests a second of one core, measured in pairs.

Each round sends one request directly to a fake server, one through the node
in front of it and one through another node, so that noise of the machine
hits all three alike. Figures are differences of quantiles in one run.
"""

import contextlib
import functools
import json
import os
import pathlib
import statistics
import sys
import threading
import time
from concurrent import futures

import attrs
import urllib3

from bench.fleet import Fleet, NodePlan, ServerPlan

_ROUNDS = 1500
_LOADED_ROUNDS = 500
_WARM_UP = 200
_LOAD_SECONDS = 6.0
_CLIENTS = 8
_MILLISECONDS = 1000
_RESULT = pathlib.Path('docs/latency.json')
_TICKS = os.sysconf('SC_CLK_TCK')
_DECLARATION = """
[fleet]
owner = bench

[service near]
floor = 1

[service far]
floor = 1

[class near]
service = near
match = GET /near/*
success = 99%
latency = 99% within 100ms

[class far]
service = far
match = GET /far/*
success = 99%
latency = 99% within 100ms
"""

PLANS = (
    NodePlan('a', 'r', 'r-a', (ServerPlan('near-1', 'near', service_ms=2),)),
    NodePlan('b', 'r', 'r-b', (ServerPlan('far-1', 'far', service_ms=2),)),
)


@attrs.frozen
class Quantiles:
    """Latency of one way, milliseconds."""

    p50: float
    p99: float


@attrs.frozen
class Added:
    """Latency that nodes add, milliseconds.

    :param one: through the node in front of the server.
    :param two: through another node first.
    """

    direct: Quantiles
    one: Quantiles
    two: Quantiles

    def rows(self) -> list[tuple[str, float, float]]:
        """Give name, added median and added 99th percentile."""
        return [
            (name, way.p50 - self.direct.p50, way.p99 - self.direct.p99)
            for name, way in (('one node', self.one), ('two nodes', self.two))
        ]


def apply_declaration(fleet: Fleet) -> None:
    """Configure the fleet and let its servers finish their ramp."""
    declaration = fleet.folder / 'latency.ini'
    declaration.write_text(_DECLARATION)
    fleet.apply(declaration, 'a')
    time.sleep(2)


def measure_quantiles(samples: list[float]) -> Quantiles:
    """Summarize seconds as milliseconds."""
    cuts = statistics.quantiles(samples, n=100)
    return Quantiles(cuts[49] * _MILLISECONDS, cuts[98] * _MILLISECONDS)


def time_requests(urls: list[str], rounds: int) -> list[list[float]]:
    """Send one request to each address in turn, over kept connections.

    :returns: seconds of each address.
    """
    pool = urllib3.PoolManager(retries=False)
    samples: list[list[float]] = [[] for _ in urls]
    for number in range(rounds + _WARM_UP):
        for url, times in zip(urls, samples, strict=True):
            started = time.perf_counter()
            pool.request('GET', url)
            if number >= _WARM_UP:
                times.append(time.perf_counter() - started)
    return samples


def measure_added(fleet: Fleet, rounds: int = _ROUNDS) -> Added:
    """Measure the three ways to one server."""
    near = fleet.nodes['a'].servers['near-1']
    ingress = fleet.nodes['a'].ingress
    urls = [
        f'http://{near}/near/x',
        f'http://{ingress}/near/x',
        f'http://{ingress}/far/x',
    ]
    samples = time_requests(urls, rounds)
    return Added(*(measure_quantiles(times) for times in samples))


def measure_loaded(fleet: Fleet, rate: float) -> Added:
    """Measure the three ways while other clients send requests.

    :param rate: requests a second of the other clients together.
    """
    stopped = threading.Event()
    url = f'http://{fleet.nodes["a"].ingress}/near/x'
    with futures.ThreadPoolExecutor(_CLIENTS) as pool:
        for _ in range(_CLIENTS):
            pool.submit(_ask_at_rate, url, rate / _CLIENTS, stopped)
        with contextlib.ExitStack() as ending:
            ending.callback(stopped.set)
            return measure_added(fleet, _LOADED_ROUNDS)


def _ask_at_rate(url: str, rate: float, stopped: threading.Event) -> None:
    pool = urllib3.PoolManager(retries=False)
    due = time.monotonic()
    while not stopped.wait(max(0, due - time.monotonic())):
        pool.request('GET', url)
        due = max(due + 1 / rate, time.monotonic())


def measure_capacity(fleet: Fleet, path: str) -> tuple[float, float]:
    """Load one node from several clients.

    :returns: requests a second, and those for each busy core of the node.
    """
    process = fleet.nodes['a'].process
    url = f'http://{fleet.nodes["a"].ingress}{path}'
    ended = time.monotonic() + _LOAD_SECONDS
    before = read_cpu_seconds(process.pid)
    with futures.ThreadPoolExecutor(_CLIENTS) as pool:
        ask = functools.partial(_ask_until, url, ended)
        total = sum(pool.map(ask, range(_CLIENTS)))
    used = read_cpu_seconds(process.pid) - before
    return total / _LOAD_SECONDS, total / used


def _ask_until(url: str, ended: float, client: int) -> int:
    pool = urllib3.PoolManager(retries=False)
    count = 0
    while time.monotonic() < ended:
        pool.request('GET', url)
        count += 1
    return count


def read_cpu_seconds(pid: int) -> float:
    """Give the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS


def main() -> int:
    """Measure, print and write the figures."""
    with Fleet(PLANS) as fleet:
        apply_declaration(fleet)
        low = measure_added(fleet)
        near = measure_capacity(fleet, '/near/x')
        far = measure_capacity(fleet, '/far/x')
        half = measure_loaded(fleet, near[0] / 2)
    for load, added in (('low load', low), ('half capacity', half)):
        for name, p50, p99 in added.rows():
            sys.stdout.write(
                f'{load}, {name}: p50 +{p50:.2f} ms, p99 +{p99:.2f} ms\n'
            )
    sys.stdout.write(f'one node: {near[1]:.0f} requests for a core-second\n')
    sys.stdout.write(f'ingress only: {far[1]:.0f} for a core-second\n')
    document = {
        'command': 'python -m bench.latency',
        'added': attrs.asdict(low),
        'added_at_half_capacity': attrs.asdict(half),
        'near': near,
        'far': far,
        'rounds': _ROUNDS,
        'rounds_at_half_capacity': _LOADED_ROUNDS,
    }
    text = json.dumps(document, indent=2)
    _RESULT.write_text(f'{text}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
