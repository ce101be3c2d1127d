"""A node serves keys only with a configuration that others confirm."""

import itertools
import math
import random

import pytest

from godwitknot.accounts.freshness import Freshness
from godwitknot.accounts.majoritycontact import MajorityContact
from godwitknot.clock import ManualClock

OLD_VERSION = 4
NEW_VERSION = 5
REVOKE_SECONDS = 5


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def freshness(clock):
    return Freshness(clock)


# Probes of 99 nodes while the store is down: at 136 bytes for a probe and its
# reply, two thirds of the 5 KB/s for control traffic.
MAX_PROBES_PER_SECOND = 25


def hear(freshness, node, version, *, runs_longer=False, other_nodes=99):
    freshness.record_version(
        node, version, runs_longer=runs_longer, other_nodes=other_nodes
    )


def test_old_row_of_the_store_is_not_trusted(freshness, clock):
    """Guards against a revoked key that a restarted node accepts.

    The store was restored from a copy, and the node read the older row.
    """
    freshness.record_configuration(OLD_VERSION)
    assert not freshness.is_confirmed()
    hear(freshness, 'a', NEW_VERSION, runs_longer=True)
    clock.advance(4)
    assert not freshness.is_confirmed()
    freshness.record_configuration(NEW_VERSION)
    hear(freshness, 'a', NEW_VERSION, runs_longer=True)
    assert freshness.is_confirmed()


def test_nodes_that_start_together_do_not_vouch_for_each_other(freshness):
    """Guards against a fleet's restarted part that agrees on an old row."""
    freshness.record_configuration(OLD_VERSION)
    hear(freshness, 'a', OLD_VERSION)
    hear(freshness, 'a', OLD_VERSION)
    hear(freshness, 'b', OLD_VERSION)
    assert not freshness.is_confirmed()
    hear(freshness, 'c', OLD_VERSION)
    assert freshness.is_confirmed()


def test_small_fleet_is_confirmed_by_all_others(freshness):
    """Guards against a wait for more nodes than there are."""
    freshness.record_configuration(OLD_VERSION)
    hear(freshness, 'a', OLD_VERSION, other_nodes=1)
    assert freshness.is_confirmed()


@pytest.mark.parametrize(('heard', 'seconds'), [(0, 3), (NEW_VERSION, 10)])
def test_node_that_cannot_compare_serves_at_last(
    freshness, clock, heard, seconds
):
    """Guards against a node that stays unready where others are lost."""
    freshness.record_configuration(OLD_VERSION)
    hear(freshness, 'a', heard)
    clock.advance(seconds - 0.1)
    assert not freshness.is_confirmed()
    clock.advance(0.1)
    assert freshness.is_confirmed()


def test_first_start_has_nothing_to_miss(clock):
    freshness = Freshness(clock, first_start=True)
    freshness.record_configuration(1)
    assert freshness.is_confirmed()


def test_node_behind_a_cut_may_have_missed_a_revocation(freshness, clock):
    """Guards against keys that work behind a cut in strict deployments."""
    freshness.record_configuration(OLD_VERSION)
    freshness.record_store(connected=True)
    clock.advance(60)
    assert not freshness.is_out_of_touch(REVOKE_SECONDS)
    freshness.record_store(connected=False)
    assert freshness.is_out_of_touch(REVOKE_SECONDS)
    reply(freshness, clock, 'a', OLD_VERSION, store_age=1)
    assert not freshness.is_out_of_touch(REVOKE_SECONDS)
    clock.advance(REVOKE_SECONDS - 0.9)
    reply(freshness, clock, 'a', NEW_VERSION, store_age=0)
    assert freshness.is_out_of_touch(REVOKE_SECONDS)


def reply(freshness, clock, node, version=OLD_VERSION, store_age=math.inf):
    freshness.record_reply(node, version, clock.now(), store_age)


def test_nodes_cut_off_together_do_not_vouch_for_each_other(clock):
    """Guards against a group that serves revoked keys behind a cut.

    Each node hears all others of the group, and none of the outside.
    """
    group = [Freshness(clock) for _ in range(3)]
    nodes = range(10)
    for each in group:
        each.record_configuration(OLD_VERSION)
        each.record_store(connected=True)
        each.record_store(connected=False)
    for _ in range(7):
        clock.advance(1)
        for receiver, sender in itertools.permutations(range(3), 2):
            node = group[receiver]
            node.list_probes(nodes, REVOKE_SECONDS, random.Random(1))
            hear(node, sender, OLD_VERSION)
            age = group[sender].store_age
            reply(node, clock, sender, OLD_VERSION, age)
    assert all(each.is_out_of_touch(REVOKE_SECONDS) for each in group)


@pytest.mark.parametrize(('answering', 'is_out'), [(50, False), (49, True)])
def test_majority_replaces_a_store_that_is_down_for_all(
    freshness, clock, answering, is_out
):
    """Guards against a store outage that stops all accounts of 100 nodes."""
    nodes = range(99)
    freshness.record_configuration(OLD_VERSION)
    freshness.record_store(connected=False)
    probes = []
    for _ in range(40):
        clock.advance(0.5)
        drawn = freshness.list_probes(nodes, REVOKE_SECONDS, random.Random(1))
        probes.append(len(drawn))
        for node in drawn:
            if node < answering:
                freshness.record_contact(node, clock.now())
    assert freshness.is_out_of_touch(REVOKE_SECONDS) is is_out
    assert sum(probes) / 20 <= MAX_PROBES_PER_SECOND
    freshness.record_store(connected=True)
    assert not freshness.list_probes(nodes, REVOKE_SECONDS, random.Random(1))


def test_nodes_that_do_not_answer_are_asked_last(clock):
    """Guards against live nodes that are not asked while others are gone."""
    contact = MajorityContact(clock)
    contact.update_nodes(range(9), 10)
    for node in range(9):
        contact.record(node, clock.now())
    clock.advance(6)
    first = contact.draw_probes(10, random.Random(1))
    clock.advance(1.1)
    second = contact.draw_probes(10, random.Random(1))
    assert second
    assert not set(first) & set(second[: 9 - len(first)])


def test_node_of_the_previous_release_counts_as_before(freshness, clock):
    """Guards against accounts that stop during the change of a release."""
    freshness.record_configuration(OLD_VERSION)
    clock.advance(REVOKE_SECONDS + 0.1)
    reply(freshness, clock, 'a', store_age=None)
    assert not freshness.is_out_of_touch(REVOKE_SECONDS)
