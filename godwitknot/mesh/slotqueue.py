"""The queue of requests that wait for a slot of the local server."""

import asyncio

import attrs

from godwitknot.mesh.messages import Offer

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


@attrs.define
class _PriorityLevel:
    """Waiting requests of one priority."""

    credit: float = 0
    reservations: list[SlotReservation] = attrs.field(factory=list)

    def prune(self) -> int:
        """Remove requests that no longer wait; return how many remain."""
        self.reservations = [
            reservation
            for reservation in self.reservations
            if not reservation.granted.done()
        ]
        return len(self.reservations)

    def pop(self) -> SlotReservation:
        """Remove and return the request with the earliest deadline."""
        first = min(
            self.reservations, key=lambda reservation: reservation.deadline
        )
        self.reservations.remove(first)
        return first


class SlotQueue:
    """Divides free slots among the priorities of the waiting requests.

    Smooth weighted round robin gives each priority a share that follows the
    number of its waiting requests, weighted in favor of urgent ones. Within a
    priority, the earliest deadline is served first.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._levels: dict[int, _PriorityLevel] = {}

    def push(self, reservation: SlotReservation) -> None:
        """Add a waiting request."""
        level = self._levels.setdefault(
            reservation.offer.priority, _PriorityLevel()
        )
        level.reservations.append(reservation)

    def pop(self) -> SlotReservation | None:
        """Remove and return the request that gets the next slot."""
        self._remove_empty_levels()
        if not self._levels:
            return None
        weight = float(0)
        total = float(0)
        more_urgent_count = 0
        for level in self._levels.values():
            count = len(level.reservations)
            weight = _compute_weight(weight, count, more_urgent_count)
            more_urgent_count = count
            level.credit += weight
            total += weight
        best = max(self._levels.values(), key=lambda each: each.credit)
        best.credit -= total
        return best.pop()

    def _remove_empty_levels(self) -> None:
        """Discard priorities without waiting requests and their credit."""
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


def _compute_weight(
    more_urgent_weight: float,
    count: int,
    more_urgent_count: int,
) -> float:
    """Return the weight of a priority.

    :param more_urgent_weight: weight of the next more urgent priority that
        has waiting requests.
    :param count: waiting requests of this priority.
    :param more_urgent_count: waiting requests of the next more urgent
        priority, 0 if there is none.
    """
    if not more_urgent_count:
        return 1
    return more_urgent_weight * min(
        _MAX_WEIGHT_RATIO, _LESS_URGENT_WEIGHT * count / more_urgent_count
    )
