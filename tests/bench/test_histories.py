import json

import attrs
import pytest

from bench.histories import (
    ApplyRecord,
    CallRecord,
    CapacityRecord,
    ClaimRecord,
    DrainRecord,
    History,
    RunRecord,
    VersionRecord,
    check_history,
)


def echo(request='r1', key='k1', body='b1'):
    return json.dumps({'request': request, 'key': key, 'body': body})


CALL = CallRecord('r1', 'k1', 'b1', 1, 2, 200, 'ran', '', echo())
RESEND = attrs.evolve(CALL, request_id='r2', start=3, end=4)
REFUSED_RESEND = attrs.evolve(RESEND, status=503, outcome='not-run', echo=None)
RUN = RunRecord('s1', 1.5, 'r1', 'k1', 'b1')
APPLY = ApplyRecord(1, 2, 1, 'd1')
SECOND_VERSION = VersionRecord('n1/7', 3, 2, 'd2')


def find_violations(**parts):
    return {found.promise for found in check_history(History(**parts))}


def test_a_right_history_passes():
    parts = {
        'calls': [CALL, RESEND],
        'runs': [RUN],
        'claims': [ClaimRecord('k1', 1.2)],
        'applies': [APPLY, ApplyRecord(3, 4, 2, 'd2')],
        'versions': [SECOND_VERSION],
        'drains': [DrainRecord('s1', 5)],
        'capacities': [CapacityRecord('shop', 1, 2, 2)],
    }
    assert not find_violations(**parts)
    assert History(**parts).operations == 9


@pytest.mark.parametrize(
    ('promise', 'parts'),
    [
        ('at most once', {'runs': [RUN, attrs.evolve(RUN, at=9)]}),
        (
            'true not run',
            {'calls': [attrs.evolve(CALL, outcome='not-run')], 'runs': [RUN]},
        ),
        ('true not run', {'calls': [REFUSED_RESEND], 'runs': [RUN]}),
        (
            'own and whole answer',
            {'calls': [attrs.evolve(CALL, echo='{"re')], 'runs': [RUN]},
        ),
        (
            'own and whole answer',
            {'calls': [attrs.evolve(CALL, echo=echo(key='x'))], 'runs': [RUN]},
        ),
        ('own and whole answer', {'calls': [CALL]}),
        (
            'lease',
            {
                'claims': [ClaimRecord('k1', 1)],
                'runs': [attrs.evolve(RUN, at=12)],
            },
        ),
        (
            'never reverts',
            {
                'versions': [
                    SECOND_VERSION,
                    attrs.evolve(SECOND_VERSION, at=4, version=1),
                ]
            },
        ),
        (
            'linearizable changes',
            {'applies': [APPLY, ApplyRecord(3, 4, 1, 'd2')]},
        ),
        (
            'linearizable changes',
            {
                'applies': [attrs.evolve(APPLY, version=2)],
                'versions': [SECOND_VERSION],
            },
        ),
        (
            'linearizable changes',
            {
                'applies': [
                    attrs.evolve(APPLY, version=5),
                    ApplyRecord(3, 4, 2, 'd2'),
                ],
            },
        ),
        (
            'no new work after a drain',
            {'calls': [CALL], 'runs': [RUN], 'drains': [DrainRecord('s1', 0)]},
        ),
        ('floor', {'capacities': [CapacityRecord('shop', 1, 1, 2)]}),
    ],
)
def test_each_broken_promise_is_found(promise, parts):
    """Guards against a check that misses a violation of its guarantee."""
    assert promise in find_violations(**parts)
