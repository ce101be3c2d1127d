"""The buckets of the accounts whose quota home is this node."""

import math
import random
from collections.abc import Callable, Hashable

import attrs

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.eventrate import EventRate
from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.accounts.quotagrants import Grant, Verdict
from godwitknot.accounts.quotaleases import Leases
from godwitknot.accounts.tokenbucket import TokenBucket, Tokens
from godwitknot.clock import Clock

# Tokens of the near future are issued ahead, so that a node need not ask for
# each of them.
_HORIZON_SECONDS = 0.5
# A node counts as one that competes for tokens for this long.
_ASKER_SECONDS = 2.0
# Nodes that were denied tokens ask again at this rate together.
_ASKS_PER_SECOND = 20.0
_MIN_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 2.0
_RETRY_JITTER = 0.25
# A node has been paused if nothing has happened for this long. Another one may
# have been the home meanwhile.
_PAUSE_SECONDS = 1.5
# Time during which tokens of the previous home may still become ready: it has
# issued them ahead, or some nodes have not heard of the change.
_HANDOVER_SECONDS = 0.5
# A lease leaves this share of the capacity in the bucket, for other nodes.
_SPARE_SHARE = 0.5
# An account that has used more than this share of its rate for some seconds is
# busy. Its leases hold only what is used soon, since tokens that wait at nodes
# with few requests are missing at the others. In a partition, it may use all of
# its rate on each side before the side of its home is short of tokens.
_LOW_USE = 0.4
_BUSY_DIVISOR = 3
# Above this level, each node that asks holds a token for its next request, if
# the account is not busy.
_AMPLE_SHARE = 0.8
_USE_SECONDS = 5.0
# A bucket below this level is short of tokens.
_LOW_LEVEL = 1.0


@attrs.define
class _AccountState:
    """A bucket and the nodes that were denied tokens lately, with the time.

    :ivar burst: of the account, as far as this home issues it.
    """

    bucket: TokenBucket
    issued: EventRate
    burst: float
    denied: dict[Hashable, float] = attrs.field(factory=dict)
    short_at: float = -math.inf
    leases: Leases = attrs.field(factory=Leases)

    def count_competitors(self, now: float) -> int:
        """Return the number of nodes that were denied tokens lately."""
        for node, since in tuple(self.denied.items()):
            if now - since > _ASKER_SECONDS:
                self.denied.pop(node)
        return len(self.denied)


