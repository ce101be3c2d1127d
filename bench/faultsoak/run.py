"""Run one seeded fault soak and check it."""

import contextlib
import pathlib
import time
from collections.abc import Callable
from http.client import HTTPException

import attrs

from bench.faultsoak.callers import Caller, Prober
from bench.faultsoak.fleet import SoakFleet, SoakMachine
from bench.faultsoak.promises import (
    CONTACT_SECONDS,
    History,
    Violation,
    check_history,
)
from bench.faultsoak.script import EventScript

_CALLERS = 6
_FAULT_SECONDS = 6.0
_PLANNED_SECONDS = 5.0
# Lets requests finish that began before the end of the planned events.
_COMPLETION_SECONDS = 3.5
# Time limits that follow from the settings of the nodes.
_APPLY_SECONDS = 2.5
_RECOVER_SECONDS = 15.0
_POLL_INTERVAL_SECONDS = 0.2


@attrs.frozen
class Report:
    """The result of one soak.

    :param served: calls with status 200.
    :param faults: number of planned and unplanned events.
    """

    seed: int
    calls: int
    served: int
    faults: int
    violations: tuple[Violation, ...]


def run_soak(seed: int, folder: pathlib.Path) -> Report:
    """Run one soak and check it.

    :param seed: determines faults and calls.
    :param folder: receives settings and logs of the nodes.
    """
    fleet = SoakFleet(folder)
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start()
        script = EventScript(fleet, seed)
        callers = [
            Caller(fleet, f'{seed}-{number}', f'{seed}/{number}')
            for number in range(_CALLERS)
        ]
        callers += [
            Caller(fleet, f'{seed}-{name}', f'{seed}/{name}', fixed_machine)
            for fixed_machine in fleet.machines
            for name in (f'{fixed_machine.name}-1', f'{fixed_machine.name}-2')
        ]
        prober = Prober(fleet)
        for thread in (*callers, prober):
            thread.start()
        script.run_all_events(_FAULT_SECONDS)
        found = list(_check_recovery(fleet))
        time.sleep(CONTACT_SECONDS)
        for change in (
            fleet.change_configuration,
            fleet.change_configuration_after_restore,
        ):
            found.extend(_check_active_version(fleet, change))
        planned_start = time.monotonic()
        script.run_planned_events(_PLANNED_SECONDS)
        time.sleep(_COMPLETION_SECONDS)
        ended = time.monotonic()
        for worker in (*callers, prober):
            worker.ended.set()
            worker.join()
        fleet.record_unexpected_exits()
    history = History(
        calls=[call for caller in callers for call in caller.calls],
        probes=prober.probes,
        runs=[run for each in fleet.machines for run in each.server.runs],
        spans=script.spans,
        departures=fleet.departures,
        exits=fleet.exits,
        versions=fleet.versions,
        planned=(planned_start, ended),
    )
    found.extend(check_history(history))
    return Report(
        seed,
        len(history.calls),
        sum(call.status == 200 for call in history.calls),
        script.count,
        tuple(found),
    )


def _check_recovery(fleet: SoakFleet) -> list[Violation]:
    end = time.monotonic() + _RECOVER_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(OSError, HTTPException):
            if fleet.is_recovered():
                return []
        time.sleep(_POLL_INTERVAL_SECONDS)
    return [Violation('recovery', f'not served {_RECOVER_SECONDS} s later')]


def _check_active_version(
    fleet: SoakFleet, change: Callable[[], None]
) -> list[Violation]:
    """Check that each node applies a new version in time.

    :param change: stores the new version.
    """
    change()
    time.sleep(_APPLY_SECONDS)
    newest = max(fleet.versions)
    found = []
    for machine in fleet.machines:
        for version, expected in ((newest, 200), (newest - 1, 404)):
            status = _fetch_route_status(machine, version)
            if status != expected:
                detail = f'{machine.name}: v{version} is {status}'
                found.append(Violation('in force', detail))
    return found


def _fetch_route_status(machine: SoakMachine, version: int) -> int:
    """Return the status of the route of a version, 0 without a response."""
    attempt_id = f'check-{time.monotonic_ns()}'
    with contextlib.suppress(OSError, HTTPException):
        return machine.send(f'/v{version}/x', attempt_id)[0].status
    return 0
