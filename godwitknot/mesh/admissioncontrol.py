"""Admission to the local server: slots, a short queue, and its state."""

import asyncio
import collections
from collections.abc import Callable

import attrs

from godwitknot.clock import Clock
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.messages import Load, Offer, Refusal
from godwitknot.mesh.retrybudget import RetryBudget
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.slotqueue import SlotQueue, Ticket
from godwitknot.outcomes import Code, RefusalError

# Refused callers are told to come back after one run at least.
_LEAST_RETRY_SECONDS = 0.2
# A trial waits this long for a request that may be repeated; services that
# get no such requests are tried with others.
_TRIAL_PATIENCE_SECONDS = 1.0
# A request that is no repeat itself is never refused as one.
_MOST_HIDDEN = 0.9
# Runs that were cut short are remembered this long, and so many of them.
_CUT_SHORT_SECONDS = 1.0
_MOST_CUT_SHORT = 16
# More evidence is asked for against a server that is the last resort.
_LAST_RESORT_FACTOR = 1.5
# Senders leave a suspect server alone for about one run.
_SUSPECT_AVOID_SECONDS = 0.25
# Callers are told to stay away this long from a server that is not open.
_CLOSED_SECONDS = 1.0


@attrs.frozen
class _CutShort:
    """A run that was taken off the server before it answered."""

    began: float
    ended: float
    objective: float


