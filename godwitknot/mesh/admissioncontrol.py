"""Admission control for the local server: slots, a short queue and health."""

import asyncio
import operator
from collections.abc import Callable

from godwitknot.clock import Clock
from godwitknot.memory.serverbodies import fits, may_continue
from godwitknot.mesh.accountchecks import AccountChecks
from godwitknot.mesh.headroom import Headroom
from godwitknot.mesh.localserver import LocalServer
from godwitknot.mesh.messages import Load, Offer, Refusal
from godwitknot.mesh.retrybudget import RetryBudget
from godwitknot.mesh.runwatch import RunWatch
from godwitknot.mesh.serverhealth import ServerHealth
from godwitknot.mesh.shutdown import Shutdown
from godwitknot.mesh.slotqueue import (
    SlotQueue,
    SlotReservation,
    describe_turn,
)
from godwitknot.outcomes import Code, RefusalError

# Refused callers are told to retry after the time of one run at least.
_MIN_RETRY_SECONDS = 0.2
# A request that is not itself a repeat is never refused as one.
_MAX_REPEAT_PROBABILITY = 0.9
# Senders avoid a suspect server for about the time of one run.
_SUSPECT_AVOID_SECONDS = 0.25
# Callers are told to avoid a server that is not open for this long.
_CLOSED_SECONDS = 1.0


