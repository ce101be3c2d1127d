"""Addresses from settings, rows and announcements are in range."""

import pytest

from godwitknot.units import Address, parse_address, parse_count

ODD_ADDRESSES = (
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:-1',
    '10.0.0.1:+80',
    '10.0.0.1:8_0',
    '10.0.0.1:80.0',
    '10.0.0.1:',
    '10.0.0.1',
    ':80',
    '\u20ac:80',
    'a\r\nb:80',
    'a b:80',
    '10.0.0.1:²',
    '10.0.0.1:٨٠',
    f'10.0.0.1:{"9" * 5000}',
)


@pytest.mark.parametrize('text', ['10.0.0.1:1', ' 10.0.0.1:65535 '])
def test_address_has_a_host_and_a_port(text):
    host, _, port = text.strip().partition(':')
    assert parse_address(text) == Address(host, int(port))


@pytest.mark.parametrize('text', ODD_ADDRESSES, ids=lambda text: text[:20])
def test_port_out_of_range_is_no_address(text):
    """Guards against connections to a port that no socket can have."""
    with pytest.raises(ValueError):
        parse_address(text)


def test_count_has_up_to_18_digits():
    assert parse_count('0') == 0
    assert parse_count('9' * 18) == 10**18 - 1


@pytest.mark.parametrize(
    'text',
    [
        '',
        '-1',
        '+1',
        '1_0',
        ' 1',
        '1.0',
        '\u00b2',
        '\u0661',
        '9' * 19,
        '9' * 5000,
    ],
    ids=lambda text: text[:20],
)
def test_odd_count_is_refused(text):
    """Guards against digits that isdigit accepts and int does not."""
    with pytest.raises(ValueError):
        parse_count(text)
