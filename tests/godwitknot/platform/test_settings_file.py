"""Decoding of the platform's settings file ignores unknown fields."""

import pytest
import yaml

from godwitknot.errors import PlatformFormatError
from godwitknot.platform.settings import read_placement
from godwitknot.units import Address

FIELDS = {
    'node_id': 'side-1',
    'ip': '10.0.0.1',
    'zone': 'z1',
    'region': 'r1',
    'listen': {
        'outbound': '10.0.0.1:1',
        'inbound': '10.0.0.1:2',
        'ready': '10.0.0.1:3',
        'control': '10.0.0.1:4',
    },
    'bounds': [
        'grace_s=6',
        'retry_budget_ratio=0.2',
        'budget_window_s=10',
        'budget_slack=64',
        'a_new_bound=true',
    ],
    'app_addr': '10.0.0.1:5',
    'service': 'booking',
    'platform': {'address': '10.200.0.1:6'},
    'a_new_field': [1, 2],
}


def test_addresses_get_names_that_say_what_they_hold():
    placement = read_placement(yaml.safe_dump(FIELDS))
    assert placement.ingress == Address('10.0.0.1', 1)
    assert placement.relay == Address('10.0.0.1', 2)
    assert placement.announcements == Address('10.0.0.1', 4)
    assert placement.server == Address('10.0.0.1', 5)
    assert placement.bounds.retry_slack == 64


@pytest.mark.parametrize('text', ['', '[1]', 'a: [', 'node_id: x', 'bounds: 3'])
def test_damaged_settings_have_an_error_of_their_own(text):
    with pytest.raises(PlatformFormatError):
        read_placement(text)