class AdmissionControl:
    """Grants slots of the local server and queues a few requests."""

    def __init__(
        self,
        server: LocalServer,
        health: ServerHealth,
        budget: RetryBudget,
        shutdown: Shutdown,
        clock: Clock,
    ) -> None:
        """Create the admission control with all slots free.

        :param health: evidence on the server's health.
        :param budget: of repeats that may reach the server.
        :param shutdown: of this process.
        """
        self._server = server
        self._health = health
        self._budget = budget
        self._shutdown = shutdown
        # Servers of the service, which share its retry budget.
        self.service_server_count = 1
        # Set by nodes; without it, the configuration has no accounts.
        self.accounts: AccountChecks | None = None
        # Bytes of large bodies that the server may hold at once; 0 for no limit.
        # Its memory is not in the settings and is taken for that of the node.
        self.server_bytes = server.placement.memory_bytes
        self._clock = clock
        self.watch = RunWatch(health, clock)
        self._running = self.watch.running
        self._queue = SlotQueue(self._estimate_seconds)
        self._headroom = Headroom(clock, self._estimate_seconds)

    @property
    def running(self) -> frozenset[SlotReservation]:
        """Requests that hold a slot."""
        return frozenset(self._running)

    @property
    def has_accounts(self) -> bool:
        """Whether the configuration has client accounts."""
        return self.accounts is not None and self.accounts.in_force

    def current_load(self) -> Load:
        """Return the current load."""
        return Load(
            len(self._running),
            len(self._queue),
            self._server.slots,
            self.watch.doubt(),
        )

    def check_open(self, offer: Offer, deadline: float) -> None:
        """Refuse a request that the server must not get now.

        :param deadline: of its response, on the node's clock.
        :raises RefusalError: not run, with the reason.
        """
        if not self._ends_before_exit(offer, deadline):
            raise RefusalError(Code.DRAINING, retry_after=_CLOSED_SECONDS)
        server = self._server
        if offer.server_id and offer.server_id != server.server_id:
            raise RefusalError(Code.WRONG_INCARNATION)
        if offer.service != server.service:
            raise RefusalError(Code.WRONG_INCARNATION)
        if not server.open_for_work:
            raise RefusalError(Code.DRAINING, retry_after=_CLOSED_SECONDS)
        if offer.account and self.accounts is not None:
            self.accounts.check_offer(offer)

    async def admit(
        self,
        offer: Offer,
        on_queued: Callable[[], None] | None = None,
    ) -> SlotReservation:
        """Wait for a slot.

        :param on_queued: called once if the request has to wait.
        :raises RefusalError: not run, if it gets none.
        """
        deadline = self._clock.now() + offer.seconds_left
        self.check_open(offer, deadline)
        self.watch.check_health(offer)
        self._check_body(offer)
        self._check_room(offer, deadline)
        if offer.repeat >= 1 and not self._budget.try_spend(
            self.service_server_count
        ):
            raise RefusalError(Code.RETRY_BUDGET)
        granted = asyncio.get_running_loop().create_future()
        reservation = SlotReservation(offer, granted, deadline)
        if self._has_room(offer):
            self._queue.charge(reservation)
            self._grant(reservation)
            return reservation
        if on_queued is not None:
            on_queued()
        self._queue.push(reservation)
        try:
            async with asyncio.timeout(offer.max_wait):
                await reservation.granted
        except TimeoutError:
            self.release(reservation)
            wait = self.expected_wait(offer, deadline)
            raise RefusalError(Code.QUEUE_FULL, retry_after=wait) from None
        except BaseException:
            self.release(reservation)
            raise
        return reservation

    def release(self, reservation: SlotReservation) -> None:
        """Release a slot, or leave the queue."""
        if reservation in self._running:
            self._running.discard(reservation)
            self._headroom.record_run(
                reservation.offer.priority,
                self._clock.now() - reservation.granted_at,
            )
        if not reservation.granted.done():
            reservation.granted.cancel()
        self._serve_queue()

    def start_run(self, reservation: SlotReservation) -> None:
        """Start the run of a request whose body has arrived.

        The time until then says nothing about the server.
        """
        reservation.awaits_body = False
        reservation.granted_at = self._clock.now()

    def expected_wait(self, offer: Offer, deadline: float) -> float:
        """Return the seconds until a new request would get its slot.

        :param deadline: of its response, on the node's clock.
        """
        ahead = self._queue.count_ahead(
            offer.priority, describe_turn(offer, deadline)
        )
        typical = self._estimate_seconds(offer)
        seconds = self._typical_run_seconds() + ahead * typical
        # A slot of a request that hangs does not become free in time.
        hung = sum(each.counted_as_hung for each in self._running)
        return max(
            _MIN_RETRY_SECONDS, seconds / max(1, self._server.slots - hung)
        )

    def _typical_run_seconds(self) -> float:
        """Return the typical time of the requests that are running."""
        typical = [
            self._health.durations.typical_seconds(reservation.offer.objective)
            for reservation in self._running
        ]
        return sum(typical) / max(1, len(typical))

    def _ends_before_exit(self, offer: Offer, deadline: float) -> bool:
        """Return whether a run would end before this process exits.

        Other servers take what this one refuses, so that even a long run
        must fit.
        """
        if not self._shutdown.admits(deadline):
            return False
        long_run = self._health.durations.hung_threshold_seconds(
            offer.objective
        )
        until_deadline = deadline - self._clock.now()
        return min(long_run, until_deadline) <= self._shutdown.seconds_left

    def refuse_queued(self) -> None:
        """Refuse all queued requests, since the server closes."""
        for reservation in self._queue.clear():
            reservation.granted.set_exception(
                RefusalError(Code.DRAINING, retry_after=_CLOSED_SECONDS)
            )

    def repeat_probability(self) -> float:
        """Return the probability that a call comes from a repeated run.

        Such a call counts as a repeat where it arrives. It is not known which
        run makes it. Runs that must not be repeated are left out: if they make
        no calls, counting them would hide most repeats.
        """
        repeats = [
            reservation.offer.repeat
            for reservation in self._running
            if reservation.offer.repeatable
        ]
        if not repeats:
            return 0
        return min(_MAX_REPEAT_PROBABILITY, sum(repeats) / len(repeats))

    def build_refusal(self, error: RefusalError, offer: Offer) -> Refusal:
        """Add to a refusal what helps the sender to select a server."""
        avoid = self._health.ejection_seconds_left(offer.caller_zone)
        if error.code is Code.EJECTED and not avoid:
            avoid = _SUSPECT_AVOID_SECONDS
        if error.code in {Code.DRAINING, Code.WRONG_INCARNATION}:
            avoid = _CLOSED_SECONDS
        return Refusal(error, avoid, self.current_load())

    def _has_room(self, offer: Offer) -> bool:
        return self._may_take_slot(offer) and not len(self._queue)

    def _may_take_slot(self, offer: Offer) -> bool:
        """Return whether enough slots are free, also for urgent requests."""
        slots = self._server.slots
        free = slots - len(self._running)
        return free > self._headroom.count_slots(offer, slots)

    def _estimate_seconds(self, offer: Offer) -> float:
        return self._health.durations.typical_seconds(offer.objective)

    def _check_room(self, offer: Offer, deadline: float) -> None:
        if self._has_room(offer):
            return
        wait = self.expected_wait(offer, deadline)
        ends_in_time = wait + self._estimate_seconds(offer)
        in_time = ends_in_time <= offer.seconds_left
        if offer.max_wait <= 0 or wait > offer.max_wait or not in_time:
            raise RefusalError(Code.QUEUE_FULL, retry_after=wait)

    def _check_body(self, offer: Offer) -> None:
        """Refuse a large body beside others that fill the server's memory.

        A server crashes if the requests it holds exceed its memory.
        """
        if not (offer.body_bytes and self.server_bytes):
            return
        others = [each.offer.large_body for each in self._list_uploads()]
        if not fits(self.server_bytes, others, offer.large_body):
            raise RefusalError(Code.QUEUE_FULL, retry_after=_MIN_RETRY_SECONDS)

    def _list_uploads(self) -> list[SlotReservation]:
        """Return the running requests with large bodies, the first one first.

        The time of the grant is that of the start while a body arrives.
        """
        uploads = [each for each in self._running if each.offer.body_bytes]
        return sorted(uploads, key=operator.attrgetter('granted_at'))

    def may_continue_body(self, reservation: SlotReservation) -> bool:
        """Return whether the server has room for more of a large body."""
        uploads = self._list_uploads()
        if not self.server_bytes or reservation not in uploads:
            return True
        bodies = [each.offer.large_body for each in uploads]
        index = uploads.index(reservation)
        return may_continue(self.server_bytes, bodies, index)

    def _grant(self, reservation: SlotReservation) -> None:
        self._running.add(reservation)
        reservation.granted_at = self._clock.now()
        if reservation.offer.repeat < 1:
            self._budget.record_first_attempt(reservation.offer.repeat)
        if not reservation.granted.done():
            reservation.granted.set_result(None)

    def _serve_queue(self) -> None:
        while len(self._running) < self._server.slots:
            reservation = self._queue.pop(self._may_take_slot)
            if reservation is None:
                return
            try:
                self._check_again(reservation)
            except RefusalError as refusal:
                reservation.granted.set_exception(refusal)
                continue
            self._grant(reservation)

    def _check_again(self, reservation: SlotReservation) -> None:
        """Repeat the checks whose result may have changed in the queue."""
        offer, deadline = reservation.offer, reservation.deadline
        self.check_open(offer, deadline)
        if self.accounts is not None:
            self.accounts.check_wait(offer)
        self._check_body(offer)
        # A run that would end late is not begun, and others get its slot.
        if self._clock.now() + self._estimate_seconds(offer) > deadline:
            wait = self.expected_wait(offer, deadline)
            raise RefusalError(Code.QUEUE_FULL, retry_after=wait)
        if not offer.repeatable:
            self.watch.check_safety(offer)
