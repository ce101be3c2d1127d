"""Admission control of one backend server: slots, queue and shedding."""

import abc
import collections
import contextlib
import itertools
import math
import statistics
import threading
from collections.abc import Iterator

import attrs

from godwitknot.clock import Clock
from godwitknot.outcomes import Code, RefusalError

# The queue absorbs a burst; a longer one only adds waiting time.
_QUEUE_PER_SLOT = 2
# Service times kept per class for the median.
_TIMES_KEPT = 31
# Below this a median is a guess and refuses nobody.
_MIN_TIMES = 5


@attrs.frozen
class SlotRequest:
    """A request that asks for a slot.

    :param request_id: unique among the requests at the gate.
    :param work_class: name of the class of work.
    :param account: account that shares are counted by, may be empty.
    :param priority: 1 is served first, 9 is shed first.
    :param deadline: on the monotonic clock, seconds.
    """

    request_id: str
    work_class: str
    account: str
    priority: int
    deadline: float


@attrs.frozen
class Load:
    """Load of a server as its sidecar counts it."""

    running: int
    queued: int
    slots: int


@attrs.define(eq=False)
class Waiter:
    """A queued request.

    :param sequence: order of arrival.
    :param refusal: set if it leaves the queue without a slot.
    """

    request: SlotRequest
    sequence: int
    wake: threading.Event = attrs.field(factory=threading.Event)
    refusal: RefusalError | None = None


class QueueOrder(abc.ABC):
    """Order in which queued requests get slots."""

    @abc.abstractmethod
    def rank(self, waiter: Waiter) -> tuple[float, int]:
        """Give the sort key; the lowest gets the next slot."""


class FifoOrder(QueueOrder):
    """First come, first served."""

    def rank(self, waiter: Waiter) -> tuple[float, int]:
        """Rank by arrival."""
        return (0, waiter.sequence)


class EarliestDeadlineOrder(QueueOrder):
    """The request with the least time left goes first."""

    def rank(self, waiter: Waiter) -> tuple[float, int]:
        """Rank by deadline, then by arrival."""
        return (waiter.request.deadline, waiter.sequence)


class _Times:
    """Recent times per class."""

    def __init__(self) -> None:
        self._times: dict[str, collections.deque[float]] = {}

    def add(self, work_class: str, seconds: float) -> None:
        kept = self._times.setdefault(
            work_class, collections.deque(maxlen=_TIMES_KEPT)
        )
        kept.append(seconds)

    def median(self, work_class: str) -> float:
        kept = self._times.get(work_class, ())
        if len(kept) < _MIN_TIMES:
            return 0
        return statistics.median(kept)


class Slot:
    """A slot that a request holds."""

    def __init__(self, gate: 'Gate', request: SlotRequest, now: float) -> None:
        """Note when the request got the slot."""
        self.request = request
        self.since = now
        self.answered = False
        self._gate = gate

    def note_answered(self) -> None:
        """Record the service time at the first byte of the response.

        A download to a slow reader holds the slot for longer than the
        server needs, and must not raise the median service time.
        """
        self._gate.note_service(self)


