"""Bodies of unstated length share the memory of their server."""

import random

import pytest

from godwitknot.memory.serverbodies import (
    LargeBody,
    fits,
    may_continue,
)

MEBIBYTE = 1048576
BUDGET = 200 * MEBIBYTE
LARGEST = 64 * MEBIBYTE
STEP = MEBIBYTE // 4


def test_single_body_is_accepted_whatever_its_size():
    """Guards against a body that no server ever takes."""
    body = LargeBody(2 * BUDGET, 2 * BUDGET)
    assert fits(BUDGET, (), body)
    assert not fits(BUDGET, (LargeBody(0, LARGEST),), body)


def test_end_of_a_body_of_the_largest_size_is_read():
    """Guards against bodies that wait for the end of one that waits itself."""
    bodies = (LargeBody(LARGEST, LARGEST), LargeBody(BUDGET, BUDGET + 1))
    assert may_continue(BUDGET, bodies, 0)
    assert not may_continue(BUDGET, bodies, 1)


@pytest.mark.parametrize('seed', range(20))
def test_bodies_that_grow_at_once_stay_within_the_memory(seed):
    """Guards against a full server, and against bodies that wait for ever.

    Load pattern: uploads of unstated length arrive together.
    """
    rng = random.Random(seed)
    sizes = [rng.choice((STEP, LARGEST)) for _ in range(12)]
    running = []
    for size in sizes:
        body = LargeBody(0, LARGEST)
        if fits(BUDGET, [each for each, _ in running], body):
            running.append((body, size))
    assert len(running) == len(sizes)
    while running:
        bodies = [each for each, _ in running]
        # Parts may be longer than a step, and several arrive at once.
        assert sum(each.arrived for each in bodies) <= BUDGET + 12 * MEBIBYTE
        movable = [
            index
            for index, body in enumerate(bodies)
            if not body.may_grow or may_continue(BUDGET, bodies, index)
        ]
        moved = rng.sample(movable, rng.randint(1, len(movable)))
        for index in sorted(moved, reverse=True):
            body, size = running[index]
            if not body.may_grow:
                running.pop(index)
                continue
            part = rng.randint(1, 2 * STEP)
            arrived = min(body.arrived + part, size)
            largest = size if arrived == size else LARGEST
            running[index] = (LargeBody(arrived, largest), size)
