"""Checks of the content of frames; errors name the field."""

import functools
import ipaddress
import math

from godwitknot.errors import ProtocolError
from godwitknot.units import PORTS, Address, is_header_text, parse_address

# Characters; the limit of the texts that the platform's store identifies rows
# by.
_MAX_NAME_LENGTH = 200
# Seconds, up to 11 days: no request or pause lasts longer.
_MAX_SECONDS = 1000000
# A node that does not clean up the rows of replaced instances collects 400,000
# records a year.
MAX_MEMBERS = 400000
# Bucket numbers in one reply; nodes use 32 buckets.
MAX_BUCKETS = 1024
# Crashes in one rumor, and requests in flight at one crash.
MAX_CRASHES = 10000
# Tokens in one request or grant: a node asks for those of a quarter second.
_MAX_TOKENS = 10000
MAX_TOKENS = range(_MAX_TOKENS + 1)
# Results of checks that are remembered: nodes send the same records of each
# other again and again.
_REMEMBERED_CHECKS = 8192


@functools.lru_cache(_REMEMBERED_CHECKS)
def check_name(text: str, name: str) -> str:
    """Return a name unchanged; it may be empty.

    :param name: of the field, for the error.
    :raises ProtocolError: if it cannot be sent in a header field or is too
        long.
    """
    if len(text) > _MAX_NAME_LENGTH or text != text.strip():
        raise ProtocolError(f'{name}: too long or with outer spaces')
    if not is_header_text(text):
        raise ProtocolError(f'{name}: not a name')
    return text


def check_word(text: str, name: str) -> str:
    """Return a part of a request line unchanged.

    :param name: of the field, for the error.
    :raises ProtocolError: if it is empty or has spaces or other characters
        than printable ASCII.
    """
    printable = text.isascii() and text.isprintable()
    if not text or not printable or ' ' in text:
        raise ProtocolError(f'{name}: characters that are not allowed')
    return text


def check_range(number: int, name: str, numbers: range) -> int:
    """Return a number unchanged.

    :param name: of the field, for the error.
    :raises ProtocolError: if it is out of range.
    """
    if number not in numbers:
        raise ProtocolError(f'{name}: out of range')
    return number


def check_seconds(seconds: float, name: str) -> float:
    """Return a duration unchanged; it may be negative.

    :param name: of the field, for the error.
    :raises ProtocolError: if it is not finite or too long.
    """
    if not math.isfinite(seconds) or abs(seconds) > _MAX_SECONDS:
        raise ProtocolError(f'{name}: out of range')
    return seconds


def check_duration(seconds: float, name: str) -> float:
    """Return a duration that must not be negative.

    :param name: of the field, for the error.
    :raises ProtocolError: if it is negative, not finite or too long.
    """
    if check_seconds(seconds, name) < 0:
        raise ProtocolError(f'{name}: out of range')
    return seconds


@functools.lru_cache(_REMEMBERED_CHECKS)
def check_address(address: Address, name: str) -> Address:
    """Return the address of a node unchanged.

    :param name: of the field, for the error.
    :raises ProtocolError: if the host is not an IP address of one machine, or
        the port is out of range.
    """
    try:
        host = ipaddress.ip_address(address.host)
    except ValueError as error:
        raise ProtocolError(f'{name}: not an IP address') from error
    if host.is_unspecified or host.is_multicast:
        raise ProtocolError(f'{name}: not an address of one machine')
    check_range(address.port, name, PORTS)
    return address


def parse_node_address(text: str, name: str) -> Address:
    """Parse the address of a node.

    :param name: of the field, for the error.
    :raises ProtocolError: if it is not one.
    """
    try:
        address = parse_address(text)
    except ValueError as error:
        raise ProtocolError(f'{name}: not an address') from error
    return check_address(address, name)


def check_length(size: int, name: str, largest: int) -> None:
    """Check the number of entries of a list before it is read.

    :param name: of the field, for the error.
    :raises ProtocolError: if there are more than ``largest``.
    """
    if size > largest:
        raise ProtocolError(f'{name}: too many entries')