class ConcurrencyLimiter:
    """Slots and queue of one server; every request passes through it."""

    def __init__(
        self,
        server_name: str,
        slots: int,
        clock: Clock,
        order: QueueOrder | None = None,
    ) -> None:
        """Open the gate with all slots free.

        :param slots: requests that the server runs at a time.
        :param order: order of the queue, earliest deadline first if left out.
        """
        self.server_name = server_name
        self._slots = slots
        self._clock = clock
        self._order = order or EarliestDeadlineOrder()
        self._lock = threading.Lock()
        self._running: dict[str, Slot] = {}
        self._queue: list[Waiter] = []
        self._sequence = itertools.count()
        self._service = _Times()
        self._held = _Times()

    @contextlib.contextmanager
    def hold_slot(self, request: SlotRequest) -> Iterator[Slot]:
        """Wait for a slot and hold it for the body of the ``with``.

        :raises RefusalError: as not run, if the request gets no slot.
        """
        slot = self._take(request)
        try:
            yield slot
        finally:
            self._release(slot)

    def load(self) -> Load:
        """Give the present load."""
        with self._lock:
            return Load(len(self._running), len(self._queue), self._slots)

    def cancel(self, request_id: str) -> bool:
        """Remove a queued request, whose caller has gone.

        :returns: whether it was queued.
        """
        with self._lock:
            for waiter in self._queue:
                if waiter.request.request_id == request_id:
                    self._dismiss(waiter, RefusalError(Code.CANCELLED))
                    return True
        return False

    def median_service(self, work_class: str) -> float:
        """Give the median service time in seconds, 0 while unknown."""
        with self._lock:
            return self._service.median(work_class)

    def note_service(self, slot: Slot) -> None:
        """Record the service time of a running request once."""
        with self._lock:
            if not slot.answered:
                slot.answered = True
                elapsed = self._clock.now() - slot.since
                self._service.add(slot.request.work_class, elapsed)

    def _take(self, request: SlotRequest) -> Slot:
        waiter = Waiter(request, next(self._sequence))
        with self._lock:
            self._check_deadline(waiter)
            if len(self._running) < self._slots:
                return self._start(request)
            self._queue.append(waiter)
            if len(self._queue) > self._slots * _QUEUE_PER_SLOT:
                self._shed(waiter)
        remaining = request.deadline - self._clock.now()
        waiter.wake.wait(max(0, remaining))
        return self._finish_wait(waiter)

    def _finish_wait(self, waiter: Waiter) -> Slot:
        with self._lock:
            if waiter in self._queue:
                self._dismiss(waiter, RefusalError(Code.DEADLINE_PASSED))
            if waiter.refusal is not None:
                raise waiter.refusal
            return self._running[waiter.request.request_id]

    def _start(self, request: SlotRequest) -> Slot:
        slot = Slot(self, request, self._clock.now())
        self._running[request.request_id] = slot
        return slot

    def _release(self, slot: Slot) -> None:
        with self._lock:
            now = self._clock.now()
            work_class = slot.request.work_class
            self._held.add(work_class, now - slot.since)
            if not slot.answered:
                self._service.add(work_class, now - slot.since)
            self._running.pop(slot.request.request_id)
            while self._queue and len(self._running) < self._slots:
                self._start_next(now)

    def _start_next(self, now: float) -> None:
        waiter = min(self._queue, key=self._order.rank)
        if waiter.request.deadline <= now:
            self._dismiss(waiter, RefusalError(Code.DEADLINE_PASSED))
            return
        self._queue.remove(waiter)
        self._start(waiter.request)
        waiter.wake.set()

    def _dismiss(self, waiter: Waiter, refusal: RefusalError) -> None:
        self._queue.remove(waiter)
        waiter.refusal = refusal
        waiter.wake.set()

    def _check_deadline(self, waiter: Waiter) -> None:
        request = waiter.request
        remaining = request.deadline - self._clock.now()
        if remaining <= 0:
            raise RefusalError(Code.DEADLINE_PASSED)
        wait = self._estimate_wait(waiter)
        needed = wait + self._service.median(request.work_class)
        if remaining < needed:
            raise RefusalError(
                Code.DEADLINE_TOO_SHORT,
                retry_after=max(1, math.ceil(wait)),
                detail=f'needs {needed:.3f} s, has {remaining:.3f} s',
            )

    def _estimate_wait(self, waiter: Waiter) -> float:
        if len(self._running) < self._slots:
            return 0
        rank = self._order.rank(waiter)
        ahead = [
            other.request
            for other in self._queue
            if self._order.rank(other) < rank
        ]
        running = [slot.request for slot in self._running.values()]
        next_free = statistics.fmean(self._hold(request) for request in running)
        queued = math.fsum(self._hold(request) for request in ahead)
        return (next_free + queued) / self._slots

    def _hold(self, request: SlotRequest) -> float:
        return self._held.median(request.work_class)

    def _shed(self, newcomer: Waiter) -> None:
        """Remove one request: lowest priority, then largest account."""
        lowest = max(waiter.request.priority for waiter in self._queue)
        candidates = [
            waiter
            for waiter in self._queue
            if waiter.request.priority == lowest
        ]
        entries = collections.Counter(
            _account_key(waiter) for waiter in candidates
        )
        loser = max(
            candidates,
            key=lambda waiter: (entries[_account_key(waiter)], waiter.sequence),
        )
        code = Code.QUEUE_FULL if loser is newcomer else Code.SHED
        wait = self._estimate_wait(loser)
        refusal = RefusalError(code, retry_after=max(1, math.ceil(wait)))
        self._dismiss(loser, refusal)


def _account_key(waiter: Waiter) -> tuple[str, str]:
    return (waiter.request.work_class, waiter.request.account)
