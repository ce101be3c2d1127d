"""Refused attempts are known as long as they may be offered again."""

from godwitknot.mesh.refusedattempts import RefusedAttempts


def test_refused_attempt_is_known_beyond_its_deadline(clock):
    """Guards against one that is forgotten while its next offer travels."""
    refused = RefusedAttempts(clock)
    refused.add('a1', clock.now() + 5)
    clock.advance(6)
    refused.add('a2', clock.now() + 5)
    assert 'a1' in refused
    assert 'a3' not in refused


def test_ended_attempts_are_forgotten(clock):
    """Guards against memory that grows with each refusal."""
    refused = RefusedAttempts(clock)
    for number in range(100):
        refused.add(f'a{number}', clock.now() + 1)
        refused.add(f'a{number}', clock.now() + 2)
    clock.advance(60)
    refused.add('b1', clock.now() + 5)
    assert len(refused) == 1
