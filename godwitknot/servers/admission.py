"""Admission control for one backend server: slots, queue and shedding."""

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

# The queue absorbs a burst; a longer queue only adds waiting time.
_QUEUE_PER_SLOT = 2
# Number of recent times per class that a median is based on.
_MAX_TIMES = 31
# With fewer times the median is too uncertain to refuse requests by.
_MIN_TIMES = 5


@attrs.frozen
class SlotRequest:
    """A request that needs a slot.

    :param request_id: unique among the requests at the limiter.
    :param work_class: name of the class of work.
    :param account: account whose queued requests are counted, may be empty.
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
    """Load of a server as counted by its sidecar."""

    running: int
    queued: int
    slots: int


@attrs.define(eq=False)
class QueueEntry:
    """A queued request.

    :param sequence: order of arrival.
    :param decided: set once the request got a slot or a refusal.
    :param refusal: set if the request leaves the queue without a slot.
    """

    request: SlotRequest
    sequence: int
    decided: threading.Event = attrs.field(factory=threading.Event)
    refusal: RefusalError | None = None


class QueueOrder(abc.ABC):
    """Order in which queued requests get slots."""

    @abc.abstractmethod
    def rank(self, entry: QueueEntry) -> tuple[float, int]:
        """Return the sort key; the lowest gets the next slot."""


class FifoOrder(QueueOrder):
    """First come, first served."""

    def rank(self, entry: QueueEntry) -> tuple[float, int]:
        """Rank by arrival."""
        return (0, entry.sequence)


class EarliestDeadlineOrder(QueueOrder):
    """The request with the earliest deadline goes first."""

    def rank(self, entry: QueueEntry) -> tuple[float, int]:
        """Rank by deadline, then by arrival."""
        return (entry.request.deadline, entry.sequence)


class _RecentTimes:
    """Recent durations for each class of work, in seconds."""

    def __init__(self) -> None:
        self._times: dict[str, collections.deque[float]] = {}

    def add(self, work_class: str, seconds: float) -> None:
        times = self._times.setdefault(
            work_class, collections.deque(maxlen=_MAX_TIMES)
        )
        times.append(seconds)

    def median(self, work_class: str) -> float:
        times = self._times.get(work_class, ())
        if len(times) < _MIN_TIMES:
            return 0
        return statistics.median(times)


class Slot:
    """A slot held by a request."""

    def __init__(
        self, limiter: 'ConcurrencyLimiter', request: SlotRequest, now: float
    ) -> None:
        """Create a slot that the request holds from now on.

        :param now: time on the monotonic clock, seconds.
        """
        self.request = request
        self.acquired_at = now
        self.response_started = False
        self._limiter = limiter

    def record_response_start(self) -> None:
        """Record the service time at the first byte of the response.

        A download to a slow reader holds the slot for longer than the server
        needs, and must not increase the median service time.
        """
        self._limiter.record_service_time(self)


class ConcurrencyLimiter:
    """Slots and queue of one server; every request to it needs a slot."""

    def __init__(
        self,
        server_name: str,
        slots: int,
        clock: Clock,
        order: QueueOrder | None = None,
    ) -> None:
        """Create a limiter with all slots free.

        :param slots: maximum number of concurrent requests.
        :param order: order of the queue, earliest deadline first by default.
        """
        self.server_name = server_name
        self._slots = slots
        self._clock = clock
        self._order = order or EarliestDeadlineOrder()
        self._lock = threading.Lock()
        self._running: dict[str, Slot] = {}
        self._queue: list[QueueEntry] = []
        self._sequence = itertools.count()
        self._service_times = _RecentTimes()
        self._holding_times = _RecentTimes()

    @contextlib.contextmanager
    def hold_slot(self, request: SlotRequest) -> Iterator[Slot]:
        """Wait for a slot and hold it for the body of the ``with``.

        :raises RefusalError: as not run, if the request gets no slot.
        """
        slot = self._acquire_slot(request)
        try:
            yield slot
        finally:
            self._release_slot(slot)

    def load(self) -> Load:
        """Return the current load."""
        with self._lock:
            return Load(len(self._running), len(self._queue), self._slots)

    def cancel(self, request_id: str) -> bool:
        """Remove a queued request whose caller has disconnected.

        :returns: whether it was queued.
        """
        with self._lock:
            for entry in self._queue:
                if entry.request.request_id == request_id:
                    self._refuse(entry, RefusalError(Code.CANCELLED))
                    return True
        return False

    def median_service(self, work_class: str) -> float:
        """Return the median service time in seconds, 0 while unknown."""
        with self._lock:
            return self._service_times.median(work_class)

    def record_service_time(self, slot: Slot) -> None:
        """Record the service time of a running request once."""
        with self._lock:
            if not slot.response_started:
                slot.response_started = True
                elapsed = self._clock.now() - slot.acquired_at
                self._service_times.add(slot.request.work_class, elapsed)

    def _acquire_slot(self, request: SlotRequest) -> Slot:
        entry = QueueEntry(request, next(self._sequence))
        with self._lock:
            self._check_deadline(entry)
            if len(self._running) < self._slots:
                return self._assign_slot(request)
            self._queue.append(entry)
            if len(self._queue) > self._slots * _QUEUE_PER_SLOT:
                self._shed(entry)
        remaining = request.deadline - self._clock.now()
        entry.decided.wait(max(0, remaining))
        return self._finish_wait(entry)

    def _finish_wait(self, entry: QueueEntry) -> Slot:
        with self._lock:
            if entry in self._queue:
                self._refuse(entry, RefusalError(Code.DEADLINE_PASSED))
            if entry.refusal is not None:
                raise entry.refusal
            return self._running[entry.request.request_id]

    def _assign_slot(self, request: SlotRequest) -> Slot:
        slot = Slot(self, request, self._clock.now())
        self._running[request.request_id] = slot
        return slot

    def _release_slot(self, slot: Slot) -> None:
        with self._lock:
            now = self._clock.now()
            work_class = slot.request.work_class
            self._holding_times.add(work_class, now - slot.acquired_at)
            if not slot.response_started:
                self._service_times.add(work_class, now - slot.acquired_at)
            self._running.pop(slot.request.request_id)
            while self._queue and len(self._running) < self._slots:
                self._assign_next(now)

    def _assign_next(self, now: float) -> None:
        entry = min(self._queue, key=self._order.rank)
        if entry.request.deadline <= now:
            self._refuse(entry, RefusalError(Code.DEADLINE_PASSED))
            return
        self._queue.remove(entry)
        self._assign_slot(entry.request)
        entry.decided.set()

    def _refuse(self, entry: QueueEntry, refusal: RefusalError) -> None:
        self._queue.remove(entry)
        entry.refusal = refusal
        entry.decided.set()

    def _check_deadline(self, entry: QueueEntry) -> None:
        request = entry.request
        remaining = request.deadline - self._clock.now()
        if remaining <= 0:
            raise RefusalError(Code.DEADLINE_PASSED)
        wait = self._estimate_wait(entry)
        needed = wait + self._service_times.median(request.work_class)
        if remaining < needed:
            raise RefusalError(
                Code.DEADLINE_TOO_SHORT,
                retry_after=max(1, math.ceil(wait)),
                detail=f'needs {needed:.3f} s, has {remaining:.3f} s',
            )

    def _estimate_wait(self, entry: QueueEntry) -> float:
        if len(self._running) < self._slots:
            return 0
        rank = self._order.rank(entry)
        ahead = [
            other.request
            for other in self._queue
            if self._order.rank(other) < rank
        ]
        running = [slot.request for slot in self._running.values()]
        next_free = statistics.fmean(
            self._median_holding_time(request) for request in running
        )
        queued = math.fsum(
            self._median_holding_time(request) for request in ahead
        )
        return (next_free + queued) / self._slots

    def _median_holding_time(self, request: SlotRequest) -> float:
        return self._holding_times.median(request.work_class)

    def _shed(self, newcomer: QueueEntry) -> None:
        """Refuse one queued request.

        It has the lowest priority in the queue, then the account with the
        most such requests, then the latest arrival.
        """
        lowest = max(entry.request.priority for entry in self._queue)
        candidates = [
            entry for entry in self._queue if entry.request.priority == lowest
        ]
        account_counts = collections.Counter(
            _account_key(entry) for entry in candidates
        )
        rejected = max(
            candidates,
            key=lambda entry: (
                account_counts[_account_key(entry)],
                entry.sequence,
            ),
        )
        code = Code.QUEUE_FULL if rejected is newcomer else Code.SHED
        wait = self._estimate_wait(rejected)
        refusal = RefusalError(code, retry_after=max(1, math.ceil(wait)))
        self._refuse(rejected, refusal)


def _account_key(entry: QueueEntry) -> tuple[str, str]:
    return (entry.request.work_class, entry.request.account)
