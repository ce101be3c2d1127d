"""Measures the control traffic of one change and of one restart.

Prints bytes sent and received by each other node per event, minus the
traffic of an idle fleet. Finishes within about 2 minutes.
"""

import functools
import json
import statistics
import time

from bench.controlfleet import Fleet, Process, run_fleet

_SIZES = (20, 40)
_EVENT_COUNT = 6
_EVENT_INTERVAL_SECONDS = 2
_SETTLE_SECONDS = 6


def _mean_traffic(fleet: Fleet) -> float:
    """Return the mean bytes sent and received by nodes never restarted."""
    node_stats = fleet.send_to(fleet.processes[:-1], 'stats')
    return statistics.mean(
        sum(each['sent'].values()) + sum(each['received'].values())
        for each in node_stats
    )


def _measure_bytes_per_event(
    fleet: Fleet, idle_rate: float, events: list
) -> float:
    started = time.monotonic()
    before = _mean_traffic(fleet)
    for event in events:
        event()
        time.sleep(_EVENT_INTERVAL_SECONDS)
    time.sleep(_SETTLE_SECONDS)
    elapsed = time.monotonic() - started
    return (_mean_traffic(fleet) - before - idle_rate * elapsed) / len(events)


def _restart(fleet: Fleet, new_incarnation: int) -> None:
    stopped = fleet.processes.pop()
    stopped.kill()
    fleet.processes.append(Process(stopped.index, new_incarnation))


def measure_size(size: int) -> dict[str, float]:
    """Measure a fleet of one size.

    :param size: number of nodes.
    :returns: the size, bytes per second when idle, and bytes per event.
    """
    with run_fleet(size) as fleet:
        fleet.wait_until_converged()
        time.sleep(_SETTLE_SECONDS)
        before = _mean_traffic(fleet)
        started = time.monotonic()
        time.sleep(_SETTLE_SECONDS)
        idle_rate = (_mean_traffic(fleet) - before) / (
            time.monotonic() - started
        )
        first = fleet.processes[0]
        changes = [
            functools.partial(first.send_command, 'change', number)
            for number in range(_EVENT_COUNT)
        ]
        per_change = _measure_bytes_per_event(fleet, idle_rate, changes)
        incarnation = int(time.time() * 1000) * 65536
        restarts = [
            functools.partial(_restart, fleet, incarnation + number)
            for number in range(_EVENT_COUNT)
        ]
        per_restart = _measure_bytes_per_event(fleet, idle_rate, restarts)
    return {
        'nodes': size,
        'idle_bytes_per_second': idle_rate,
        'bytes_per_change': per_change,
        'bytes_per_restart': per_restart,
    }


def main() -> None:
    """Measure all fleet sizes and print one JSON object for each."""
    for size in _SIZES:
        print(json.dumps(measure_size(size)), flush=True)


if __name__ == '__main__':
    main()
