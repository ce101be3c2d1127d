"""The sends of one request that are in progress, and when to start another."""

import asyncio
from collections.abc import Sequence

import attrs

from godwitknot.mesh.messages import Offer, describe_stream
from godwitknot.mesh.model import Placement
from godwitknot.mesh.relayclient import Exchange
from godwitknot.mesh.requestcontext import RequestContext
from godwitknot.mesh.serverselector import Target

# Share of the objective after which a repeatable request is also sent to
# another server, so that the second response can still arrive in time.
_HEDGE_SHARE = 0.5
_MIN_HEDGE_SECONDS = 0.1
# The deadline given to the server is this much earlier, so that its own
# response at that deadline still arrives in time.
_RESPONSE_MARGIN_SECONDS = 0.03


@attrs.define(eq=False)
class Attempt:
    """One send of a request.

    :param started: on the node's clock.
    :ivar hedged: whether another send has been started because of this one.
    :ivar avoided: whether its node is avoided, since a frame was late.
    """

    target: Target
    exchange: Exchange
    task: asyncio.Task
    started: float
    hedged: bool = False
    avoided: bool = False

    @property
    def may_run(self) -> bool:
        """Whether it may run by now, although it is not known to.

        The grant of another node may be under way.
        """
        return not (self.target.local or self.exchange.offer.needs_commit)

    @property
    def is_silent(self) -> bool:
        """Whether the first frame of the other node is late."""
        return self.exchange.overdue.done() and self.exchange.load is None


def find_next_hedge(
    context: RequestContext, attempts: Sequence[Attempt]
) -> float:
    """Return when to send a request to another server as well.

    :returns: time on the node's clock; the deadline if there is no other send.
    """
    if context.http_request.stream is not None:
        # A body can be read only once.
        return context.deadline
    if not context.repeatable or not context.may_send_again:
        return context.deadline
    waiting = [each for each in attempts if not each.hedged]
    if not waiting:
        return context.deadline
    if any(each.exchange.overdue.done() for each in waiting):
        return context.hedge_after
    delay = max(_MIN_HEDGE_SECONDS, _HEDGE_SHARE * context.route.objective)
    earliest = min(each.started for each in waiting) + delay
    return max(earliest, context.hedge_after)


def list_wakers(
    context: RequestContext, attempts: Sequence[Attempt]
) -> list[asyncio.Future]:
    """Return the futures whose end needs attention."""
    late_frames = [
        each.exchange.overdue for each in attempts if not each.avoided
    ]
    wakers = [each.task for each in attempts] + late_frames
    return wakers if context.key is None else wakers + context.key.list_wakers()


def reopen_hedges(attempts: Sequence[Attempt]) -> None:
    """Allow another hedged send, since an attempt has ended."""
    for attempt in attempts:
        attempt.hedged = False


def has_no_slot(attempts: Sequence[Attempt]) -> bool:
    """Return whether no server has taken the request."""
    return not any(each.exchange.granted for each in attempts)


def remove_without_slot(attempts: list[Attempt]) -> list[Attempt]:
    """Remove and return the attempts that no server has taken."""
    removed = [each for each in attempts if not each.exchange.granted]
    for attempt in removed:
        attempts.remove(attempt)
    return removed


def make_offer(
    context: RequestContext,
    target: Target,
    placement: Placement,
    left: float,
    max_wait: float,
    repeat: float,
) -> Offer:
    """Return the offer of a request to a server.

    :param placement: of this node.
    :param left: seconds until the deadline.
    :param max_wait: seconds for which it may wait for a slot.
    :param repeat: probability that it repeats a run.
    """
    http_request = context.http_request
    has_new_protocol = target.member.protocol >= 1
    offer = Offer(
        attempt_id=context.attempt_id,
        method=http_request.method,
        target=http_request.target,
        fields=http_request.fields,
        body=http_request.body,
        service=context.service,
        server_id=target.member.server_id,
        repeatable=context.repeatable,
        priority=context.priority,
        seconds_left=left - target.round_trip - _RESPONSE_MARGIN_SECONDS,
        max_wait=max_wait,
        caller_service=placement.service,
        caller_zone=placement.zone,
        fingerprint=context.fingerprint,
        repeat=repeat,
        objective=context.route.objective,
        last_resort=context.is_last_resort,
        account=context.account_name,
        account_version=0 if target.local else context.account_version,
        max_doubt=context.doubt_limit.find_limit(
            is_final_send=context.is_final_send
        ),
        returning=context.returning,
        # Most offers to other regions are refused.
        two_phase=target.remote and has_new_protocol,
        **describe_stream(http_request.stream),
    )
    head_follows = offer.needs_commit and has_new_protocol
    return attrs.evolve(offer, head_follows=head_follows)
