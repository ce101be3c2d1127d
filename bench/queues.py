"""Compares the orders of the admission queue on real threads."""

import random
import threading
import time

import attrs

from godwitknot.clock import SystemClock
from godwitknot.outcomes import RefusalError
from godwitknot.servers.admission import (
    ConcurrencyLimiter,
    EarliestDeadlineOrder,
    FifoOrder,
    QueueOrder,
    SlotRequest,
)

_SLOTS = 4
_SERVICE_SECONDS = 0.05
_CALLERS = 48
_RUN_SECONDS = 6.0
# Offered load relative to what the slots can run.
_LOADS = (0.9, 1.3)
_SEEDS = (1, 2, 3)


@attrs.frozen
class WorkKind:
    """A class of work and the time its callers wait."""

    name: str
    deadline: float


_KINDS = (WorkKind('lookup', 0.15), WorkKind('document', 2.0))


@attrs.frozen
class QueueRow:
    """Requests of both classes with one order at one load."""

    order: str
    load: float
    calls: int
    lookups_met: float
    documents_met: float
    refused: float

    def format(self) -> str:
        """Give a line of a Markdown table."""
        return (
            f'| {self.load:.1f} | {self.order} | {self.calls} '
            f'| {self.lookups_met:.2%} | {self.documents_met:.2%} '
            f'| {self.refused:.2%} |'
        )


class _Crowd:
    """Callers of one gate; counts calls, answers in time and refusals."""

    def __init__(self, order: QueueOrder, load: float) -> None:
        self.gate = ConcurrencyLimiter('server', _SLOTS, SystemClock(), order)
        self.calls = dict.fromkeys(_KINDS, 0)
        self.met = dict.fromkeys(_KINDS, 0)
        self.refused = 0
        self._rate = load * _SLOTS / _SERVICE_SECONDS / _CALLERS
        self._lock = threading.Lock()

    def run(self, seed: int) -> None:
        """Call for a while."""
        threads = [
            threading.Thread(target=self._call, args=(random.Random(number),))
            for number in range(seed * _CALLERS, (seed + 1) * _CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _call(self, source: random.Random) -> None:
        due = time.monotonic()
        end = due + _RUN_SECONDS
        while due < end:
            due += source.expovariate(self._rate)
            time.sleep(max(0, due - time.monotonic()))
            self._try_once(source)

    def _try_once(self, source: random.Random) -> None:
        kind = source.choice(_KINDS)
        began = SystemClock().now()
        name = f'{source.random()}'
        deadline = began + kind.deadline
        request = SlotRequest(name, kind.name, name, 5, deadline)
        refused = False
        try:
            with self.gate.hold_slot(request):
                time.sleep(source.gammavariate(4, _SERVICE_SECONDS / 4))
        except RefusalError:
            refused = True
        in_time = SystemClock().now() <= deadline
        with self._lock:
            self.calls[kind] += 1
            self.refused += refused
            self.met[kind] += in_time and not refused


def compare_orders() -> list[QueueRow]:
    """Run both orders at each load with the same seeds."""
    rows = []
    for load in _LOADS:
        for order in (FifoOrder(), EarliestDeadlineOrder()):
            rows.append(_measure(order, load))
    return rows


def _measure(order: QueueOrder, load: float) -> QueueRow:
    crowd = _Crowd(order, load)
    for seed in _SEEDS:
        crowd.run(seed)
    lookup, document = _KINDS
    calls = sum(crowd.calls.values())
    return QueueRow(
        type(order).__name__,
        load,
        calls,
        crowd.met[lookup] / crowd.calls[lookup],
        crowd.met[document] / crowd.calls[document],
        crowd.refused / calls,
    )


QUEUE_HEADER = (
    '| load | order | requests | lookups in 150 ms | documents in 2 s '
    '| refused |\n| --- | --- | --- | --- | --- | --- |'
)
