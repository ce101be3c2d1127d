import pytest

from godwitknot.declarations.settings import parse_settings
from godwitknot.errors import SettingsError

VALID = """
[node]
id = reykjanes-a-1
region = reykjanes
failure-domain = reykjanes-a
ingress = 127.0.0.1:8100
peer = 127.0.0.1:8101
operator = 127.0.0.1:8102
operator-token = 0123456789abcdef0123
seeds = 127.0.0.1:8201, 127.0.0.1:8301

[store]
tables = 127.0.0.1:9000
objects = 127.0.0.1:9001

[keys]
current = k2
k1 = 00112233445566778899aabbccddeeff
k2 = ffeeddccbbaa99887766554433221100

[server booking-1]
service = booking
address = 127.0.0.1:9101
"""


def test_valid_settings_are_read():
    settings = parse_settings(VALID)
    assert settings.node.seeds[1].port == 8301
    assert settings.servers[0].slots == 4
    assert settings.current_key == 'k2'


def test_every_fault_is_reported_at_once():
    """Guards against a node that reports one fault per start."""
    broken = (
        VALID.replace('id = reykjanes-a-1', 'id = a b')
        .replace('peer = 127.0.0.1:8101', 'peer = here')
        .replace('current = k2', 'current = k9')
        .replace('service = booking', 'servce = booking')
    )
    with pytest.raises(SettingsError) as caught:
        parse_settings(broken)
    found = {
        (problem.section, problem.key) for problem in caught.value.problems
    }
    assert found == {
        ('node', 'id'),
        ('node', 'peer'),
        ('keys', 'current'),
        ('server booking-1', 'service'),
        ('server booking-1', 'servce'),
    }


def test_secrets_do_not_appear_in_messages_or_repr():
    """Guards against leaking keys and tokens into logs and error messages."""
    short = VALID.replace('0123456789abcdef0123', 'tiny-secret')
    short = short.replace('ffeeddccbbaa99887766554433221100', 'beefbeef')
    with pytest.raises(SettingsError) as caught:
        parse_settings(short)
    assert 'tiny-secret' not in str(caught.value)
    assert 'beefbeef' not in str(caught.value)
    assert '0123456789abcdef' not in repr(parse_settings(VALID))
