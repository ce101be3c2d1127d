"""One request of a caller, and what it may still do."""

import attrs

from godwitknot.mesh.model import HttpRequest, HttpResponse, Route
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

# Refusals by sidecars cost little, but each takes a round trip. A second
# send may ask as many again after a pause.
_MOST_REFUSALS = 4
# Servers at which a request asks for a place in the queue. Those that refuse
# it do so at once.
_MOST_QUEUES = 4
# Part of the objective that a request may wait in a queue. Longer waits
# would make the answer late, and a refusal tells the caller to come back.
_QUEUE_SHARE = 0.6
# Part of the objective that must be left for a second send.
_LEAST_LEFT_SHARE = 0.15
# Callers come back after this long when no server has told a time.
_NO_SERVER_SECONDS = 0.5


@attrs.define(eq=False)
class RequestContext:
    """One request of a caller.

    :param service: that the route's split has chosen.
    :param deadline: of the final answer, on the node's clock.
    :param fingerprint: recognizes the request in crash reports.
    :ivar excluded: nodes whose server it was sent to.
    :ivar passed: nodes that refused it in this round of asking.
    :ivar asked: refusals in this round.
    :ivar refusals: in all rounds.
    :ivar rounds: of asking for a second send.
    :ivar hedge_after: no second send before, on the node's clock.
    :ivar barred: nodes that refused it for another reason than a lack of
        room.
    :ivar queued_at: nodes that it asked for a place in the queue.
    :ivar sends: that may have reached a server.
    :ivar retry_after: seconds until its caller may come back, as a server
        told last.
    :ivar fallback: the answer for the caller if no better one comes.
    """

    attempt_id: str
    message: HttpRequest
    route: Route
    service: str
    arrived: float
    deadline: float
    fingerprint: int
    excluded: set[Address] = attrs.field(factory=set)
    passed: set[Address] = attrs.field(factory=set)
    barred: set[Address] = attrs.field(factory=set)
    queued_at: set[Address] = attrs.field(factory=set)
    asked: int = 0
    rounds: int = 0
    refusals: int = 0
    hedge_after: float = 0
    sends: int = 0
    last: RefusalError | None = None
    retry_after: float = _NO_SERVER_SECONDS
    may_have_run: bool = False
    fallback: HttpResponse | None = None

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind.repeatable

    @property
    def may_be_sent_again(self) -> bool:
        """Whether the route allows another send."""
        return self.sends < self.route.attempts

    @property
    def may_ask_more(self) -> bool:
        """Whether it may still look for a server with room at once."""
        return self.asked < _MOST_REFUSALS

    def is_worth_sending(self, now: float) -> bool:
        """Tell whether another send is allowed and may be answered."""
        if not self.may_be_sent_again:
            return False
        left = self.deadline - now
        return left > _LEAST_LEFT_SHARE * self.route.objective

    def begin_round(self) -> None:
        """Let nodes be asked again that refused it."""
        self.rounds += 1
        self.passed.clear()
        self.asked = 0

    def longest_wait(self, now: float) -> float:
        """Give the seconds that it may wait in a queue, 0 or less for none."""
        if len(self.queued_at) >= _MOST_QUEUES:
            return 0
        return _QUEUE_SHARE * self.route.objective - (now - self.arrived)

    def note_refusal(self, address: Address, error: RefusalError) -> None:
        """Take in the end of an attempt without an answer.

        :raises RefusalError: the same, if the request must not be repeated
            and may have run.
        """
        self.last = error
        if error.retry_after is not None:
            self.retry_after = error.retry_after
        if error.outcome is not Outcome.NOT_RUN:
            self.excluded.add(address)
            self.may_have_run = True
            if not self.repeatable:
                raise error
            return
        self.asked += 1
        self.refusals += 1
        if error.code is not Code.QUEUE_FULL:
            self.barred.add(address)
        if error.code is Code.SERVER_SHED:
            self.excluded.add(address)
            return
        # It has not reached a server.
        self.passed.add(address)
        self.sends -= 1

    def conclude(self) -> RefusalError:
        """Give the refusal for the caller, after all attempts."""
        last = self.last
        if last is None:
            return RefusalError(Code.NO_SERVER, retry_after=self.retry_after)
        if self.may_have_run:
            code = last.code
            if last.outcome is Outcome.NOT_RUN:
                code = Code.CONNECTION_LOST
            return RefusalError(code, Outcome.MAY_HAVE_RUN)
        return RefusalError(last.code, Outcome.NOT_RUN, self.retry_after)

    def conclude_late(self) -> RefusalError:
        """Give the refusal for the caller at the deadline."""
        if self.may_have_run:
            return RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
        return RefusalError(Code.QUEUE_FULL, retry_after=self.retry_after)
