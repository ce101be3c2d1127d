"""Compares the orders of the admission queue with calls from real threads."""

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
# Offered load as a share of the capacity of the slots.
_LOADS = (0.9, 1.3)
_SEEDS = (1, 2, 3)


@attrs.frozen
class WorkClass:
    """A class of work and how long its callers wait."""

    name: str
    timeout_seconds: float


_WORK_CLASSES = (WorkClass('lookup', 0.15), WorkClass('document', 2.0))


@attrs.frozen
class QueueRow:
    """Results of one order at one load, as shares of the requests.

    :param load: offered load as a share of the capacity.
    :param lookups_met: lookups that ended before their deadline.
    :param documents_met: documents that ended before their deadline.
    """

    order: str
    load: float
    calls: int
    lookups_met: float
    documents_met: float
    refused: float

    def format(self) -> str:
        """Return a line of a Markdown table."""
        return (
            f'| {self.load:.1f} | {self.order} | {self.calls} '
            f'| {self.lookups_met:.2%} | {self.documents_met:.2%} '
            f'| {self.refused:.2%} |'
        )


class _CallerGroup:
    """Callers of one limiter; counts calls, calls in time and refusals."""

    def __init__(self, order: QueueOrder, load: float) -> None:
        self.limiter = ConcurrencyLimiter(
            'server', _SLOTS, SystemClock(), order
        )
        self.calls = dict.fromkeys(_WORK_CLASSES, 0)
        self.met = dict.fromkeys(_WORK_CLASSES, 0)
        self.refused = 0
        self._rate = load * _SLOTS / _SERVICE_SECONDS / _CALLERS
        self._lock = threading.Lock()

    def run(self, seed: int) -> None:
        """Run all callers until their time is over."""
        threads = [
            threading.Thread(target=self._call, args=(random.Random(number),))
            for number in range(seed * _CALLERS, (seed + 1) * _CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _call(self, rng: random.Random) -> None:
        due = time.monotonic()
        end = due + _RUN_SECONDS
        while due < end:
            due += rng.expovariate(self._rate)
            time.sleep(max(0, due - time.monotonic()))
            self._try_once(rng)

    def _try_once(self, rng: random.Random) -> None:
        work_class = rng.choice(_WORK_CLASSES)
        started = SystemClock().now()
        request_id = f'{rng.random()}'
        deadline = started + work_class.timeout_seconds
        request = SlotRequest(
            request_id, work_class.name, request_id, 5, deadline
        )
        refused = False
        try:
            with self.limiter.hold_slot(request):
                time.sleep(rng.gammavariate(4, _SERVICE_SECONDS / 4))
        except RefusalError:
            refused = True
        in_time = SystemClock().now() <= deadline
        with self._lock:
            self.calls[work_class] += 1
            self.refused += refused
            self.met[work_class] += in_time and not refused


def compare_orders() -> list[QueueRow]:
    """Measure both orders at each load with the same seeds."""
    rows = []
    for load in _LOADS:
        for order in (FifoOrder(), EarliestDeadlineOrder()):
            rows.append(_measure(order, load))
    return rows


def _measure(order: QueueOrder, load: float) -> QueueRow:
    group = _CallerGroup(order, load)
    for seed in _SEEDS:
        group.run(seed)
    lookup, document = _WORK_CLASSES
    calls = sum(group.calls.values())
    return QueueRow(
        type(order).__name__,
        load,
        calls,
        group.met[lookup] / group.calls[lookup],
        group.met[document] / group.calls[document],
        group.refused / calls,
    )


QUEUE_HEADER = (
    '| load | order | requests | lookups in 150 ms | documents in 2 s '
    '| refused |\n| --- | --- | --- | --- | --- | --- |'
)
