"""A departure is acknowledged once it would survive the node."""

import asyncio

import attrs
import pytest

from bench.gray.virtualtime import run_virtually
from godwitknot.mesh.memberdirectory import Directory
from godwitknot.mesh.model import ServerState
from godwitknot.mesh.recordcopies import RecordCopies
from test_memberdirectory import LOCAL

LEAVING = attrs.evolve(LOCAL, server_id='s1', state=ServerState.DRAINING)
LONGEST_SECONDS = 0.5


class Peers:
    """Nodes that serve, as drawn by gossip."""

    def __init__(self, count=1):
        self.members = (LOCAL,)[:count]

    def list_serving(self):
        return self.members


async def measure_wait(copies):
    """Return how long an acknowledgement is held back, in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    await copies.wait()
    return loop.time() - started


async def tell_later(copies, *marks):
    """Confirm copies, one every 0.1 s."""
    for mark in marks:
        await asyncio.sleep(0.1)
        mark(copies, LEAVING)


@pytest.mark.parametrize(
    ('member', 'marks', 'peers', 'expected'),
    [
        (LOCAL, [], 1, 0),
        (LEAVING, [], 1, LONGEST_SECONDS),
        (LEAVING, [RecordCopies.mark_stored], 1, LONGEST_SECONDS),
        (LEAVING, [RecordCopies.mark_delivered], 1, LONGEST_SECONDS),
        (
            LEAVING,
            [RecordCopies.mark_stored, RecordCopies.mark_delivered],
            1,
            0.2,
        ),
        (LEAVING, [RecordCopies.mark_stored], 0, 0.1),
    ],
    ids=['stays', 'no copy', 'store', 'peer', 'both', 'no peers'],
)
def test_departure_waits_for_copies(log, member, marks, peers, expected):
    """Guards against a departure that is lost with the node that took it.

    The node was killed just after it had acknowledged the departure, and the
    store was restored from an older copy.
    """

    async def scenario():
        copies = RecordCopies(Directory(member), Peers(peers), log)
        telling = asyncio.ensure_future(tell_later(copies, *marks))
        waited = await measure_wait(copies)
        await telling
        return waited

    assert run_virtually(scenario()) == pytest.approx(expected, abs=0.01)


def test_later_announcements_do_not_wait_again(log):
    """Guards against slow acknowledgements while the store is down."""

    async def scenario():
        copies = RecordCopies(Directory(LEAVING), Peers(), log)
        await copies.wait()
        return await measure_wait(copies)

    assert run_virtually(scenario()) == 0


def test_copy_of_an_older_record_does_not_count(log):
    async def scenario():
        directory = Directory(attrs.evolve(LEAVING, state=ServerState.READY))
        copies = RecordCopies(directory, Peers(), log)
        older = directory.local_member
        directory.update_local_member(state=ServerState.GONE)
        copies.mark_stored(older)
        copies.mark_delivered(older)
        return await measure_wait(copies)

    waited = run_virtually(scenario())
    assert waited == pytest.approx(LONGEST_SECONDS, abs=0.01)


def test_departure_without_copies_is_in_the_log(log, logged):
    """Guards against a departure that nobody can see to be at risk."""
    log.prepare()

    async def scenario():
        copies = RecordCopies(Directory(LEAVING), Peers(), log)
        await copies.wait()
        await copies.wait()

    run_virtually(scenario())
    assert logged().count('departure not copied') == 1
