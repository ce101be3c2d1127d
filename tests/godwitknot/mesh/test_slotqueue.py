"""Urgent requests get most slots, and no others starve beside them."""

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


def take(queue, count):
    return [queue.pop().offer.priority for _ in range(count)]


def test_less_urgent_requests_do_not_starve(loop):
    """Lookups got no slot for 2 s while bookings kept arriving."""
    taken = take(fill(loop, ROUTINE, URGENT, BULK, count=30), 19)
    assert taken.count(URGENT) > taken.count(ROUTINE)
    assert taken.count(ROUTINE) > taken.count(BULK)
    assert BULK in taken


def test_share_follows_what_waits(loop):
    """A few lookups must not get the slots of many bookings."""
    queue = fill(loop, URGENT, count=27)
    for _ in range(3):
        queue.push(make_reservation(loop, ROUTINE))
    taken = take(queue, 15)
    assert taken.count(ROUTINE) == 1


def test_urgent_request_is_first(loop):
    assert take(fill(loop, ROUTINE, URGENT, ROUTINE), 3) == [
        URGENT,
        ROUTINE,
        ROUTINE,
    ]


def test_time_without_others_earns_no_slots_in_advance(loop):
    """A burst of lookups must not pass bookings for all the calm before."""
    queue = fill(loop, URGENT, count=50)
    take(queue, 40)
    for _ in range(10):
        queue.push(make_reservation(loop, ROUTINE))
    assert take(queue, 5).count(URGENT) == 3


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
