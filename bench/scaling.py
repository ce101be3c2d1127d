"""Costs within one process against the size of what it holds."""

import random
import time
import tracemalloc

from bench.fleetnode import SERVERS_PER_NODE, make_record
from godwitknot.clock import ManualClock
from godwitknot.control import codec
from godwitknot.control.messages import RecordChange, Records
from godwitknot.declarations.declaration import parse_declaration
from godwitknot.declarations.routes import RouteTable
from godwitknot.membership.directory import Directory
from godwitknot.units import Address

NODE_COUNTS = (20, 60, 120, 200, 300, 420)
ROUTE_COUNTS = (100, 400, 900, 1600, 2600)
_INCARNATION = 1_764_800_000_000 * 65536
_PROBES = 2000
_REPEATS = 5
_MICROSECONDS = 1_000_000


def _decode_record(index: int) -> RecordChange:
    """Make a record as it arrives, with its own copies of all values."""
    address = Address('127.0.0.1', 20000)
    record = make_record(index, address, _INCARNATION + index)
    packed = codec.encode(Records(changes=(RecordChange(record),)))
    return codec.decode(packed).changes[0]


def measure_directory(nodes: int) -> dict[str, float]:
    """Measure memory and merge cost of a directory."""
    changes = [_decode_record(index) for index in range(1, nodes)]
    own = make_record(0, Address('127.0.0.1', 20000), _INCARNATION)
    directory = Directory(own, ManualClock())
    started = time.perf_counter()
    for change in changes:
        directory.merge_change(change)
    merged = time.perf_counter() - started
    started = time.perf_counter()
    for change in changes:
        directory.merge_change(change)
    known = time.perf_counter() - started
    return {
        'memory_bytes': _measure_memory(nodes),
        'merge_microseconds': merged / (nodes - 1) * _MICROSECONDS,
        'known_microseconds': known / (nodes - 1) * _MICROSECONDS,
        'servers_microseconds': _time_servers(directory),
    }


def _measure_memory(nodes: int) -> float:
    tracemalloc.start()
    own = make_record(0, Address('127.0.0.1', 20000), _INCARNATION)
    directory = Directory(own, ManualClock())
    for index in range(1, nodes):
        directory.merge_change(_decode_record(index))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def _time_servers(directory: Directory) -> float:
    best = []
    for _ in range(_REPEATS):
        started = time.perf_counter()
        for number in range(100):
            directory.servers(f'service-{number}')
        best.append((time.perf_counter() - started) / 100)
    return min(best) * _MICROSECONDS


def _declare(routes: int) -> str:
    lines = ['[fleet]', 'owner = bench', '[service web]', 'floor = 1']
    for index in range(routes):
        pattern = f'GET /area-{index}/part-{index % 7}'
        star = '*' if index % 2 else ''
        lines += [
            f'[class c{index}]',
            'service = web',
            f'match = {pattern}{star}',
            'latency = 99% within 300ms',
            'success = 99.9%',
        ]
    return '\n'.join(lines)


def measure_routes(routes: int) -> dict[str, float]:
    """Measure the time to match a request against routes."""
    table = RouteTable(parse_declaration(_declare(routes)))
    rng = random.Random(routes)
    paths = []
    for _ in range(_PROBES):
        index = rng.randrange(routes)
        tail = '/item' if index % 2 else ''
        paths.append(f'/area-{index}/part-{index % 7}{tail}')
    best = []
    for _ in range(_REPEATS):
        started = time.perf_counter()
        for path in paths:
            table.find('GET', path)
        best.append((time.perf_counter() - started) / _PROBES)
    return {'match_microseconds': min(best) * _MICROSECONDS}


def record_bytes() -> int:
    """Give the size of an encoded record of 16 servers."""
    address = Address('127.0.0.1', 20000)
    change = RecordChange(
        make_record(1, address, _INCARNATION, SERVERS_PER_NODE)
    )
    return len(codec.encode(Records(changes=(change,))))
