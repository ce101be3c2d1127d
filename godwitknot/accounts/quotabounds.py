"""Limits of the use of quotas, from the platform's settings."""

import attrs

# Of the overage, for tokens that are spent some time after they were issued.
_TOKEN_SHARE = 0.8


@attrs.frozen
class QuotaBounds:
    """How far the use of an account may exceed its quota, over all nodes.

    In any window, ``(rate * window + burst) * (1 + overage) + slack`` requests
    may run.

    :param window: in seconds.
    :param overage: as a share of the quota.
    :param slack: in requests.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def token_seconds(self) -> float:
        """How long an issued token may be spent.

        Tokens issued before a window may be spent in it.
        """
        return _TOKEN_SHARE * self.window * self.overage

    @property
    def lease_seconds(self) -> float:
        """How long the tokens of a lease may be spent.

        Leases hold their place in the bucket, so that any time keeps the limit.
        Longer ones save messages of nodes with few requests, but tokens that
        callers have left behind stay out of use for as long.
        """
        return 3 * self.window

    @property
    def start_tokens(self) -> float:
        """Tokens of a node that has just become a home.

        With the added burst, two changes of the home within one window stay
        within the slack.
        """
        return self.slack / 4

    @property
    def added_burst(self) -> float:
        """Tokens by which a bucket is larger than the burst of its account.

        Independent callers of a small account rarely come evenly.
        """
        return self.slack / 2

    @property
    def ignored_share(self) -> float:
        """Share of the nodes that may be out of touch without an effect."""
        return self.overage / 2

    def count_spare_tokens(self, rate: float, burst: float) -> float:
        """Return how many tokens nodes may hold that a new home does not know.

        Beside them, a window may have all of the new home's bucket, once it is
        full, and the tokens that are spent late.
        """
        issued = rate * self.window
        limit = (issued + burst) * (1 + self.overage) + self.slack
        bucket = burst + self.added_burst + issued
        return limit - bucket - rate * self.token_seconds

    def is_exceeded_by_two(self, rate: float, burst: float) -> bool:
        """Return whether two homes that issue a rate exceed its limit.

        One of them may have a full bucket. What buckets hold beyond the burst
        is left out: it would count small accounts too, which exceed the limit
        by a few requests at most.
        """
        issued = rate * self.window
        limit = (issued + burst) * (1 + self.overage) + self.slack
        return 2 * issued + burst > limit