class QuotaHome:
    """Issues the tokens of accounts to the nodes that ask for them.

    :ivar share: of each rate that is issued, below 1 while other nodes are
        out of touch and may use their own shares.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        clock: Clock,
        rng: random.Random,
        *,
        first_start: bool = False,
    ) -> None:
        """Create a home without buckets.

        :param first_start: whether buckets start full, since no other node
            can have issued tokens.
        """
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._starts_full = first_start
        self._states: dict[str, _AccountState] = {}
        self._ticked_at = clock.now()
        self.share = float(1)

    def __contains__(self, name: str) -> bool:
        """Return whether an account has a bucket here."""
        return name in self._states

    @property
    def account_count(self) -> int:
        """Number of accounts that have a bucket here."""
        return len(self._states)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the accounts that have a bucket here."""
        return tuple(self._states)

    @property
    def needs_contact(self) -> bool:
        """Whether it matters which nodes are out of touch.

        It does if some account has used up its quota lately, or could exceed
        its limit with another home in a partition.
        """
        now = self._clock.now()
        return any(
            state.short_at > now - _ASKER_SECONDS
            or self._may_exceed(state, now)
            for state in self._states.values()
        )

    def _may_exceed(self, state: _AccountState, now: float) -> bool:
        rate = state.bucket.rate
        if state.issued.estimate(now) < rate * _LOW_USE:
            return False
        return self._bounds.is_exceeded_by_two(rate, state.burst)

    def tick(self) -> bool:
        """Note that the process runs, at least every second.

        :returns: whether it was paused, so that all buckets start anew.
        """
        now = self._clock.now()
        paused = now - self._ticked_at > _PAUSE_SECONDS
        self._ticked_at = now
        if paused:
            self._states.clear()
            self._starts_full = False
        return paused

    def end_first_start(self) -> None:
        """Start buckets low from now on, since others may have had them."""
        self._starts_full = False

    def keep(self, is_home: Callable[[str], bool]) -> None:
        """Drop the buckets of accounts whose home this node is no longer."""
        for name in self.names:
            if not is_home(name):
                self._states.pop(name)

    def grant(
        self,
        account: ClientAccount,
        version: int,
        asker: Hashable,
        wanted: int,
        *,
        expected: int = 0,
        absent_seconds: float = 0,
    ) -> Grant:
        """Answer a request for tokens.

        :param version: of the configuration that holds the account.
        :param asker: node that asks.
        :param wanted: number of tokens, above 0.
        :param expected: number of tokens that it is to hold for later use.
        :param absent_seconds: seconds since the previous home was lost.
        """
        self.tick()
        now = self._clock.now()
        state = self._find_state(account, absent_seconds, now)
        state.leases.end_spent(asker, now)
        self._update_capacity(state, account, now)
        tokens = self._lease(state, account, asker, wanted, expected, now)
        if tokens is not None:
            return Grant(
                Verdict.GRANTED,
                tokens,
                version=version,
                seconds=self._bounds.lease_seconds,
            )
        tokens = self._take(state, asker, wanted, now)
        state.issued.record(now, tokens.count)
        if state.bucket.level < _LOW_LEVEL:
            state.short_at = now
        if tokens.count == wanted:
            state.denied.pop(asker, None)
            return Grant(Verdict.GRANTED, tokens, version=version)
        state.denied[asker] = now
        competitors = state.count_competitors(now)
        return Grant(
            Verdict.GRANTED,
            tokens,
            self._compute_retry(state.bucket, competitors, now),
            competitors / state.bucket.rate,
            version,
        )

    def _find_state(
        self, account: ClientAccount, absent_seconds: float, now: float
    ) -> _AccountState:
        rate = account.rate * self.share
        capacity = self._compute_capacity(account)
        state = self._states.get(account.name)
        if state is None:
            level = min(capacity, self._bounds.start_tokens)
            level -= max(0, _HANDOVER_SECONDS - absent_seconds) * rate
            if self._starts_full:
                level = capacity
            state = _AccountState(
                TokenBucket(rate, capacity, level, now),
                EventRate(_USE_SECONDS, now, rate * _LOW_USE),
                account.burst * self.share,
            )
            self._states[account.name] = state
        return state

    def _compute_capacity(self, account: ClientAccount) -> float:
        capacity = account.burst + self._bounds.added_burst
        return max(1, capacity * self.share)

    def _update_capacity(
        self, state: _AccountState, account: ClientAccount, now: float
    ) -> None:
        """Apply the limit, less the tokens that nodes hold."""
        rate = account.rate * self.share
        held = state.leases.count_held(now)
        capacity = max(0, self._compute_capacity(account) - held)
        state.burst = account.burst * self.share
        bucket = state.bucket
        if (bucket.rate, bucket.capacity) != (rate, capacity):
            bucket.change(rate, capacity, now)

    def _lease(
        self,
        state: _AccountState,
        account: ClientAccount,
        asker: Hashable,
        wanted: int,
        expected: int,
        now: float,
    ) -> Tokens | None:
        """Issue tokens for the next seconds, if the account has many."""
        bucket = state.bucket
        bucket.advance(now)
        capacity = self._compute_capacity(account)
        level = bucket.level - wanted
        if state.issued.estimate(now) > bucket.rate * _LOW_USE:
            expected //= _BUSY_DIVISOR
        elif level > capacity * _AMPLE_SHARE:
            expected = max(1, expected)
        spare = math.ceil((level - capacity * _SPARE_SHARE) / 2)
        # A home that replaces this one does not know its leases.
        covered = self._bounds.count_spare_tokens(account.rate, account.burst)
        room = int(covered * self.share) - state.leases.count_held(now)
        spare = min(spare, room)
        count = wanted + min(expected, spare)
        if count <= wanted:
            return None
        state.leases.add(asker, count - wanted, now, self._bounds.lease_seconds)
        tokens = bucket.take(count, 0, now)
        state.issued.record(now, count)
        self._update_capacity(state, account, now)
        return tokens

    def _take(
        self, state: _AccountState, asker: Hashable, wanted: int, now: float
    ) -> Tokens:
        bucket = state.bucket
        bucket.advance(now)
        competitors = state.count_competitors(now)
        competitors += asker not in state.denied
        ahead = bucket.rate * _HORIZON_SECONDS
        fair = max(1, bucket.level, ahead / competitors)
        return bucket.take(min(wanted, int(fair)), _HORIZON_SECONDS, now)

    def _compute_retry(
        self, bucket: TokenBucket, competitors: int, now: float
    ) -> float:
        """Return the seconds until a node finds tokens, with jitter."""
        seconds = min(competitors / _ASKS_PER_SECOND, _MAX_RETRY_SECONDS)
        free = bucket.seconds_until_token(now) - _HORIZON_SECONDS
        seconds = max(_MIN_RETRY_SECONDS, seconds, free)
        return seconds * (1 + _RETRY_JITTER * self._rng.random())
