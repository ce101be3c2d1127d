"""Admission to the local server: slots, a short queue, and its state."""

import asyncio
import heapq
import itertools
from collections.abc import Callable

import attrs

from godwitknot.clock import Clock
from godwitknot.mesh.budget import RepeatBudget
from godwitknot.mesh.frames import Load, Offer, Refused
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.vitals import Vitals
from godwitknot.outcomes import Code, RefusalError

# Refused callers are told to come back after one run at least.
_LEAST_RETRY_SECONDS = 0.2
# Requests on trial at a server that was ejected.
_TRIAL_SLOTS = 1
# A request that is no repeat itself is never refused as one.
_MOST_HIDDEN = 0.9
# Callers are told to stay away this long from a server that is not open.
_CLOSED_SECONDS = 1.0


@attrs.define(eq=False)
class Ticket:
    """A place on the server, or in its queue.

    :param offer: the request.
    :param deadline: of the final answer, on the node's clock.
    :param began: when its slot was granted, on the node's clock.
    """

    offer: Offer
    granted: asyncio.Future
    deadline: float
    began: float = 0
    counted_hung: bool = False


class Gate:
    """Grants slots of the local server, most urgent request first."""

    def __init__(
        self,
        server: LocalServer,
        vitals: Vitals,
        budget: RepeatBudget,
        clock: Clock,
    ) -> None:
        """Take the server.

        :param vitals: evidence on the server's health.
        :param budget: of repeats that may reach the server.
        """
        self._server = server
        self._vitals = vitals
        self._budget = budget
        # Servers that share the repeats of the service.
        self.sharing = 1
        self._clock = clock
        self._running: set[Ticket] = set()
        self._queue: list[tuple[int, float, int, Ticket]] = []
        self._order = itertools.count()
        # Set while the node ends and must not begin more work.
        self.closing = False

    @property
    def running(self) -> frozenset[Ticket]:
        """Requests that hold a slot."""
        return frozenset(self._running)

    def load(self) -> Load:
        """Give the present load."""
        return Load(len(self._running), self._waiting(), self._server.slots)

    def check_open(self, offer: Offer) -> None:
        """Refuse a request that the server must not get now.

        :raises RefusalError: not run, with the reason.
        """
        if self.closing:
            raise RefusalError(Code.DRAINING, retry_after=_CLOSED_SECONDS)
        server = self._server
        if offer.server_id and offer.server_id != server.server_id:
            raise RefusalError(Code.WRONG_INCARNATION)
        if offer.service != server.service:
            raise RefusalError(Code.WRONG_INCARNATION)
        if not server.open_for_work:
            raise RefusalError(Code.DRAINING, retry_after=_CLOSED_SECONDS)

    async def admit(
        self,
        offer: Offer,
        note_queued: Callable[[], None] | None = None,
    ) -> Ticket:
        """Wait for a slot.

        :param note_queued: called once if the request has to wait.
        :raises RefusalError: not run, if it gets none.
        """
        self.check_open(offer)
        self._check_vitals(offer)
        self._check_room(offer)
        if offer.repeat >= 1 and not self._budget.try_spend(self.sharing):
            raise RefusalError(Code.RETRY_BUDGET)
        deadline = self._clock.now() + offer.seconds_left
        granted = asyncio.get_running_loop().create_future()
        ticket = Ticket(offer, granted, deadline)
        if self._has_room(offer):
            self._grant(ticket)
            return ticket
        if note_queued is not None:
            note_queued()
        entry = (offer.priority, deadline, next(self._order), ticket)
        heapq.heappush(self._queue, entry)
        try:
            async with asyncio.timeout(offer.max_wait):
                await ticket.granted
        except TimeoutError:
            self.release(ticket)
            raise RefusalError(
                Code.QUEUE_FULL, retry_after=self.expected_wait()
            ) from None
        except BaseException:
            self.release(ticket)
            raise
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Give a slot or a place in the queue back."""
        self._running.discard(ticket)
        if not ticket.granted.done():
            ticket.granted.cancel()
        self._serve_queue()

    def expected_wait(self) -> float:
        """Give the seconds until a new request would get its slot."""
        ahead = len(self._running) + self._waiting() + 1 - self._server.slots
        rounds = max(0, ahead) / max(1, self._server.slots)
        return max(_LEAST_RETRY_SECONDS, rounds * self._vitals.usual_seconds)

    def refuse_all(self) -> None:
        """Refuse every request in the queue, since the server closes."""
        waiting, self._queue = self._queue, []
        for *_, ticket in waiting:
            if not ticket.granted.done():
                ticket.granted.set_exception(
                    RefusalError(Code.DRAINING, retry_after=_CLOSED_SECONDS)
                )

    def repeats_running(self) -> float:
        """Give the share of repeats among the requests on the server.

        The calls of a repeated run count as repeats where they arrive.
        """
        if not self._running:
            return 0
        repeats = sum(ticket.offer.repeat for ticket in self._running)
        return min(_MOST_HIDDEN, repeats / len(self._running))

    def note_hung(self) -> None:
        """Count runs that take far longer than usual, once each."""
        now = self._clock.now()
        limit = self._vitals.hung_seconds
        for ticket in self._running:
            if ticket.began and not ticket.counted_hung:
                if now - ticket.began > limit:
                    ticket.counted_hung = True
                    self._vitals.note_bad('hung', ticket.offer.caller_zone)

    def describe(self, error: RefusalError, offer: Offer) -> Refused:
        """Add to a refusal what helps the sender to choose."""
        avoid = self._vitals.blocks(offer.caller_zone)
        if error.code in {Code.DRAINING, Code.WRONG_INCARNATION}:
            avoid = _CLOSED_SECONDS
        return Refused(error, avoid, self.load())

    def _check_vitals(self, offer: Offer) -> None:
        # A request that may wait found no other server.
        self.note_hung()
        zone = offer.caller_zone
        if offer.max_wait > 0:
            return
        if self._vitals.blocks(zone) > 0:
            raise RefusalError(Code.EJECTED)
        if offer.repeatable:
            return
        if self._vitals.on_trial(zone) or self._is_suspect():
            raise RefusalError(Code.EJECTED)

    def _is_suspect(self) -> bool:
        """Tell whether a run is late and none that began later was good."""
        now = self._clock.now()
        late = self._vitals.late_seconds
        answered = self._vitals.last_good_began
        return any(
            now - ticket.began > late and ticket.began > answered
            for ticket in self._running
        )

    def _has_room(self, offer: Offer) -> bool:
        return self._free_slots(offer) > 0 and not self._waiting()

    def _check_room(self, offer: Offer) -> None:
        if self._has_room(offer):
            return
        wait = self.expected_wait()
        if offer.max_wait <= 0 or wait > offer.max_wait:
            raise RefusalError(Code.QUEUE_FULL, retry_after=wait)

    def _free_slots(self, offer: Offer) -> int:
        slots = self._server.slots
        if offer.max_wait > 0:
            return slots - len(self._running)
        if self._vitals.on_trial(offer.caller_zone):
            return _TRIAL_SLOTS - len(self._running)
        return slots - len(self._running)

    def _waiting(self) -> int:
        return sum(not ticket.granted.done() for *_, ticket in self._queue)

    def _grant(self, ticket: Ticket) -> None:
        self._running.add(ticket)
        ticket.began = self._clock.now()
        if ticket.offer.repeat < 1:
            self._budget.note_first(ticket.offer.repeat)
        if not ticket.granted.done():
            ticket.granted.set_result(None)

    def _serve_queue(self) -> None:
        while self._queue and len(self._running) < self._server.slots:
            *_, ticket = heapq.heappop(self._queue)
            if ticket.granted.done():
                continue
            try:
                self.check_open(ticket.offer)
            except RefusalError as refusal:
                ticket.granted.set_exception(refusal)
                continue
            self._grant(ticket)
