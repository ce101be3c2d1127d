"""The final refusal tells the caller whether the request has run."""

import asyncio

import attrs
import pytest
from test_dispatcher import make_context

from godwitknot.mesh.bodystream import BodyStream
from godwitknot.mesh.model import RouteKind
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import Address

PEER = Address('10.0.0.2', 7660)


def test_offer_that_came_too_late_is_told_as_not_run(clock):
    """Guards against a 504 for a booking that no server was given."""
    context = make_context(clock, RouteKind.AT_MOST_ONCE)
    context.sends = 1
    context.record_refusal(PEER, RefusalError(Code.DEADLINE_PASSED))
    refusal = context.conclude()
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.status == 503
    assert refusal.retry_after is not None


def test_run_that_passed_its_deadline_promises_nothing(clock):
    """Guards against a promise for a request that a server has begun."""
    context = make_context(clock, RouteKind.IDEMPOTENT)
    context.sends = 1
    error = RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
    context.record_refusal(PEER, error)
    assert context.conclude().status == 504


@pytest.mark.parametrize(
    ('code', 'expected'), [(Code.EJECTED, 2), (Code.QUEUE_FULL, 1)]
)
def test_short_request_ends_with_the_last_resort(clock, code, expected):
    """Guards against calls refused unsent while all servers are doubted.

    A call of 0.25 s waits for 0.32 s at most, which is less than the two
    pauses before the round of the last resort.
    """
    context = make_context(clock, RouteKind.IDEMPOTENT, 0.8, 0.25)
    pause = float(0)
    while pause is not None:
        context.record_refusal(PEER, RefusalError(code))
        pause = context.begin_pause(clock.now())
        clock.advance(pause or 0)
    assert context.rounds == expected
    assert context.is_last_resort == (code is Code.EJECTED)


class EndlessBody(BodyStream):
    """Arrives in small parts and never ends."""

    async def _read_part(self):
        await asyncio.sleep(0.01)
        return b'x'


def test_body_is_not_gathered_beyond_the_deadline(clock):
    """Guards against a slow body that holds memory for ever."""
    context = make_context(clock, RouteKind.AT_MOST_ONCE, 0.1, 0.1)
    stream = EndlessBody(1000000)
    context.http_request = attrs.evolve(context.http_request, stream=stream)

    async def gather():
        async with asyncio.timeout(5):
            await context.gather_body(clock.now())

    with pytest.raises(RefusalError) as caught:
        asyncio.run(gather())
    assert caught.value.code is Code.QUEUE_FULL
    assert caught.value.outcome is Outcome.NOT_RUN
