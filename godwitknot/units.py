"""Parsers for durations, sizes, shares and addresses in settings."""

import re
import types

import attrs

_NUMBER = re.compile(r'^\s*(\d+(?:\.\d+)?)\s*([A-Za-z/%]*)\s*$')
KIB = 1024
MIB = KIB * KIB
GIB = KIB * MIB
_SECONDS_PER_UNIT = types.MappingProxyType(
    {'ms': 0.001, 's': 1, 'm': 60, 'min': 60, 'h': 3600},
)
_BYTES_PER_UNIT = types.MappingProxyType(
    {'': 1, 'B': 1, 'KiB': KIB, 'MiB': MIB, 'GiB': GIB},
)
# Visible ASCII characters, then the port.
_ADDRESS = re.compile('([!-~]+):([0-9]{1,5})')
# A tab may stand within the text of a header field.
_CONTROL = re.compile('[\x00-\x08\x0a-\x1f\x7f]')
# Up to 18 digits fit into 64 bits.
_COUNT = re.compile('[0-9]{1,18}')
# Port 0 asks the system to choose one, so no peer can be reached there.
PORTS = range(1, 65536)  # noqa: WPS432
# Milliseconds since 1970, until the year 2286.
UNIX_MS = range(10**13)  # noqa: WPS432
_HEADER_CHARSET = 'latin-1'


def _split_number(text: str) -> tuple[float, str]:
    match = _NUMBER.match(text)
    if match is None:
        raise ValueError(text)
    return float(match.group(1)), match.group(2)


def parse_duration(text: str) -> float:
    """Parse a duration such as ``250ms``, ``5s`` or ``1h``.

    :returns: seconds.
    :raises ValueError: if the text is not a duration.
    """
    number, unit = _split_number(text)
    if unit not in _SECONDS_PER_UNIT:
        raise ValueError(text)
    return number * _SECONDS_PER_UNIT[unit]


def parse_size(text: str) -> int:
    """Parse a size such as ``64KiB``.

    :returns: bytes.
    :raises ValueError: if the text is not a size.
    """
    number, unit = _split_number(text)
    if unit not in _BYTES_PER_UNIT:
        raise ValueError(text)
    return int(number * _BYTES_PER_UNIT[unit])


def parse_share(text: str) -> float:
    """Parse a share such as ``99.9%``.

    :returns: a number from 0 to 1.
    :raises ValueError: if the text is not a percentage from 0 to 100.
    """
    number, unit = _split_number(text)
    if unit != '%' or number > 100:
        raise ValueError(text)
    return number / 100


def parse_flag(text: str) -> bool:
    """Parse ``yes`` or ``no``.

    :raises ValueError: for any other text.
    """
    if text not in {'yes', 'no'}:
        raise ValueError(text)
    return text == 'yes'


@attrs.frozen(order=True, cache_hash=True)
class Address:
    """An IP address and port.

    :param host: IP address.
    :param port: TCP or UDP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'

    @property
    def pair(self) -> tuple[str, int]:
        """Host and port as the socket module expects them."""
        return (self.host, self.port)


def parse_count(text: str) -> int:
    """Parse a number of ASCII digits.

    :raises ValueError: for any other text, or more than 18 digits.
    """
    if _COUNT.fullmatch(text) is None:
        raise ValueError(text)
    return int(text)


def is_header_text(text: str) -> bool:
    """Return whether a text can be sent in a header field."""
    if text.isascii() and text.isprintable():
        return True
    encoded = text.encode(_HEADER_CHARSET, 'ignore')
    return len(encoded) == len(text) and not _CONTROL.search(text)


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    :raises ValueError: if the port is missing or out of range, or the host
        has characters that no address has.
    """
    match = _ADDRESS.fullmatch(text.strip())
    if match is None or int(match.group(2)) not in PORTS:
        raise ValueError(text)
    return Address(match.group(1), int(match.group(2)))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse addresses separated by commas; an empty string has none.

    :raises ValueError: if one of them is not an address.
    """
    parts = [part for part in text.split(',') if part.strip()]
    return tuple(parse_address(part) for part in parts)
