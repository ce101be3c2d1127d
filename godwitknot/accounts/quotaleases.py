"""Tokens of an account that nodes hold for longer than usual.

A lease takes its tokens from the bucket, and their place in it stays taken until
the lease ends: the tokens in the bucket and those held by nodes together never
exceed its capacity. In any window, nodes thus spend no more than the bucket
alone would issue, however long a lease is valid.
"""

import functools
import itertools
from collections.abc import Callable, Hashable

import attrs

# The latest leases of a node may both be valid if its request was sent again.
_REPEAT_SECONDS = 1.0


@attrs.frozen
class _Lease:
    count: int
    started: float
    expires_at: float


def _is_valid(now: float, lease: _Lease) -> bool:
    return lease.expires_at > now


class Leases:
    """The leases of one account, as its home has issued them."""

    def __init__(self) -> None:
        """Start without leases."""
        self._leases: dict[Hashable, list[_Lease]] = {}

    def add(
        self, node: Hashable, count: int, now: float, seconds: float
    ) -> None:
        """Add a lease.

        :param count: number of tokens.
        :param seconds: for which the tokens are valid.
        """
        lease = _Lease(count, now, now + seconds)
        self._leases.setdefault(node, []).append(lease)

    def end_spent(self, node: Hashable, now: float) -> None:
        """End the leases of a node that asks for tokens.

        It asks once it has spent its tokens.
        """
        self._keep(node, lambda lease: now - lease.started < _REPEAT_SECONDS)

    def count_held(self, now: float) -> int:
        """Return the number of tokens that nodes may still spend."""
        is_valid = functools.partial(_is_valid, now)
        for node in tuple(self._leases):
            self._keep(node, is_valid)
        leases = itertools.chain.from_iterable(self._leases.values())
        return sum(lease.count for lease in leases)

    def _keep(self, node: Hashable, is_kept: Callable[[_Lease], bool]) -> None:
        kept = list(filter(is_kept, self._leases.pop(node, ())))
        if kept:
            self._leases[node] = kept
