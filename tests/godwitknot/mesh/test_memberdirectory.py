"""Records about nodes only ever move forward."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from godwitknot.mesh.memberdirectory import Directory, Member
from godwitknot.mesh.model import ServerState
from godwitknot.units import Address

OWN = Member(
    'node-1',
    Address('10.0.0.1', 1),
    'z1',
    'r1',
    'booking',
    's1',
    5,
    ServerState.READY,
    4,
    incarnation=100,
    revision=0,
    serving=True,
)
OTHER = attrs.evolve(OWN, node='node-2', address=Address('10.0.0.2', 1))


def test_older_record_changes_nothing():
    directory = Directory(OWN)
    directory.merge([attrs.evolve(OTHER, revision=2)])
    stale = attrs.evolve(OTHER, revision=1, state=ServerState.GONE)
    assert not directory.merge([stale])
    assert directory.find_servers('booking') == [
        OWN,
        attrs.evolve(OTHER, revision=2),
    ]


def test_record_of_an_earlier_run_raises_the_own_incarnation():
    """The wall clock may step back between two runs of a node."""
    directory = Directory(OWN)
    directory.merge([attrs.evolve(OWN, incarnation=500, revision=9)])
    assert directory.local_member.incarnation == 501
    assert directory.local_member.server_id == 's1'


def test_draining_server_takes_no_work():
    directory = Directory(OWN)
    directory.update_local_member(state=ServerState.DRAINING)
    assert directory.find_servers('booking') == []


def test_stopping_node_takes_no_work_of_others():
    directory = Directory(OWN)
    directory.merge([attrs.evolve(OTHER, serving=False)])
    assert directory.find_servers('booking') == [OWN]


def test_stopping_node_still_uses_its_own_server():
    """Its callers got 503 while it knew of no other server."""
    directory = Directory(OWN)
    directory.update_local_member(serving=False)
    assert directory.find_servers('booking') == [directory.local_member]


def test_unchanged_record_keeps_its_revision():
    directory = Directory(OWN)
    assert not directory.update_local_member(slots=4)
    assert directory.local_member.revision == 0


@given(st.permutations(range(6)), st.permutations(range(6)))
def test_order_of_news_does_not_matter(first, second):
    """Nodes agree once they have heard the same news in any order."""
    news = [
        attrs.evolve(OTHER, incarnation=each // 3, revision=each % 3)
        for each in range(6)
    ]
    one, two = Directory(OWN), Directory(OWN)
    for index in first:
        one.merge([news[index]])
    for index in second:
        two.merge([news[index]])
    assert one.hash_buckets() == two.hash_buckets()
    assert one.find_differing_buckets(two.hash_buckets()) == ()
    assert set(one.members) == set(two.members)


def test_one_difference_costs_one_bucket():
    """A single change sent the records of the whole fleet."""
    fleet = [
        attrs.evolve(OTHER, address=Address(f'10.0.1.{number}', 1))
        for number in range(200)
    ]
    one, two = Directory(OWN), Directory(OWN)
    one.merge(fleet)
    two.merge(fleet)
    changed = attrs.evolve(fleet[7], revision=1)
    one.merge([changed])
    differing = two.find_differing_buckets(one.hash_buckets())
    assert len(differing) == 1
    listed = one.list_bucket_members(differing)
    assert changed in listed
    assert len(listed) < len(fleet) / 8


def test_digests_of_another_size_differ_everywhere():
    """A node of an earlier version sends no buckets."""
    directory = Directory(OWN)
    differing = directory.find_differing_buckets(())
    assert directory.list_bucket_members(differing) == (OWN,)
