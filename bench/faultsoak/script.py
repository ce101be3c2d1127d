"""Lanes of events that overlap, drawn from a seed."""

import random
import threading
import time
from collections.abc import Callable

import attrs

from bench.faultsoak.faults import PLANNED, STOPS, UNPLANNED
from bench.faultsoak.fleet import SoakFleet

_MOST_GAP_SECONDS = 0.6


@attrs.frozen
class Span:
    """An unplanned fault, on the monotonic clock.

    :param server: name of the machine whose server it harmed, if one.
    """

    kind: str
    start: float
    end: float
    server: str = ''


class EventScript:
    """Draws events; several lanes of them overlap."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Prepare for one seed."""
        self.spans: list[Span] = []
        self.count = 0
        self._fleet = fleet
        self._seed = seed

    def run_all_events(self, seconds: float) -> None:
        """Cause planned and unplanned events in three lanes."""
        self._run_lanes(seconds, [UNPLANNED, UNPLANNED, PLANNED])

    def run_planned_events(self, seconds: float) -> None:
        """Cause planned events only, in three lanes."""
        self._run_lanes(seconds, [PLANNED, PLANNED, STOPS])

    def _run_lanes(
        self, seconds: float, lanes: list[tuple[Callable, ...]]
    ) -> None:
        until = time.monotonic() + seconds
        threads = [
            threading.Thread(
                target=self._run_lane,
                args=(until, events, random.Random(f'{self._seed}/{number}')),
            )
            for number, events in enumerate(lanes, len(self.spans))
        ]
        for thread in threads:
            thread.start()
        for started in threads:
            started.join()

    def _run_lane(
        self,
        until: float,
        events: tuple[Callable, ...],
        rng: random.Random,
    ) -> None:
        while time.monotonic() < until:
            time.sleep(rng.uniform(0, _MOST_GAP_SECONDS))
            event = rng.choice(events)
            machine = rng.choice(self._fleet.machines)
            self.count += 1
            start = time.monotonic()
            event(self._fleet, machine, rng)
            if events is UNPLANNED:
                name = event.__name__
                harmed = machine.name if name.startswith('server') else ''
                end = time.monotonic()
                self.spans.append(Span(name, start, end, harmed))
