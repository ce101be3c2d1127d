"""Use of quotas at one node, counted by account."""

import collections
import enum
from collections.abc import Iterator, Mapping

# Accounts that are counted by name. The operator may have 37,000.
MAX_NAMES = 200
OTHER_NAME = '(other)'


class Use(enum.StrEnum):
    """What became of a request or token of an account."""

    SPENT = 'spent'
    REFUSED = 'refused'
    FALLBACK = 'fallback'
    FALLBACK_REFUSED = 'fallback-refused'
    RETURNED = 'returned'
    # Tokens asked of the quota home, and received.
    WANTED = 'wanted'
    GRANTED = 'granted'


_NOTABLE = (Use.REFUSED, Use.FALLBACK, Use.FALLBACK_REFUSED)


class QuotaUse:
    """Counters by account; accounts beyond a number count together."""

    def __init__(self) -> None:
        """Create counters at zero."""
        self._totals: dict[str, collections.Counter[Use]] = {}
        self._recent: dict[str, collections.Counter[Use]] = {}

    def count(self, name: str, use: Use, amount: int = 1) -> None:
        """Count requests or tokens of an account."""
        if name not in self._totals and len(self._totals) >= MAX_NAMES:
            name = OTHER_NAME
        for counters in (self._totals, self._recent):
            counters.setdefault(name, collections.Counter())[use] += amount

    @property
    def totals(self) -> Mapping[str, Mapping[Use, int]]:
        """All counts since the start, by account."""
        return self._totals

    def pop_notable(
        self, limit: int
    ) -> Iterator[tuple[str, Mapping[Use, int]]]:
        """Return what was counted since the last call.

        :param limit: number of accounts, those with the most refusals first.
        :returns: only accounts that were refused something, or that used a
            fallback share.
        """
        recent = self._recent
        self._recent = {}
        notable = {
            name: sum(counter[use] for use in _NOTABLE)
            for name, counter in recent.items()
        }
        names = sorted(notable, key=notable.__getitem__, reverse=True)
        for name in names[:limit]:
            if notable[name]:
                yield name, recent[name]
