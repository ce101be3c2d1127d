"""Measures the latency that nodes add and their requests per core-second.

Each round sends one request directly to a fake server, one through the node
in front of it and one through another node first, so that noise of the
machine affects all three alike. Added latency is the difference between
quantiles of the same run.
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
_WARM_UP_ROUNDS = 200
_LOAD_SECONDS = 6.0
_CLIENTS = 8
_MILLISECONDS_PER_SECOND = 1000
_RESULT_PATH = pathlib.Path('docs/latency.json')
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
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
    """Latency quantiles of one request path, milliseconds."""

    p50: float
    p99: float


@attrs.frozen
class PathLatencies:
    """Latencies of the three request paths to one server.

    :param direct: without a node.
    :param one: through the node in front of the server.
    :param two: through another node first.
    """

    direct: Quantiles
    one: Quantiles
    two: Quantiles

    def compute_added(self) -> list[tuple[str, float, float]]:
        """Return the latency that nodes add to a direct request.

        :returns: for each path through nodes its name, added median and added
            99th percentile, milliseconds.
        """
        return [
            (
                name,
                path_latency.p50 - self.direct.p50,
                path_latency.p99 - self.direct.p99,
            )
            for name, path_latency in (
                ('one node', self.one),
                ('two nodes', self.two),
            )
        ]


def apply_declaration(fleet: Fleet) -> None:
    """Configure the fleet and wait until its servers have ramped up."""
    declaration = fleet.folder / 'latency.ini'
    declaration.write_text(_DECLARATION)
    fleet.apply(declaration, 'a')
    time.sleep(2)


def compute_quantiles(samples: list[float]) -> Quantiles:
    """Return median and 99th percentile.

    :param samples: seconds.
    """
    percentiles = statistics.quantiles(samples, n=100)
    return Quantiles(
        percentiles[49] * _MILLISECONDS_PER_SECOND,
        percentiles[98] * _MILLISECONDS_PER_SECOND,
    )


def time_requests(urls: list[str], rounds: int) -> list[list[float]]:
    """Send one request per round to each URL, over persistent connections.

    :returns: latencies of each URL in seconds, without the warm-up rounds.
    """
    pool = urllib3.PoolManager(retries=False)
    samples: list[list[float]] = [[] for _ in urls]
    for number in range(rounds + _WARM_UP_ROUNDS):
        for url, times in zip(urls, samples, strict=True):
            started = time.perf_counter()
            pool.request('GET', url)
            if number >= _WARM_UP_ROUNDS:
                times.append(time.perf_counter() - started)
    return samples


def measure_paths(fleet: Fleet, rounds: int = _ROUNDS) -> PathLatencies:
    """Measure the three request paths without other load."""
    server_address = fleet.nodes['a'].servers['near-1']
    ingress = fleet.nodes['a'].ingress
    urls = [
        f'http://{server_address}/near/x',
        f'http://{ingress}/near/x',
        f'http://{ingress}/far/x',
    ]
    samples = time_requests(urls, rounds)
    return PathLatencies(*(compute_quantiles(times) for times in samples))


def measure_loaded_paths(fleet: Fleet, rate: float) -> PathLatencies:
    """Measure the three request paths while other clients send requests.

    :param rate: requests per second of all other clients together.
    """
    stopped = threading.Event()
    url = f'http://{fleet.nodes["a"].ingress}/near/x'
    with futures.ThreadPoolExecutor(_CLIENTS) as pool:
        for _ in range(_CLIENTS):
            pool.submit(_send_at_rate, url, rate / _CLIENTS, stopped)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(stopped.set)
            return measure_paths(fleet, _LOADED_ROUNDS)


def _send_at_rate(url: str, rate: float, stopped: threading.Event) -> None:
    pool = urllib3.PoolManager(retries=False)
    due = time.monotonic()
    while not stopped.wait(max(0, due - time.monotonic())):
        pool.request('GET', url)
        due = max(due + 1 / rate, time.monotonic())


def measure_capacity(fleet: Fleet, path: str) -> tuple[float, float]:
    """Send requests to one node as fast as several clients can.

    :returns: requests per second, and requests per core-second of the node.
    """
    process = fleet.nodes['a'].process
    url = f'http://{fleet.nodes["a"].ingress}{path}'
    end = time.monotonic() + _LOAD_SECONDS
    before = read_cpu_seconds(process.pid)
    with futures.ThreadPoolExecutor(_CLIENTS) as pool:
        send = functools.partial(_send_until, url, end)
        total = sum(pool.map(send, range(_CLIENTS)))
    cpu_seconds = read_cpu_seconds(process.pid) - before
    return total / _LOAD_SECONDS, total / cpu_seconds


def _send_until(url: str, end: float, client: int) -> int:
    pool = urllib3.PoolManager(retries=False)
    count = 0
    while time.monotonic() < end:
        pool.request('GET', url)
        count += 1
    return count


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_SECOND


def main() -> int:
    """Measure, print the results and write them to a file."""
    with Fleet(PLANS) as fleet:
        apply_declaration(fleet)
        low_load = measure_paths(fleet)
        near_capacity = measure_capacity(fleet, '/near/x')
        far_capacity = measure_capacity(fleet, '/far/x')
        half_load = measure_loaded_paths(fleet, near_capacity[0] / 2)
    for load, added in (('low load', low_load), ('half capacity', half_load)):
        for name, p50, p99 in added.compute_added():
            sys.stdout.write(
                f'{load}, {name}: p50 +{p50:.2f} ms, p99 +{p99:.2f} ms\n'
            )
    sys.stdout.write(
        f'one node: {near_capacity[1]:.0f} requests for a core-second\n'
    )
    sys.stdout.write(f'ingress only: {far_capacity[1]:.0f} for a core-second\n')
    document = {
        'command': 'python -m bench.latency',
        'added': attrs.asdict(low_load),
        'added_at_half_capacity': attrs.asdict(half_load),
        'near': near_capacity,
        'far': far_capacity,
        'rounds': _ROUNDS,
        'rounds_at_half_capacity': _LOADED_ROUNDS,
    }
    text = json.dumps(document, indent=2)
    _RESULT_PATH.write_text(f'{text}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
