"""The state of one caller's request over all its attempts."""

import asyncio

import attrs

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.errors import BodyLostError, BodyTooLargeError
from godwitknot.mesh.accountchecks import PresentedKey
from godwitknot.mesh.messages import Load
from godwitknot.mesh.model import HttpRequest, HttpResponse, Route
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.overload.doubtlimit import DoubtLimit
from godwitknot.overload.waitlimits import WaitLimits
from godwitknot.overload.workcounts import ActiveRequest
from godwitknot.units import Address

# Refusals by sidecars are cheap, but each takes a round trip. A hedged send may
# be offered to as many nodes again in each later round.
_MAX_REFUSALS_PER_ROUND = 4
# Servers whose queue a request may try to join in one round. Those that refuse
# do so at once.
_MAX_QUEUES = 2
# Later rounds follow each other for as long as the request waits.
_MAX_REFUSALS_PER_LATER_ROUND = 1
_MAX_QUEUES_PER_LATER_ROUND = 1
# Traffic between regions costs more than some requests are worth.
_MAX_REMOTE_OFFERS = 3
# Pause before servers that refused a request are asked again, about the time
# until a slot becomes free or a trial shows that a server has recovered.
_PAUSE_SECONDS = 0.2
# From this round on, a request without a server also uses doubtful ones.
_LAST_RESORT_ROUND = 2
# A repeat that is refused for want of a budget is hardly covered elsewhere.
_MAX_BUDGET_REFUSALS = 2
# Retry time for callers when no server has stated one.
_DEFAULT_RETRY_SECONDS = 0.5
# First version of the protocol with accounts in offers.
_ACCOUNT_PROTOCOL = 2


