"""The state of one caller's request over all its attempts."""

import attrs

from godwitknot.mesh.model import HttpRequest, HttpResponse, Route
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

# Refusals by sidecars are cheap, but each takes a round trip. A hedged send may
# be offered to as many nodes again in each later round.
_MAX_REFUSALS_PER_ROUND = 4
# Servers whose queue a request may try to join. Those that refuse do so at
# once.
_MAX_QUEUES = 4
# Share of the objective that a request may wait in a queue. Longer waits would
# make the response late, while a refusal lets the caller retry.
_QUEUE_SHARE = 0.6
# Share of the objective that must be left for another send.
_MIN_REMAINING_SHARE = 0.15
# Retry time for callers when no server has stated one.
_DEFAULT_RETRY_SECONDS = 0.5


@attrs.define(eq=False)
class RequestContext:
    """State of one caller's request.

    :param service: chosen by the traffic split of the route.
    :param deadline: of the final response, on the node's clock.
    :param fingerprint: identifies the request in crash reports.
    :ivar excluded: nodes whose server it was sent to.
    :ivar refused_by: nodes that refused it in this round of offers.
    :ivar barred: nodes that refused it for a reason other than lack of
        capacity.
    :ivar queued_at: nodes whose queue it has tried to join.
    :ivar round_refusals: refusals in this round.
    :ivar rounds: rounds of offers for a hedged send.
    :ivar refusals: refusals in all rounds.
    :ivar hedge_after: earliest time of a hedged send, on the node's clock.
    :ivar sends: attempts that may have reached a server.
    :ivar retry_after: seconds until the caller may retry, from the last refusal
        that stated a time.
    :ivar fallback: response for the caller if no better one arrives.
    """

    attempt_id: str
    http_request: HttpRequest
    route: Route
    service: str
    arrived: float
    deadline: float
    fingerprint: int
    excluded: set[Address] = attrs.field(factory=set)
    refused_by: set[Address] = attrs.field(factory=set)
    barred: set[Address] = attrs.field(factory=set)
    queued_at: set[Address] = attrs.field(factory=set)
    round_refusals: int = 0
    rounds: int = 0
    refusals: int = 0
    hedge_after: float = 0
    sends: int = 0
    last_refusal: RefusalError | None = None
    retry_after: float = _DEFAULT_RETRY_SECONDS
    may_have_run: bool = False
    fallback: HttpResponse | None = None

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind.repeatable

    @property
    def may_send_again(self) -> bool:
        """Whether the route allows another send."""
        return self.sends < self.route.attempts

    @property
    def may_offer_again(self) -> bool:
        """Whether it may be offered to another server in this round."""
        return self.round_refusals < _MAX_REFUSALS_PER_ROUND

    def is_worth_sending(self, now: float) -> bool:
        """Return whether another send is allowed and has enough time left."""
        if not self.may_send_again:
            return False
        remaining = self.deadline - now
        return remaining > _MIN_REMAINING_SHARE * self.route.objective

    def begin_round(self) -> None:
        """Start a round in which nodes that refused it may be asked again."""
        self.rounds += 1
        self.refused_by.clear()
        self.round_refusals = 0

    def max_queue_seconds(self, now: float) -> float:
        """Return how long it may wait in a queue, 0 or less for not at all."""
        if len(self.queued_at) >= _MAX_QUEUES:
            return 0
        return _QUEUE_SHARE * self.route.objective - (now - self.arrived)

    def record_refusal(self, address: Address, error: RefusalError) -> None:
        """Record an attempt that ended without a response.

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
        self.round_refusals += 1
        self.refusals += 1
        if error.code is not Code.QUEUE_FULL:
            self.barred.add(address)
        if error.code is Code.SERVER_SHED:
            self.excluded.add(address)
            return
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
        return RefusalError(last.code, Outcome.NOT_RUN, self.retry_after)

    def conclude_late(self) -> RefusalError:
        """Return the refusal for the caller at the deadline."""
        if self.may_have_run:
            return RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
        return RefusalError(Code.QUEUE_FULL, retry_after=self.retry_after)
