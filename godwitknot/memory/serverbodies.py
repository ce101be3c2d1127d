"""Bounds the bytes of large request bodies that a server holds at once."""

from collections.abc import Sequence

import attrs

# Bytes by which a body grows between two checks.
_STEP_BYTES = 262144


@attrs.frozen
class LargeBody:
    """A large body that is on its way to a server.

    :param arrived: bytes of it so far; of a stated length, all bytes.
    :param largest: the most that it may have; once it is complete, its bytes.
    """

    arrived: int
    largest: int

    @property
    def may_grow(self) -> bool:
        """Whether it may take more than is counted for it."""
        return self.arrived < self.largest


def fits(budget: int, others: Sequence[LargeBody], added: LargeBody) -> bool:
    """Return whether a server has room for one more body.

    A single body is accepted whatever its size.

    :param budget: bytes that the server may hold.
    :param others: in the order of their starts.
    """
    if not others:
        return True
    return count_bytes((*others, added)) <= budget


def may_continue(budget: int, bodies: Sequence[LargeBody], index: int) -> bool:
    """Return whether the next part of a body may be sent.

    Room for the rest of the earliest body that is still arriving is kept, so
    that bodies cannot deadlock: it waits only for bodies
    that are complete, and thus for the ends of their runs.

    :param budget: bytes that the server may hold.
    :param bodies: in the order of their starts.
    :param index: of the body among them.
    """
    if not bodies[index].may_grow:
        # Of a body that has its largest size, only its end may follow.
        return True
    step = _STEP_BYTES
    if not any(each.may_grow for each in bodies[:index]):
        # Parts of others that were larger than a step, or read at once, must
        # not stop it while there is no end of a run to wait for.
        if all(each.may_grow for each in bodies):
            return True
        step = 0
    return count_bytes(bodies) + step <= budget


def count_bytes(bodies: Sequence[LargeBody]) -> int:
    """Return the bytes of all bodies.

    The earliest one that is arriving counts with the most that it may have.

    :param bodies: in the order of their starts.
    """
    total = sum(each.arrived for each in bodies)
    for each in bodies:
        if each.may_grow:
            return total - each.arrived + each.largest
    return total
