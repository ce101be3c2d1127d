"""The share of a quota that a node uses while it cannot reach the home."""

import random

import attrs

from godwitknot.clock import Clock


@attrs.define
class _Share:
    level: float
    updated: float
    used_at: float


class FallbackShares:
    """A bucket of the rate divided by the number of nodes, for each account.

    The share of a small account is below one token for minutes. A request then runs
    with the probability of that fraction: the expected use over all nodes is
    exactly the quota, and nodes that have all saved a fraction cannot spend a
    whole token each at the same time.
    """

    # After this time without the fallback, the home counts as lost anew.
    _forget_seconds = 10.0

    def __init__(self, slack: float, clock: Clock, rng: random.Random) -> None:
        """Create buckets on demand.

        :param slack: tokens that all nodes together may save.
        """
        self._slack = slack
        self._clock = clock
        self._rng = rng
        self._shares: dict[str, _Share] = {}

    def spend(self, name: str, rate: float, nodes: int) -> bool:
        """Return whether a request may run; a new share is empty.

        :param rate: of the account, over all nodes.
        :param nodes: number of nodes that have a share.
        """
        now = self._clock.now()
        share = self._shares.get(name)
        if share is None or now - share.used_at > self._forget_seconds:
            share = _Share(0, now, now)
            self._shares[name] = share
        share.used_at = now
        own_rate = rate / max(1, nodes)
        capacity = self._slack / max(1, nodes) + own_rate
        gained = own_rate * (now - share.updated)
        share.level = min(capacity, share.level + gained)
        share.updated = now
        if share.level >= 1:
            share.level -= 1
            return True
        probability = share.level
        share.level = float(0)
        return self._rng.random() < probability

    def forget(self, name: str) -> None:
        """Empty a share, once the home of the account answers."""
        self._shares.pop(name, None)
