"""Tokens of one account at a node that serves its requests."""

import math

import attrs

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.eventrate import EventRate
from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.accounts.quotagrants import Grant
from godwitknot.clock import Clock

# A node asks for the tokens that it expects to use within this time.
_LEASE_SECONDS = 0.25
# With fewer expected requests, tokens of a lease would often expire unused.
_MIN_EXPECTED = 2.0
_MAX_WANTED = 10000
_SMOOTHING_SECONDS = 1.0
# For the requests that are expected while a lease is valid, and the time in
# which they come. It is shorter than a lease, so that few tokens expire.
_LEASE_SMOOTHING_SECONDS = 10.0
_EXPECTED_SECONDS = 12.0
# A token whose request reached no server may be used again for this long.
_RETURNED_SECONDS = 0.5
# Longest Retry-After for callers, the window of the quota.
_MAX_RETRY_SECONDS = 5.0


@attrs.frozen(order=True)
class Token:
    """The right to run one request.

    :param ready_at: earliest use, on the node's clock.
    :param expires_at: latest use.
    :param limit: of the account when it was issued, as its rate and burst.
    """

    ready_at: float
    expires_at: float
    limit: tuple[float, float]


@attrs.frozen(eq=False)
class Ask:
    """A request for tokens under way to the home.

    :param sent_at: start of the time for which granted tokens are valid. The
        home issues them later, so that they end no later than it assumes.
    :param expected: tokens beyond those wanted, for the next seconds.
    """

    sent_at: float
    wanted: int
    expected: int = 0


class QuotaClient:
    """Tokens, requests for more, and refusals of one account.

    :ivar waiting: number of requests that wait for an answer of the home.
    """

    def __init__(
        self, account: ClientAccount, bounds: QuotaBounds, clock: Clock
    ) -> None:
        """Create a client without tokens."""
        self._account = account
        self._bounds = bounds
        self._clock = clock
        self._tokens: list[Token] = []
        # Version of the configuration that has lowered the limit.
        self._lowered_in = 0
        now = clock.now()
        self._arrivals = EventRate(_SMOOTHING_SECONDS, now)
        self._lease_arrivals = EventRate(_LEASE_SMOOTHING_SECONDS, now)
        self._denied_until = -math.inf
        self._pace = float(0)
        self._refused = 0
        self._ask: Ask | None = None
        self.waiting = 0

    def update(self, account: ClientAccount, version: int) -> None:
        """Apply the account of a configuration.

        Tokens that were issued under a higher limit expire.

        :param version: of the configuration.
        """
        if account == self._account:
            return
        before = self._account
        self._account = account
        self._denied_until = -math.inf
        if account.rate < before.rate or account.burst < before.burst:
            self._lowered_in = version
        self._tokens = [
            token for token in self._tokens if self._is_allowed(token)
        ]

    def record_arrival(self) -> None:
        """Count a request of the account, for the expected use."""
        now = self._clock.now()
        self._arrivals.record(now)
        self._lease_arrivals.record(now)

    def take(self, latest: float) -> Token | None:
        """Reserve the earliest token.

        :param latest: time by which it must be ready.
        """
        now = self._clock.now()
        self._tokens = [each for each in self._tokens if each.expires_at > now]
        if not self._tokens or self._tokens[0].ready_at > latest:
            return None
        return self._tokens.pop(0)

    def may_spend(self, token: Token) -> bool:
        """Return whether a reserved token is ready and still valid.

        It is not if the process was paused or the limit was lowered meanwhile.
        """
        now = self._clock.now()
        is_valid = token.ready_at <= now < token.expires_at
        return is_valid and self._is_allowed(token)

    def put_back(self, token: Token) -> None:
        """Give back a reserved token that was not spent."""
        self._tokens.append(token)
        self._tokens.sort()

    def return_spent(self) -> None:
        """Add a token in place of one whose request reached no server."""
        now = self._clock.now()
        self.put_back(Token(now, now + _RETURNED_SECONDS, self._limit))

    @property
    def is_denied(self) -> bool:
        """Whether the home has none before a later time."""
        return self._clock.now() < self._denied_until

    def begin_ask(self) -> Ask:
        """Start a request for tokens; an earlier one no longer counts."""
        now = self._clock.now()
        expected = self._arrivals.estimate(now) * _LEASE_SECONDS
        wanted = max(1, self.waiting)
        if expected >= _MIN_EXPECTED:
            wanted = max(wanted, int(expected))
        wanted = min(wanted, _MAX_WANTED)
        # Without the request that has just come, the rate has no bias.
        later = (
            self._lease_arrivals.estimate(now) - 1 / _LEASE_SMOOTHING_SECONDS
        )
        later = min(max(0, round(later * _EXPECTED_SECONDS)), _MAX_WANTED)
        self._ask = Ask(now, wanted, later)
        return self._ask

    def apply(self, ask: Ask, grant: Grant) -> bool:
        """Add the tokens of a grant.

        A late grant adds only tokens that have not expired; a second one for
        the same request adds none, nor does one under a limit that was
        lowered since.

        :returns: whether the grant counts.
        """
        if ask is not self._ask:
            return False
        self._ask = None
        now = self._clock.now()
        self._refused = 0
        self._pace = grant.pace
        self._denied_until = -math.inf
        if grant.retry_after > 0:
            self._denied_until = now + grant.retry_after
        if grant.version < self._lowered_in:
            return True
        seconds = min(grant.seconds, self._bounds.lease_seconds)
        for number, delay in enumerate(grant.tokens.list_delays()):
            is_held = seconds > 0 and number >= ask.wanted
            expires_at = ask.sent_at + delay
            expires_at += seconds if is_held else self._bounds.token_seconds
            token = Token(now + delay, expires_at, self._limit)
            if token.expires_at > token.ready_at:
                self.put_back(token)
        return True

    def refuse(self) -> float:
        """Count a refused request; return its seconds until a retry.

        Callers that are refused one after the other come back one after the
        other.
        """
        seconds = max(0, self._denied_until - self._clock.now())
        seconds += self._refused * self._pace
        self._refused += 1
        return min(max(seconds, _LEASE_SECONDS), _MAX_RETRY_SECONDS)

    @property
    def _limit(self) -> tuple[float, float]:
        return (self._account.rate, self._account.burst)

    def _is_allowed(self, token: Token) -> bool:
        rate, burst = token.limit
        return rate <= self._account.rate and burst <= self._account.burst
