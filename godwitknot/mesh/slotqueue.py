"""Requests that wait for a slot, and the order in which they get one."""

import asyncio

import attrs

from godwitknot.mesh.messages import Offer

# A waiting request counts for this much of one of the next more urgent
# priority. Strict priority left lookups none of the slots for seconds while
# bookings kept coming; equal weights would serve both equally often.
_LESS_URGENT_WEIGHT = 2 / 3
# However many wait, the more urgent priority gets twice the slots.
_MOST_RATIO = 1 / 2


@attrs.define(eq=False)
class SlotReservation:
    """A place on the server, or in its queue.

    :param offer: the request.
    :param deadline: of the final answer, on the node's clock.
    :param granted_at: when its slot was granted, on the node's clock.
    """

    offer: Offer
    granted: asyncio.Future
    deadline: float
    granted_at: float = 0
    counted_as_hung: bool = False


@attrs.define
class _Class:
    """Requests of one priority."""

    credit: float = 0
    reservations: list[SlotReservation] = attrs.field(factory=list)

    def prune(self) -> int:
        """Drop what no longer waits; give the number of those that do."""
        self.reservations = [
            reservation
            for reservation in self.reservations
            if not reservation.granted.done()
        ]
        return len(self.reservations)

    def pop(self) -> SlotReservation:
        """Take out the request with the nearest deadline."""
        first = min(
            self.reservations, key=lambda reservation: reservation.deadline
        )
        self.reservations.remove(first)
        return first


class SlotQueue:
    """Shares slots among the priorities that wait.

    Smooth weighted round robin gives each its share of what waits, and the
    urgent ones more. Within a priority the nearest deadline is first.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._classes: dict[int, _Class] = {}

    def push(self, reservation: SlotReservation) -> None:
        """Let a request wait."""
        waiting = self._classes.setdefault(reservation.offer.priority, _Class())
        waiting.reservations.append(reservation)

    def pop(self) -> SlotReservation | None:
        """Take out the request that gets the next slot."""
        self._drop_empty()
        if not self._classes:
            return None
        weight = float(0)
        total = float(0)
        above = 0
        for waiting in self._classes.values():
            count = len(waiting.reservations)
            weight = _weigh(weight, count, above)
            above = count
            waiting.credit += weight
            total += weight
        best = max(self._classes.values(), key=lambda each: each.credit)
        best.credit -= total
        return best.pop()

    def _drop_empty(self) -> None:
        """Forget the credit of priorities that nothing waits for."""
        self._classes = {
            priority: waiting
            for priority, waiting in sorted(self._classes.items())
            if waiting.prune()
        }

    def clear(self) -> list[SlotReservation]:
        """Take out all requests that wait."""
        self._drop_empty()
        reservations = [
            reservation
            for waiting in self._classes.values()
            for reservation in waiting.reservations
        ]
        self._classes.clear()
        return reservations

    def __len__(self) -> int:
        """Give the number of requests that wait."""
        return sum(waiting.prune() for waiting in self._classes.values())


def _weigh(weight: float, count: int, above: int) -> float:
    """Give the weight of a priority.

    :param weight: of the next more urgent one that waits.
    :param count: requests that wait.
    :param above: those of the next more urgent one, 0 if there is none.
    """
    if not above:
        return 1
    return weight * min(_MOST_RATIO, _LESS_URGENT_WEIGHT * count / above)
