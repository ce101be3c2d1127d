"""Draws overlapping events of a fault soak from its seed."""

import random
import threading
import time
from collections.abc import Callable

import attrs

from bench.faultsoak.faults import (
    LINKS,
    PLANNED,
    RESPONSE_FAULTS,
    RESTORES,
    STOPS,
    UNPLANNED,
)
from bench.faultsoak.fleet import SoakFleet

_MAX_GAP_SECONDS = 0.6


@attrs.frozen
class Span:
    """An unplanned fault; times are monotonic seconds.

    :param kind: name of the event function.
    :param server: name of the machine whose server failed, or empty.
    """

    kind: str
    start: float
    end: float
    server: str = ''


class EventScript:
    """Runs random events in parallel lanes."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Create the script of a seed; no event has run yet."""
        self.spans: list[Span] = []
        self.count = 0
        self._fleet = fleet
        self._seed = seed

    def run_all_events(self, seconds: float) -> None:
        """Run planned and unplanned events in six lanes."""
        lanes = [
            UNPLANNED,
            UNPLANNED,
            PLANNED,
            LINKS,
            RESTORES,
            RESPONSE_FAULTS,
        ]
        self._run_lanes(seconds, lanes)

    def run_planned_events(self, seconds: float) -> None:
        """Run planned events only, in three lanes."""
        self._run_lanes(seconds, [PLANNED, PLANNED, STOPS])

    def _run_lanes(
        self, seconds: float, lanes: list[tuple[Callable, ...]]
    ) -> None:
        deadline = time.monotonic() + seconds
        threads = [
            threading.Thread(
                target=self._run_lane,
                args=(
                    deadline,
                    events,
                    random.Random(f'{self._seed}/{number}'),
                ),
            )
            for number, events in enumerate(lanes, len(self.spans))
        ]
        for thread in threads:
            thread.start()
        for running in threads:
            running.join()

    def _run_lane(
        self,
        deadline: float,
        events: tuple[Callable, ...],
        rng: random.Random,
    ) -> None:
        while time.monotonic() < deadline:
            time.sleep(rng.uniform(0, _MAX_GAP_SECONDS))
            event = rng.choice(events)
            machine = rng.choice(self._fleet.machines)
            self.count += 1
            start = time.monotonic()
            event(self._fleet, machine, rng)
            if events in {UNPLANNED, RESTORES, RESPONSE_FAULTS}:
                name = event.__name__
                failed_server = (
                    machine.name if name.startswith('server') else ''
                )
                end = time.monotonic()
                self.spans.append(Span(name, start, end, failed_server))
