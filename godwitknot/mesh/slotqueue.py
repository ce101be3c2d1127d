"""The queue of requests that wait for a slot of the local server."""

import asyncio
from collections.abc import Callable, Mapping

import attrs

from godwitknot.mesh.messages import Offer
from godwitknot.overload.queueorder import QueueOrder, WaitingRequest

# A waiting request has this share of the weight of a request of the next more
# urgent priority. Strict priority left lookups without slots for seconds
# while bookings kept arriving; equal weights would serve both equally often.
_LESS_URGENT_WEIGHT = 2 / 3
# However many requests wait, the more urgent priority gets twice the slots.
_MAX_WEIGHT_RATIO = 1 / 2


@attrs.define(eq=False)
class SlotReservation:
    """A request that waits for a slot of the local server or holds one.

    :param offer: the request.
    :param deadline: of the final response, on the node's clock.
    :param granted_at: when its slot was granted, or its body had arrived, on
        the node's clock.
    :ivar awaits_body: whether it holds a slot, but is not yet on the server.
    """

    offer: Offer
    granted: asyncio.Future
    deadline: float
    granted_at: float = 0
    counted_as_hung: bool = False
    survived: bool = False
    awaits_body: bool = False

    @property
    def turn(self) -> WaitingRequest:
        """What decides on its turn among those of its priority."""
        return describe_turn(self.offer, self.deadline)


@attrs.define
class _PriorityLevel:
    """Waiting requests of one priority."""

    order: QueueOrder
    reservations: list[SlotReservation] = attrs.field(factory=list)

    def prune(self) -> int:
        """Remove requests that no longer wait; return how many remain."""
        self.reservations = [
            reservation
            for reservation in self.reservations
            if not reservation.granted.done()
        ]
        return len(self.reservations)

    @property
    def first(self) -> SlotReservation:
        """The request that is served next."""
        turns = [reservation.turn for reservation in self.reservations]
        return self.reservations[self.order.select(turns)]

    def pop(self) -> SlotReservation:
        """Remove and return the request that is served next."""
        first = self.first
        self.reservations.remove(first)
        return first


class SlotQueue:
    """Divides slots among the priorities of the waiting requests.

    Start-time fair queueing over the time that slots are held: each priority
    gets a share that follows the number of its waiting requests, weighted in
    favor of urgent ones. Within a priority, ``QueueOrder`` decides.
    """

    def __init__(self, estimate_seconds: Callable[[Offer], float]) -> None:
        """Create an empty queue.

        :param estimate_seconds: returns how long a request will hold its slot.
        """
        self._estimate_seconds = estimate_seconds
        self._levels: dict[int, _PriorityLevel] = {}
        self._order = QueueOrder()
        # Slot time that each priority got, divided by its weight.
        self._progress: dict[int, float] = {}
        # Progress of the priority that was served last. One that had nothing
        # waiting continues from there, so that it earns nothing in advance.
        self._reached = float(0)

    def count_ahead(self, priority: int, request: WaitingRequest) -> float:
        """Return how many slots others get before a request that would wait.

        :param request: the one that would wait.
        """
        self._remove_empty_levels()
        own_level = self._levels.get(priority, _PriorityLevel(self._order))
        earlier = self._order.count_ahead(
            request, [each.turn for each in own_level.reservations]
        )
        counts = {
            number: len(level.reservations)
            for number, level in self._levels.items()
        }
        counts[priority] = counts.get(priority, 0) + 1
        weights = _compute_weights(counts)
        share = weights[priority] / sum(weights.values())
        return min((earlier + 1) / share, sum(counts.values())) - 1

    def push(self, reservation: SlotReservation) -> None:
        """Add a waiting request."""
        self._remove_empty_levels()
        priority = reservation.offer.priority
        if priority not in self._levels:
            progress = self._progress.get(priority, 0)
            self._progress[priority] = max(progress, self._reached)
            self._levels[priority] = _PriorityLevel(self._order)
        self._levels[priority].reservations.append(reservation)

    def pop(
        self, may_take_slot: Callable[[Offer], bool]
    ) -> SlotReservation | None:
        """Remove and return the request that gets the next slot.

        :param may_take_slot: returns whether a request may take a slot now.
        :returns: ``None`` if there is none.
        """
        self._remove_empty_levels()
        eligible = [
            priority
            for priority, level in self._levels.items()
            if may_take_slot(level.first.offer)
        ]
        if not eligible:
            return None
        best = min(
            eligible, key=lambda priority: (self._progress[priority], priority)
        )
        weights = _compute_weights(
            {
                priority: len(level.reservations)
                for priority, level in self._levels.items()
            }
        )
        reservation = self._levels[best].pop()
        self._reached = max(self._reached, self._progress[best])
        seconds = self._estimate_seconds(reservation.offer)
        self._progress[best] += seconds / weights[best]
        self.charge(reservation)
        return reservation

    def charge(self, reservation: SlotReservation) -> None:
        """Count the slot of a request as used by its account."""
        seconds = self._estimate_seconds(reservation.offer)
        self._order.charge(reservation.offer.account, seconds)

    def _remove_empty_levels(self) -> None:
        """Discard priorities without waiting requests."""
        self._levels = {
            priority: level
            for priority, level in sorted(self._levels.items())
            if level.prune()
        }

    def clear(self) -> list[SlotReservation]:
        """Remove and return all waiting requests."""
        self._remove_empty_levels()
        reservations = [
            reservation
            for level in self._levels.values()
            for reservation in level.reservations
        ]
        self._levels.clear()
        return reservations

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(level.prune() for level in self._levels.values())


def describe_turn(offer: Offer, deadline: float) -> WaitingRequest:
    """Return what decides on the turn of a request.

    :param deadline: of its final response, on the node's clock.
    """
    return WaitingRequest(
        offer.account,
        deadline,
        offer.objective,
        offer.caller_service not in {'', offer.service},
        offer.returning,
    )


def _compute_weights(counts: Mapping[int, int]) -> dict[int, float]:
    """Return the weight of each priority.

    :param counts: waiting requests of each priority, none of them 0.
    """
    weights: dict[int, float] = {}
    weight = float(1)
    more_urgent_count = 0
    for priority, count in sorted(counts.items()):
        if more_urgent_count:
            weight *= min(
                _MAX_WEIGHT_RATIO,
                _LESS_URGENT_WEIGHT * count / more_urgent_count,
            )
        weights[priority] = weight
        more_urgent_count = count
    return weights