@attrs.define(eq=False)
class RequestContext:
    """State of one caller's request.

    :param service: chosen by the traffic split of the route.
    :param deadline: of the final response, on the node's clock.
    :param fingerprint: identifies the request in crash reports.
    :param key: of the caller's client account, ``None`` without a valid one.
    :param caller_host: address from which the caller has connected.
    :ivar excluded: nodes whose server it was sent to.
    :ivar refused_by: nodes that refused it in this round of offers.
    :ivar barred: nodes that refused it for a reason other than lack of
        capacity.
    :ivar queued_at: nodes whose queue it has tried to join.
    :ivar doubt_limit: which doubtful servers it accepts.
    :ivar round_refusals: refusals in this round.
    :ivar rounds: rounds of offers that were begun after the first one.
    :ivar asked_remote: whether it was offered to another region in this round.
    :ivar remote_offers: offers to other regions in all rounds.
    :ivar asked_long_queue: whether it has tried to wait in its own region for
        as long as it may.
    :ivar paused_seconds: total time of the pauses between rounds.
    :ivar budget_refusals: refusals for want of a retry budget.
    :ivar refusals: refusals in all rounds.
    :ivar hedge_after: earliest time of a hedged send, on the node's clock.
    :ivar sends: attempts that may have reached a server.
    :ivar retry_after: seconds until the caller may retry, from the last refusal
        that stated a time.
    :ivar returning: whether its caller was refused before and returns when it
        was told to.
    :ivar returns_early: whether its caller returns before it was told to, so
        that it waits for no slot.
    :ivar active: its entry in the counts of work.
    :ivar fallback: response for the caller if no better one arrives.
    """

    attempt_id: str
    http_request: HttpRequest
    route: Route
    service: str
    arrived: float
    deadline: float
    fingerprint: int
    key: PresentedKey | None = None
    caller_host: str = ''
    excluded: set[Address] = attrs.field(factory=set)
    refused_by: set[Address] = attrs.field(factory=set)
    barred: set[Address] = attrs.field(factory=set)
    queued_at: set[Address] = attrs.field(factory=set)
    doubt_limit: DoubtLimit = attrs.field(factory=DoubtLimit)
    round_refusals: int = 0
    rounds: int = 0
    asked_remote: bool = False
    remote_offers: int = 0
    asked_long_queue: bool = False
    paused_seconds: float = 0
    budget_refusals: int = 0
    refusals: int = 0
    hedge_after: float = 0
    sends: int = 0
    last_refusal: RefusalError | None = None
    retry_after: float = _DEFAULT_RETRY_SECONDS
    may_have_run: bool = False
    active: ActiveRequest | None = None
    fallback: HttpResponse | None = None
    returning: bool = False
    returns_early: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind.repeatable

    @property
    def account(self) -> ClientAccount | None:
        """Client account of the caller, if it has a valid key."""
        return None if self.key is None else self.key.account

    @property
    def caller(self) -> tuple[str, str, int]:
        """What tells a caller that returns from others with the same request."""
        return (self.caller_host, self.account_name, self.fingerprint)

    @property
    def is_revoked(self) -> bool:
        """Whether the caller's key is no longer valid."""
        return self.key is not None and self.key.revoked

    @property
    def priority(self) -> int:
        """Priority of its account or else of its route; 0 is most urgent."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def protocol(self) -> int:
        """Oldest version of the protocol that may run it.

        A node that does not know accounts would not name it to the server.
        """
        return 0 if self.key is None else _ACCOUNT_PROTOCOL

    @property
    def account_name(self) -> str:
        """Name of its client account, empty if it has none."""
        return '' if self.account is None else self.account.name

    @property
    def account_version(self) -> int:
        """Version under which its key was checked, 0 if it has none."""
        return 0 if self.key is None else self.key.checks.version

    @property
    def is_final_send(self) -> bool:
        """Whether no other send can replace the one that was counted last."""
        return not (self.repeatable and self.may_send_again)

    @property
    def may_send_again(self) -> bool:
        """Whether the route allows another send."""
        return self.sends < self.route.attempts

    @property
    def is_body_lost(self) -> bool:
        """Whether a part of its body was passed on and is no longer held."""
        stream = self.http_request.stream
        return stream is not None and stream.started

    async def gather_body(self, now: float) -> None:
        """Hold the whole body, for a node that does not take it in parts.

        :param now: time on the node's clock.
        :raises RefusalError: not run, if the body does not arrive or there is
            no room for it.
        """
        try:
            async with asyncio.timeout(max(0, self.deadline - now)):
                body = await self.http_request.stream.gather()
        except TimeoutError as error:
            raise self.conclude_late() from error
        except BodyTooLargeError as error:
            raise RefusalError(Code.BODY_TOO_LARGE) from error
        except BodyLostError as error:
            raise RefusalError(Code.CANCELLED) from error
        self.http_request = attrs.evolve(
            self.http_request, body=body, stream=None
        )

    @property
    def may_offer_again(self) -> bool:
        """Whether it may be offered to another server in this round."""
        limit = _MAX_REFUSALS_PER_ROUND
        if self.paused_seconds:
            limit = _MAX_REFUSALS_PER_LATER_ROUND
        return self.round_refusals < limit

    @property
    def may_join_queue(self) -> bool:
        """Whether it may try to join another queue in this round."""
        limit = _MAX_QUEUES
        if self.paused_seconds:
            limit = _MAX_QUEUES_PER_LATER_ROUND
        return len(self.queued_at) < limit

    @property
    def may_ask_remote(self) -> bool:
        """Whether it may be offered to another region in this round."""
        return not self.asked_remote and self.remote_offers < _MAX_REMOTE_OFFERS

    def record_remote_offer(self) -> None:
        """Record that it is offered to another region."""
        self.asked_remote = True
        self.remote_offers += 1

    @property
    def limits(self) -> WaitLimits:
        """How long it may wait."""
        return WaitLimits(self.arrived, self.deadline, self.route.objective)

    @property
    def short_queue_seconds(self) -> float:
        """Longest wait in a queue before other regions are asked."""
        return self.limits.short_queue_seconds

    @property
    def _wait_limit(self) -> float:
        """Longest time without a server, in seconds after the arrival."""
        return 0 if self.returns_early else self.limits.longest_seconds

    def is_worth_sending(self, now: float) -> bool:
        """Return whether another send is allowed and has enough time left."""
        return self.may_send_again and self.limits.find_seconds_to_send(now) > 0

    def begin_round(self) -> None:
        """Start a round in which nodes that refused it may be asked again."""
        self.rounds += 1
        self.refused_by.clear()
        self.doubt_limit.begin_round(is_last_resort=self.is_last_resort)
        self.round_refusals = 0
        self.asked_remote = False
        self.asked_long_queue = False

    def begin_pause(self, now: float) -> float | None:
        """Return how long to pause before another round of offers.

        :param now: time on the node's clock.
        :returns: seconds; ``None`` if the request is to be given up, since
            its response would be late or no other server may run it.
        """
        if self.last_refusal is None:
            return None
        if self.budget_refusals >= _MAX_BUDGET_REFUSALS:
            return None
        waited = max(now - self.arrived, self.paused_seconds)
        limit = self._wait_limit
        pause = _PAUSE_SECONDS
        if waited + pause > min(limit, self.deadline - self.arrived):
            if not self._may_end_with_last_resort(now):
                return None
            self.rounds = _LAST_RESORT_ROUND - 1
            pause = 0
        self.paused_seconds += pause
        self.begin_round()
        self.barred.clear()
        self.queued_at.clear()
        return pause

    def _may_end_with_last_resort(self, now: float) -> bool:
        """Return whether one more round may use servers in doubtful health.

        The waits of a request with a short objective end before the round of
        the last resort, so that it would be refused while a server is free.
        """
        if self.is_last_resort or self.returns_early or not self.barred:
            return False
        return self.limits.find_seconds_to_send(now) > 0

    @property
    def is_last_resort(self) -> bool:
        """Whether servers in doubtful health may be used."""
        return self.rounds >= _LAST_RESORT_ROUND

    def max_queue_seconds(self, now: float) -> float:
        """Return how long it may still queue; 0 or less if it may not."""
        return self._wait_limit - (now - self.arrived)

    def record_refusal(
        self, address: Address, error: RefusalError, load: Load | None = None
    ) -> None:
        """Record an attempt that ended without a response.

        :param load: of the server, if it has stated it.
        :raises RefusalError: the given one, if the request must not be
            repeated and may have run.
        """
        self.last_refusal = error
        if error.retry_after is not None:
            self.retry_after = error.retry_after
        if error.outcome is not Outcome.NOT_RUN:
            self.excluded.add(address)
            self.may_have_run = True
            if not self.repeatable:
                raise error
            return
        self.refusals += 1
        if self.key is not None and self.key.record_refusal(address, error):
            self.sends -= 1
            return
        self.round_refusals += 1
        if error.code is Code.RETRY_BUDGET:
            self.budget_refusals += 1
        if error.code not in {Code.QUEUE_FULL, Code.DOUBTFUL}:
            self.barred.add(address)
        if error.code is Code.DOUBTFUL and load is not None:
            self.doubt_limit.record(address, load.doubt)
        if error.code is Code.SERVER_SHED:
            self.excluded.add(address)
            return
        if error.code is Code.ACCOUNT_KEY and self.key is not None:
            # The other node has a newer configuration.
            self.key.revoke()
        # The attempt has not reached a server.
        self.refused_by.add(address)
        self.sends -= 1

    def conclude(self) -> RefusalError:
        """Return the refusal for the caller after all attempts."""
        last = self.last_refusal
        if last is None:
            return RefusalError(Code.NO_SERVER, retry_after=self.retry_after)
        if self.may_have_run:
            code = last.code
            if last.outcome is Outcome.NOT_RUN:
                code = Code.CONNECTION_LOST
            return RefusalError(code, Outcome.MAY_HAVE_RUN)
        code = last.code
        if code is Code.DEADLINE_PASSED:
            # Its status, 504, would not tell the caller that it may return.
            code = Code.QUEUE_FULL
        return RefusalError(code, Outcome.NOT_RUN, self.retry_after)

    def conclude_stopping(self) -> RefusalError:
        """Return the refusal for the caller of a node that is about to exit."""
        if self.may_have_run:
            return self.conclude()
        return RefusalError(Code.DRAINING, retry_after=self.retry_after)

    async def check_key(self, now: float) -> None:
        """Check the caller's key again before an attempt.

        It waits for the configuration that a node has asked for, for as long
        as the request is worth sending.

        :param now: time on the node's clock.
        :raises RefusalError: if it was revoked, or may have been.
        """
        if self.key is None:
            return
        await self.key.wait_for_version(self.limits.find_seconds_to_send(now))
        if self.key.revoked or self.key.is_outdated:
            raise self._conclude_key()
        if not self.may_have_run:
            self.key.checks.require_current()

    def _conclude_key(self) -> RefusalError:
        """Return the refusal for a caller whose key was not found valid."""
        outcome = Outcome.MAY_HAVE_RUN if self.may_have_run else Outcome.NOT_RUN
        if self.key.revoked:
            return RefusalError(Code.ACCOUNT_KEY, outcome, detail='revoked key')
        detail = 'newer configuration not received'
        return RefusalError(Code.NOT_READY, outcome, self.retry_after, detail)

    def conclude_late(self) -> RefusalError:
        """Return the refusal for the caller at the deadline."""
        if self.may_have_run:
            return RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
        return RefusalError(Code.QUEUE_FULL, retry_after=self.retry_after)
