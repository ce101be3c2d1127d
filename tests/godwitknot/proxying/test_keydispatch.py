import json

import attrs
import pytest
import urllib3

from godwitknot.atmostonce.tickets import Owner
from godwitknot.control.records import NodeState
from godwitknot.proxying.attempts import AttemptState
from standins.faults import Faults
from standins.faultylink import FaultyLink
from tests.dataplane import free_address, running_plane


@pytest.fixture
def plane():
    with running_plane() as running:
        yield running


def issue_key(plane, account='acme'):
    response = urllib3.request(
        'POST',
        f'{plane.url}/.godwitknot/keys?service=shop',
        headers={'X-Account': account},
    )
    assert response.status == 201
    return response.json()['key']


def reserve(plane, key, body=b'slot 7', account='acme', timeout=20):
    return urllib3.request(
        'POST',
        f'{plane.url}/reservations',
        body=body,
        headers={'Idempotency-Key': key, 'X-Account': account},
        retries=False,
        timeout=timeout,
    )


def executions(plane):
    return [
        run for fake in plane.host.servers.values() for run in fake.executions
    ]


def read_refusal(response):
    return (response.json()['code'], response.json()['outcome'])


@pytest.mark.parametrize('issued', [True, False])
def test_a_resend_gets_the_first_answer(plane, issued):
    """Guards against a second booking when a resend reaches another server."""
    key = issue_key(plane) if issued else 'my-key'
    responses = [reserve(plane, key) for _ in range(4)]
    assert {response.status for response in responses} == {200}
    assert len({response.data for response in responses}) == 1
    assert len(executions(plane)) == 1
    assert json.loads(responses[0].data)['key'] == key
    assert read_refusal(reserve(plane, key, b'other')) == (
        'idempotency-key-reused',
        'may-have-run',
    )


def test_keys_are_bound_to_the_account(plane):
    key = issue_key(plane)
    assert reserve(plane, key, account='other').status == 400
    assert reserve(plane, f'{key}x').json()['outcome'] == 'may-have-run'
    assert not executions(plane)
    reserve(plane, 'k', account='one')
    reserve(plane, 'k', account='two')
    assert len(executions(plane)) == 2


@pytest.mark.parametrize('issued', [True, False])
def test_a_shed_request_runs_at_a_sibling_once(plane, issued):
    """Guards against two servers that may both run the same key."""
    key = issue_key(plane) if issued else 'my-key'
    plane.fake('s1').faults = Faults(shed=True)
    assert reserve(plane, key).status == 200
    plane.fake('s1').faults = Faults()
    assert reserve(plane, key).status == 200
    assert [run.key for run in executions(plane)] == [key]


@pytest.mark.parametrize('issued', [True, False])
def test_not_run_when_every_server_sheds(plane, issued):
    key = issue_key(plane) if issued else 'my-key'
    for name in ('s1', 's2'):
        plane.fake(name).faults = Faults(shed=True)
    assert read_refusal(reserve(plane, key)) == ('server-shed', 'not-run')
    for other in ('s1', 's2'):
        plane.fake(other).faults = Faults()
    assert reserve(plane, key).status == 200
    assert len(executions(plane)) == 1


@pytest.mark.parametrize('issued', [True, False])
def test_a_cut_answer_may_have_run_for_good(plane, issued):
    """Guards against a resend that runs a request a second time."""
    key = issue_key(plane) if issued else 'my-key'
    for name in ('s1', 's2'):
        plane.fake(name).faults = Faults(cut_share=1)
    assert read_refusal(reserve(plane, key)) == ('bad-answer', 'may-have-run')
    for other in ('s1', 's2'):
        plane.fake(other).faults = Faults()
    assert read_refusal(reserve(plane, key)) == ('bad-answer', 'may-have-run')
    assert len(executions(plane)) == 1


def test_a_caller_that_left_finds_its_answer(plane):
    """Guards against cancelling a run when its caller disconnects."""
    key = issue_key(plane)
    for name in ('s1', 's2'):
        plane.fake(name).faults = Faults(slow_factor=60)
    with pytest.raises(urllib3.exceptions.HTTPError):
        reserve(plane, key, timeout=0.1)
    assert reserve(plane, key).status == 200
    assert len(executions(plane)) == 1


def test_an_ended_owner_means_may_have_run(plane):
    key = issue_key(plane)
    gone = ('idempotency-key-owner-gone', 'may-have-run')
    for node_id, record in plane.nodes.items():
        plane.nodes[node_id] = attrs.evolve(record, state=NodeState.GONE)
    assert read_refusal(reserve(plane, key)) == gone
    for other_id, ended in plane.nodes.items():
        plane.nodes[other_id] = attrs.evolve(ended, incarnation=2)
    assert read_refusal(reserve(plane, key)) == gone
    assert not executions(plane)


def test_an_heir_replays_and_runs(plane):
    """Guards against keys that cannot be redeemed after a planned stop."""
    old, fresh = (
        plane.issuer.issue(Owner('n-s1', 1), 's1', 'shop', 'acme')
        for _ in range(2)
    )
    first = reserve(plane, old)
    plane.registries['s2'].adopt(
        plane.registries['s1'].export(Owner('n-s2', 1))
    )
    plane.nodes['n-s1'] = attrs.evolve(
        plane.nodes['n-s1'], state=NodeState.GONE, heir='n-s2'
    )
    assert reserve(plane, old).data == first.data
    assert reserve(plane, fresh).status == 200
    assert [run.key for run in executions(plane)] == [old, fresh]


def test_an_ingress_without_configuration_does_not_know(plane):
    """Guards against "not run" for a resend to a node that just started.

    The first request may have run through another node. Reproduced by
    ``python -m bench.soak --seed 2``.
    """
    assert reserve(plane, 'k').status == 200
    plane.ingress._get_configuration = lambda: None
    assert read_refusal(reserve(plane, 'k')) == ('not-ready', 'may-have-run')


def test_an_unreachable_owner_is_not_reported_as_not_run(plane):
    """Guards against "not run" from an ingress that reached no owner."""
    key = issue_key(plane)
    for target in list(plane.nodes):
        plane.nodes[target] = attrs.evolve(
            plane.nodes[target], peer=free_address()
        )
    assert read_refusal(reserve(plane, key)) == ('link-down', 'may-have-run')
    assert not executions(plane)


def test_a_silent_hop_does_not_repeat_a_booking(plane):
    """Guards against a second run after the hop lost the response."""
    key = issue_key(plane)
    links = []
    for node_id, record in plane.nodes.items():
        address = free_address()
        links.append(FaultyLink(address, record.peer))
        links[-1].start()
        plane.nodes[node_id] = attrs.evolve(record, peer=address)
    for link in links:
        link.cut_backward = True
    response = reserve(plane, key)
    assert response.json()['outcome'] == 'may-have-run'
    for healed in links:
        healed.cut_backward = False
    assert reserve(plane, key).status == 200
    assert len(executions(plane)) == 1


def test_a_restarted_sidecar_does_not_speak_for_the_old_one(plane):
    """Guards against "not run" for a request that ran before a restart."""
    assert plane.sidecar.resolve_attempt('1/a') is AttemptState.NOT_RUN
    assert plane.sidecar.resolve_attempt('2/a') is AttemptState.ENDED
