"""Decoding of the platform's settings file ignores unknown fields."""

import pytest
import yaml

from godwitknot.accounts.quotabounds import QuotaBounds
from godwitknot.errors import PlatformFormatError
from godwitknot.mesh import program
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


def test_bounds_of_quotas_have_defaults():
    placement = read_placement(yaml.safe_dump(FIELDS))
    assert placement.bounds.quota == QuotaBounds(5, 0.1, 20)
    assert not placement.first_start
    bounds = [*FIELDS['bounds'], 'quota_window_s=4', 'quota_slack=8']
    fields = {**FIELDS, 'bounds': bounds, 'first_start': True}
    placement = read_placement(yaml.safe_dump(fields))
    assert placement.bounds.quota == QuotaBounds(4, 0.1, 8)
    assert placement.first_start


def read_bounds(*entries):
    fields = {**FIELDS, 'bounds': [*FIELDS['bounds'], *entries]}
    return read_placement(yaml.safe_dump(fields)).bounds


def test_bounds_of_revocations_are_off_where_they_are_missing():
    """Guards against older deployments that refuse keys or do not start."""
    bounds = read_bounds()
    assert (bounds.revoke_seconds, bounds.strict_revoke) == (None, False)
    bounds = read_bounds('revoke_ms=5000', 'strict_revoke=true')
    assert (bounds.revoke_seconds, bounds.strict_revoke) == (5, True)
    for entry in ('revoke_ms=soon', 'revoke_ms=-1', 'strict_revoke=maybe'):
        with pytest.raises(PlatformFormatError, match=entry.split('=')[0]):
            read_bounds(entry)


def test_link_between_regions_has_no_bound_where_it_is_missing():
    """Guards against requests that cross regions in older deployments."""
    assert not read_bounds().region_link_bytes
    assert read_bounds('region_link_mbps=30').region_link_bytes == 3750000
    for number in ('much', '-1', 'nan'):
        with pytest.raises(PlatformFormatError, match='region_link_mbps'):
            read_bounds(f'region_link_mbps={number}')


@pytest.mark.parametrize('text', ['', '[1]', 'a: [', 'node_id: x', 'bounds: 3'])
def test_damaged_settings_have_an_error_of_their_own(text):
    with pytest.raises(PlatformFormatError):
        read_placement(text)


def make_text(path, odd):
    """Return settings with one value replaced by YAML text."""
    fields = yaml.safe_load(yaml.safe_dump(FIELDS))
    holder = fields
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = 'THE ODD VALUE'
    return yaml.safe_dump(fields).replace('THE ODD VALUE', odd)


@pytest.mark.parametrize(
    'path',
    [
        ('node_id',),
        ('ip',),
        ('zone',),
        ('region',),
        ('service',),
        ('app_addr',),
        ('listen', 'outbound'),
        ('listen', 'inbound'),
        ('listen', 'ready'),
        ('listen', 'control'),
        ('platform', 'address'),
    ],
    ids='.'.join,
)
@pytest.mark.parametrize(
    'odd',
    [
        '[1]',
        '{a: 1}',
        '',
        r'"\uD800"',
        r'"\u20ac:1"',
        r'"a\r\nb:1"',
        '2001-01-01',
    ],
)
def test_odd_text_of_the_settings_is_refused(path, odd):
    """Guards against a reload that ends the task which reads the settings."""
    with pytest.raises(PlatformFormatError):
        read_placement(make_text(path, odd))


@pytest.mark.parametrize('port', ['0', '65536', '-1', '\u0661', '9' * 5000])
@pytest.mark.parametrize('name', ['outbound', 'inbound', 'ready', 'control'])
def test_odd_port_of_a_listener_is_named(name, port):
    text = make_text(('listen', name), f'"10.0.0.1:{port}"')
    with pytest.raises(PlatformFormatError, match=name):
        read_placement(text)


@pytest.mark.parametrize(
    'odd',
    ['.inf', 'nan', '-1', '1e999', 'soon', '', '9' * 5000],
    ids=lambda odd: odd[:9],
)
@pytest.mark.parametrize('index', range(4))
def test_odd_bound_is_named(index, odd):
    """Guards against limits that compare as false or never pass."""
    name = FIELDS['bounds'][index].partition('=')[0]
    with pytest.raises(PlatformFormatError, match=name):
        read_placement(make_text(('bounds', index), f'"{name}={odd}"'))


@pytest.mark.parametrize('odd', ['3', 'true', '[a, b]', 'no value'])
def test_bound_that_is_no_pair_is_ignored(odd):
    """Guards against a new form of bound that keeps a node from starting."""
    placement = read_placement(make_text(('bounds', 4), odd))
    assert placement.bounds.retry_slack == 64


@pytest.mark.parametrize(
    'text',
    [
        '[' * 100000,
        '{a: ' * 900 + '}' * 900,
        'a: &x [*x]',
        '? [a]\n: 1',
        'a: 2001-99-99',
        'a: !!int soon',
        'a: !!float ""',
        'a: !!timestamp x',
        'a: !!binary x',
        'a: !!python/name:os.system',
        f'a: {"9" * 5000}',
        'bounds: [3]',
        'bounds: {a: 1}',
        '\0',
    ],
    ids=lambda text: text[:16],
)
def test_odd_yaml_has_the_error_of_damaged_settings(text):
    """Guards against errors that end the task which reads the settings."""
    with pytest.raises(PlatformFormatError):
        read_placement(text)


def test_bytes_in_another_charset_are_damaged_settings(tmp_path, monkeypatch):
    """Guards against a file cut within a character, which ended the reads."""
    path = tmp_path / 'settings.yaml'
    monkeypatch.setenv('GODWITKNOT_NODE_FILE', str(path))
    path.write_bytes(make_text(('service',), 'caf\u00e9').encode('latin-1'))
    with pytest.raises(PlatformFormatError):
        program._read_placement()


@pytest.mark.parametrize(
    ('limits', 'memory_bytes'),
    [
        ({'memory_mb': 300}, 300000000),
        ({'memory_mb': 'much'}, 0),
        ({'memory_mb': -1}, 0),
        ({}, 0),
        ('none', 0),
    ],
)
def test_unreadable_memory_limit_is_no_limit(limits, memory_bytes):
    """Guards against a node that does not start for want of a limit."""
    placement = read_placement(yaml.safe_dump({**FIELDS, 'limits': limits}))
    assert placement.memory_bytes == memory_bytes
    assert read_placement(yaml.safe_dump(FIELDS)).memory_bytes == 0