class AdmissionControl:
    """Grants slots of the local server and lets a few requests wait."""

    def __init__(
        self,
        server: LocalServer,
        vitals: ServerHealth,
        budget: RetryBudget,
        shutdown: Shutdown,
        clock: Clock,
    ) -> None:
        """Take the server.

        :param vitals: evidence on the server's health.
        :param budget: of repeats that may reach the server.
        :param shutdown: of this process.
        """
        self._server = server
        self._vitals = vitals
        self._budget = budget
        self._shutdown = shutdown
        # Servers that share the repeats of the service.
        self.service_server_count = 1
        self._clock = clock
        self._running: set[Ticket] = set()
        self._cut_short: collections.deque[_CutShort] = collections.deque(
            maxlen=_MOST_CUT_SHORT
        )
        self._queue = SlotQueue()

    @property
    def running(self) -> frozenset[Ticket]:
        """Requests that hold a slot."""
        return frozenset(self._running)

    def load(self) -> Load:
        """Give the present load."""
        return Load(len(self._running), len(self._queue), self._server.slots)

    def check_open(self, offer: Offer, deadline: float) -> None:
        """Refuse a request that the server must not get now.

        :param deadline: of its answer, on the node's clock.
        :raises RefusalError: not run, with the reason.
        """
        if not self._shutdown.admits(deadline):
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
        deadline = self._clock.now() + offer.seconds_left
        self.check_open(offer, deadline)
        self._check_vitals(offer)
        self._check_room(offer)
        if offer.repeat >= 1 and not self._budget.try_spend(
            self.service_server_count
        ):
            raise RefusalError(Code.RETRY_BUDGET)
        granted = asyncio.get_running_loop().create_future()
        ticket = Ticket(offer, granted, deadline)
        if self._has_room():
            self._grant(ticket)
            return ticket
        if note_queued is not None:
            note_queued()
        self._queue.push(ticket)
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

    def note_cut_short(self, ticket: Ticket) -> None:
        """Remember a run that was taken off the server unanswered.

        Second sends elsewhere end the first ones early, so that a server
        that hangs would otherwise leave no trace.
        """
        self._cut_short.append(
            _CutShort(ticket.began, self._clock.now(), ticket.offer.objective)
        )

    def expected_wait(self) -> float:
        """Give the seconds until a new request would get its slot."""
        ahead = len(self._running) + len(self._queue) + 1 - self._server.slots
        rounds = max(0, ahead) / max(1, self._server.slots)
        return max(_LEAST_RETRY_SECONDS, rounds * self._usual_run())

    def _usual_run(self) -> float:
        """Give the usual time of the present runs, in seconds."""
        usual = [
            self._vitals.typical_seconds(ticket.offer.objective)
            for ticket in self._running
        ]
        return sum(usual) / max(1, len(usual))

    def refuse_queued(self) -> None:
        """Refuse every request in the queue, since the server closes."""
        for ticket in self._queue.clear():
            ticket.granted.set_exception(
                RefusalError(Code.DRAINING, retry_after=_CLOSED_SECONDS)
            )

    def repeats_running(self) -> float:
        """Give the likelihood that a call comes from a repeated run.

        Such a call counts as a repeat where it arrives. Which run makes it is
        not known. Runs that must not be repeated are left out: if they make
        no calls, counting them hides most repeats.
        """
        repeats = [
            ticket.offer.repeat
            for ticket in self._running
            if ticket.offer.repeatable
        ]
        if not repeats:
            return 0
        return min(_MOST_HIDDEN, sum(repeats) / len(repeats))

    def note_hung(self) -> None:
        """Count runs that take far longer than usual, once each."""
        now = self._clock.now()
        for ticket in self._running:
            if ticket.began and not ticket.counted_hung:
                limit = self._vitals.hung_threshold_seconds(
                    ticket.offer.objective
                )
                if now - ticket.began > limit:
                    ticket.counted_hung = True
                    self._vitals.record_failure(
                        'hung', ticket.offer.caller_zone, ticket.began
                    )

    def describe(self, error: RefusalError, offer: Offer) -> Refusal:
        """Add to a refusal what helps the sender to choose."""
        avoid = self._vitals.ejection_seconds_left(offer.caller_zone)
        if error.code is Code.EJECTED and not avoid:
            avoid = _SUSPECT_AVOID_SECONDS
        if error.code in {Code.DRAINING, Code.WRONG_INCARNATION}:
            avoid = _CLOSED_SECONDS
        return Refusal(error, avoid, self.load())

    def _check_vitals(self, offer: Offer) -> None:
        """Refuse what a server with evidence against it must not get.

        What may run only once is lost at a server that hangs, and holds
        its slot until the deadline; a refusal lets its caller come back.
        What may be repeated also serves as trial, one at a time, and may
        pass an ejection where it found no other server.
        """
        self.note_hung()
        if not offer.repeatable:
            self._check_sound(offer)
            return
        zone = offer.caller_zone
        blocked = self._vitals.ejection_seconds_left(zone)
        if blocked > 0 and offer.max_wait <= 0 or self._is_tried_by(zone):
            wait = max(blocked, _LEAST_RETRY_SECONDS)
            raise RefusalError(Code.EJECTED, retry_after=wait)
        if self._is_suspect() and self._was_tried():
            raise RefusalError(Code.EJECTED, retry_after=_LEAST_RETRY_SECONDS)

    def _check_sound(self, offer: Offer) -> None:
        zone = offer.caller_zone
        blocked = self._vitals.ejection_seconds_left(zone)
        if blocked > 0:
            raise RefusalError(Code.EJECTED, retry_after=blocked)
        if self._vitals.on_trial(zone):
            early = self._vitals.trial_age(zone) < _TRIAL_PATIENCE_SECONDS
            if early or self._is_tried_by(zone):
                raise RefusalError(
                    Code.EJECTED, retry_after=_TRIAL_PATIENCE_SECONDS
                )
        # Where no other server has room, a false suspicion costs more.
        certainty = _LAST_RESORT_FACTOR if offer.max_wait > 0 else 1
        if self._is_suspect(certainty):
            raise RefusalError(Code.EJECTED, retry_after=_LEAST_RETRY_SECONDS)

    def _is_tried_by(self, zone: str) -> bool:
        """Tell whether a run decides on the ejection from a domain.

        Callers of other domains may use the server meanwhile.
        """
        failed = self._vitals.last_failure_began(zone)
        return failed is not None and any(
            ticket.began > failed
            for ticket in self._running
            if ticket.offer.caller_zone == zone
        )

    def _was_tried(self) -> bool:
        """Tell whether a run began lately that shows if the server answers.

        One such run is enough; more would only wait with it.
        """
        now = self._clock.now()
        return any(
            now - ticket.began
            < self._vitals.suspect_threshold_seconds(ticket.offer.objective)
            for ticket in self._running
        )

    def _is_suspect(self, certainty: float = 1) -> bool:
        """Tell whether the runs without an answer are too old together.

        :param certainty: multiplies the sum of ages that is too old.

        Runs that began before the last good one say nothing. The chance
        that a sound server keeps the others waiting falls about
        exponentially with the sum of their ages.
        """
        now = self._clock.now()
        answered = self._vitals.last_success_began
        ages = [
            (now - ticket.began, ticket.offer.objective)
            for ticket in self._running
            if ticket.began > answered
        ]
        ages += [
            (cut.ended - cut.began, cut.objective)
            for cut in self._cut_short
            if cut.began > answered and now - cut.ended < _CUT_SHORT_SECONDS
        ]
        limit = self._vitals.suspect_threshold_seconds
        return sum(age / limit(aim) for age, aim in ages) > certainty

    def _has_room(self) -> bool:
        free = self._server.slots - len(self._running)
        return free > 0 and not len(self._queue)

    def _check_room(self, offer: Offer) -> None:
        if self._has_room():
            return
        wait = self.expected_wait()
        if offer.max_wait <= 0 or wait > offer.max_wait:
            raise RefusalError(Code.QUEUE_FULL, retry_after=wait)

    def _grant(self, ticket: Ticket) -> None:
        self._running.add(ticket)
        ticket.began = self._clock.now()
        if ticket.offer.repeat < 1:
            self._budget.note_first(ticket.offer.repeat)
        if not ticket.granted.done():
            ticket.granted.set_result(None)

    def _serve_queue(self) -> None:
        while len(self._running) < self._server.slots:
            ticket = self._queue.pop()
            if ticket is None:
                return
            try:
                self._check_granted(ticket)
            except RefusalError as refusal:
                ticket.granted.set_exception(refusal)
                continue
            self._grant(ticket)

    def _check_granted(self, ticket: Ticket) -> None:
        """Check again what has changed while a request waited."""
        self.check_open(ticket.offer, ticket.deadline)
        if not ticket.offer.repeatable:
            self._check_sound(ticket.offer)
