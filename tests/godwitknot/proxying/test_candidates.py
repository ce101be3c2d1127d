import collections
import random

import pytest

from godwitknot.clock import ManualClock
from godwitknot.control.records import (
    LocatedServer,
    NodeRecord,
    NodeState,
    ServerRecord,
    ServerState,
)
from godwitknot.proxying.candidates import (
    CandidatePool,
    Locality,
    ReportedLoad,
    choose_candidates,
)
from godwitknot.units import Address

LOCATIONS = (
    ('reykjanes', 'reykjanes-a'),
    ('reykjanes', 'reykjanes-b'),
    ('nordurland', 'nordurland-a'),
    ('nordurland', 'nordurland-b'),
)


def locate(number, location=0, state=ServerState.READY, *, reachable=True):
    address = Address('127.0.0.1', 1)
    server = ServerRecord('s', 'booking', 4, 1, state)
    region, domain = LOCATIONS[location]
    node = NodeRecord(
        f'n{number}',
        1,
        1,
        region,
        domain,
        address,
        address,
        NodeState.READY,
        (server,),
    )
    return LocatedServer(node, server, reachable)


def fleet(count):
    return [locate(number, number % 4) for number in range(count)]


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def pool(clock):
    created = CandidatePool(locate(0).node, clock, random.Random(1))
    created.update('booking', fleet(8))
    return created


def find_candidate(pool, number):
    candidates = pool.candidates('booking')
    return next(each for each in candidates if each.key[0] == f'n{number}')


def test_small_service_is_used_whole():
    assert len(choose_candidates(locate(0).node, fleet(16))) == 16


def test_large_service_keeps_contacts_in_other_places():
    """Guards against losing every candidate with one failure domain."""
    chosen = choose_candidates(locate(0).node, fleet(200))
    domains = collections.Counter(each.node.failure_domain for each in chosen)
    assert domains['reykjanes-a'] == 10
    assert domains['reykjanes-b'] == 4
    assert len(chosen) == 16


def test_one_server_less_changes_one_contact():
    servers = fleet(200)
    before = choose_candidates(locate(0).node, servers)
    servers.remove(before[0])
    after = choose_candidates(locate(0).node, servers)
    assert len(set(before) - set(after)) == 1


def test_each_server_has_contacts():
    """Guards against servers that are no ingress's candidate."""
    servers = fleet(40)
    chosen_by_any = set()
    for ingress in servers:
        chosen_by_any.update(choose_candidates(ingress.node, servers))
    assert len(chosen_by_any) == 40


def test_unreachable_and_draining_servers_are_left_out(pool):
    pool.update(
        'booking',
        [
            locate(1, state=ServerState.DRAINING),
            locate(2, reachable=False),
            locate(3),
        ],
    )
    assert [each.key[0] for each in pool.candidates('booking')] == ['n3']


def test_load_expires(pool, clock):
    """Guards against choosing by an outdated load report."""
    key = ('n1', 's')
    pool.record_sent(key)
    assert find_candidate(pool, 1).fullness == pytest.approx(0.25)
    pool.record_done(key, ReportedLoad(3, 1, 4, 0.5))
    assert find_candidate(pool, 1).fullness == pytest.approx(2)
    assert find_candidate(pool, 1).locality == Locality.SAME_REGION
    clock.advance(2)
    assert find_candidate(pool, 1).fullness == pytest.approx(0)


def test_failed_link_backs_off_and_recovers(pool, clock):
    """Guards against constant attempts to reach an unreachable node."""
    key = ('n1', 's')
    backoffs = []
    for _ in range(8):
        pool.record_link_failed('n1')
        failed_at = clock.now()
        while not find_candidate(pool, 1).usable:
            clock.advance(0.05)
        backoffs.append(clock.now() - failed_at)
    assert backoffs[0] == pytest.approx(0.375, abs=0.2)
    assert max(backoffs) == pytest.approx(7.5, abs=2.6)
    pool.record_sent(key)
    assert not find_candidate(pool, 1).usable
    pool.record_done(key, ReportedLoad(0, 0, 4, 1))
    assert find_candidate(pool, 1).usable


def test_refusal_by_state_is_remembered_briefly(pool, clock):
    pool.record_refused(('n1', 's'))
    assert not find_candidate(pool, 1).usable
    clock.advance(1)
    assert find_candidate(pool, 1).usable
