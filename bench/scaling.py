"""Measures memory and CPU costs of one process by its number of entries."""

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
_LOOKUPS = 2000
_REPEATS = 5
_MICROSECONDS = 1_000_000


def _decode_record(index: int) -> RecordChange:
    """Return a record decoded from its wire form.

    Like a received record, it shares no values with other records.
    """
    address = Address('127.0.0.1', 20000)
    record = make_record(index, address, _INCARNATION + index)
    packed = codec.encode(Records(changes=(RecordChange(record),)))
    return codec.decode(packed).changes[0]


def measure_directory(nodes: int) -> dict[str, float]:
    """Measure memory, merge and lookup costs of a directory.

    :param nodes: number of records, including the local one.
    """
    changes = [_decode_record(index) for index in range(1, nodes)]
    local_record = make_record(0, Address('127.0.0.1', 20000), _INCARNATION)
    directory = Directory(local_record, ManualClock())
    started = time.perf_counter()
    for change in changes:
        directory.merge_change(change)
    merge_seconds = time.perf_counter() - started
    started = time.perf_counter()
    for change in changes:
        directory.merge_change(change)
    known_seconds = time.perf_counter() - started
    return {
        'memory_bytes': _measure_memory(nodes),
        'merge_microseconds': merge_seconds / (nodes - 1) * _MICROSECONDS,
        'known_microseconds': known_seconds / (nodes - 1) * _MICROSECONDS,
        'servers_microseconds': _time_server_lookups(directory),
    }


def _measure_memory(nodes: int) -> float:
    tracemalloc.start()
    local_record = make_record(0, Address('127.0.0.1', 20000), _INCARNATION)
    directory = Directory(local_record, ManualClock())
    for index in range(1, nodes):
        directory.merge_change(_decode_record(index))
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return traced_bytes


def _time_server_lookups(directory: Directory) -> float:
    durations = []
    for _ in range(_REPEATS):
        started = time.perf_counter()
        for number in range(100):
            directory.servers(f'service-{number}')
        durations.append((time.perf_counter() - started) / 100)
    return min(durations) * _MICROSECONDS


def _format_declaration(routes: int) -> str:
    lines = ['[fleet]', 'owner = bench', '[service web]', 'floor = 1']
    for index in range(routes):
        pattern = f'GET /area-{index}/part-{index % 7}'
        wildcard = '*' if index % 2 else ''
        lines += [
            f'[class c{index}]',
            'service = web',
            f'match = {pattern}{wildcard}',
            'latency = 99% within 300ms',
            'success = 99.9%',
        ]
    return '\n'.join(lines)


def measure_routes(routes: int) -> dict[str, float]:
    """Measure the time to match a request against a number of routes."""
    table = RouteTable(parse_declaration(_format_declaration(routes)))
    rng = random.Random(routes)
    paths = []
    for _ in range(_LOOKUPS):
        index = rng.randrange(routes)
        suffix = '/item' if index % 2 else ''
        paths.append(f'/area-{index}/part-{index % 7}{suffix}')
    durations = []
    for _ in range(_REPEATS):
        started = time.perf_counter()
        for path in paths:
            table.find('GET', path)
        durations.append((time.perf_counter() - started) / _LOOKUPS)
    return {'match_microseconds': min(durations) * _MICROSECONDS}


def measure_record_bytes() -> int:
    """Return the size of an encoded record of 16 servers."""
    address = Address('127.0.0.1', 20000)
    change = RecordChange(
        make_record(1, address, _INCARNATION, SERVERS_PER_NODE)
    )
    return len(codec.encode(Records(changes=(change,))))
