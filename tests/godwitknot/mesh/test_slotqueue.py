"""Urgent requests get most slots, and less urgent ones do not starve."""

import asyncio

import pytest

from godwitknot.mesh.messages import Offer
from godwitknot.mesh.slotqueue import SlotQueue, SlotReservation

URGENT, ROUTINE, BULK = 1, 2, 3


def make_reservation(loop, priority, deadline=1):
    offer = Offer(
        attempt_id='a1',
        method='GET',
        target='/x/',
        fields=[],
        body=b'',
        service='booking',
        server_id='s1',
        repeatable=True,
        priority=priority,
        seconds_left=1,
        max_wait=1,
        caller_service='booking',
        caller_zone='z1',
        fingerprint=1,
    )
    return SlotReservation(offer, loop.create_future(), deadline)


@pytest.fixture
def loop():
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


def fill(loop, *priorities, count=1):
    queue = SlotQueue()
    for priority in priorities:
        for _ in range(count):
            queue.push(make_reservation(loop, priority))
    return queue


def pop_priorities(queue, count):
    return [queue.pop().offer.priority for _ in range(count)]


def test_less_urgent_requests_do_not_starve(loop):
    """Guards against lookups that get no slot while bookings keep arriving.

    With strict priority they got none for 2 s.
    """
    served = pop_priorities(fill(loop, ROUTINE, URGENT, BULK, count=30), 19)
    assert served.count(URGENT) > served.count(ROUTINE)
    assert served.count(ROUTINE) > served.count(BULK)
    assert BULK in served


def test_share_follows_what_waits(loop):
    """Guards against a few lookups that take the slots of many bookings."""
    queue = fill(loop, URGENT, count=27)
    for _ in range(3):
        queue.push(make_reservation(loop, ROUTINE))
    served = pop_priorities(queue, 15)
    assert served.count(ROUTINE) == 1


def test_urgent_request_is_first(loop):
    assert pop_priorities(fill(loop, ROUTINE, URGENT, ROUTINE), 3) == [
        URGENT,
        ROUTINE,
        ROUTINE,
    ]


def test_time_without_others_earns_no_slots_in_advance(loop):
    """Guards against credit that a priority earns while nothing waits in it.

    A burst of lookups would otherwise get ahead of bookings.
    """
    queue = fill(loop, URGENT, count=50)
    pop_priorities(queue, 40)
    for _ in range(10):
        queue.push(make_reservation(loop, ROUTINE))
    assert pop_priorities(queue, 5).count(URGENT) == 3


def test_nearest_deadline_is_first_within_a_priority(loop):
    queue = SlotQueue()
    for deadline in (3, 1, 2):
        queue.push(make_reservation(loop, URGENT, deadline))
    assert [queue.pop().deadline for _ in range(3)] == [1, 2, 3]


def test_requests_that_left_get_no_slot(loop):
    queue = SlotQueue()
    left, stays = (
        make_reservation(loop, URGENT),
        make_reservation(loop, ROUTINE),
    )
    queue.push(left)
    queue.push(stays)
    left.granted.cancel()
    assert len(queue) == 1
    assert queue.pop() is stays
    assert queue.pop() is None
