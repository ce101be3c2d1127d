"""Copies of peers that cannot be read raise ProtocolError."""

import pytest

from godwitknot.declarations.configversions import parse_copy
from godwitknot.errors import ProtocolError
from godwitknot.keys import FleetKeys

KEYS = FleetKeys('k1', {'k1': b'0' * 16})


@pytest.mark.parametrize(
    'payload',
    [
        '[' * 100000,
        f'{{"key": {"[" * 100000}',
        '{"key": ["k1"], "mac": "00", "body": ""}',
        '{"key": "k1", "mac": "odd", "body": ""}',
        '{"key": "k1", "mac": 1e999, "body": ""}',
        r'{"key": "k1", "mac": "00", "body": "\ud800"}',
        '[]',
    ],
    ids=lambda payload: payload[:20],
)
def test_odd_copy_is_refused(payload):
    """Guards against a peer whose odd copy hides those of the others."""
    with pytest.raises(ProtocolError):
        parse_copy(payload.encode(), KEYS)
