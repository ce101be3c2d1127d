"""Measures what one change and one restart cost each other node.

Prints bytes sent and received per event and node, without the traffic of an
idle fleet. Ends by itself within about 2 minutes.
"""

import functools
import json
import statistics
import time

from bench.controlfleet import Fleet, Process, run_fleet

_SIZES = (20, 40)
_EVENTS = 6
_PAUSE_SECONDS = 2
_SETTLE_SECONDS = 6


def _total(fleet: Fleet) -> float:
    """Give bytes sent and received by the nodes that are not restarted."""
    answers = fleet.send_to(fleet.processes[:-1], 'stats')
    return statistics.mean(
        sum(each['sent'].values()) + sum(each['received'].values())
        for each in answers
    )


def _measure(fleet: Fleet, idle: float, events: list) -> float:
    started = time.monotonic()
    before = _total(fleet)
    for event in events:
        event()
        time.sleep(_PAUSE_SECONDS)
    time.sleep(_SETTLE_SECONDS)
    seconds = time.monotonic() - started
    return (_total(fleet) - before - idle * seconds) / len(events)


def _restart(fleet: Fleet, later: int) -> None:
    former = fleet.processes.pop()
    former.kill()
    fleet.processes.append(Process(former.index, later))


def measure_size(size: int) -> dict[str, float]:
    """Measure one size of the fleet."""
    with run_fleet(size) as fleet:
        fleet.wait_until_converged()
        time.sleep(_SETTLE_SECONDS)
        before = _total(fleet)
        started = time.monotonic()
        time.sleep(_SETTLE_SECONDS)
        idle = (_total(fleet) - before) / (time.monotonic() - started)
        first = fleet.processes[0]
        changes = [
            functools.partial(first.send_command, 'change', number)
            for number in range(_EVENTS)
        ]
        per_change = _measure(fleet, idle, changes)
        incarnation = int(time.time() * 1000) * 65536
        restarts = [
            functools.partial(_restart, fleet, incarnation + number)
            for number in range(_EVENTS)
        ]
        per_restart = _measure(fleet, idle, restarts)
    return {
        'nodes': size,
        'idle_bytes_per_second': idle,
        'bytes_per_change': per_change,
        'bytes_per_restart': per_restart,
    }


def main() -> None:
    """Measure all sizes."""
    for size in _SIZES:
        print(json.dumps(measure_size(size)), flush=True)


if __name__ == '__main__':
    main()
