"""Client accounts in declarations."""

import math
import re
from collections.abc import Mapping

import attrs

from godwitknot.declarations.inifile import ini_field
from godwitknot.declarations.settings import parse_priority
from godwitknot.errors import Problem

# SHA-256 in hexadecimal digits.
_DIGEST = re.compile('[0-9a-f]{64}')


def parse_digests(text: str) -> tuple[bytes, ...]:
    """Parse digests of keys, one per line.

    :raises ValueError: if there is none, or a line is not a digest.
    """
    lines = text.split()
    if not lines:
        raise ValueError('no digest')
    return tuple(_parse_digest(line) for line in lines)


def _parse_digest(line: str) -> bytes:
    if _DIGEST.fullmatch(line) is None:
        raise ValueError('not a digest')
    return bytes.fromhex(line)


def parse_limit(text: str) -> float:
    """Parse a number of requests, 0 for no limit.

    :raises ValueError: if the text is not a number, is negative or infinite.
    """
    number = float(text)
    if not math.isfinite(number) or number < 0:
        raise ValueError(text)
    return number


@attrs.frozen
class Account:
    """An ``[account NAME]`` section: a client of the operator.

    :param key_digests: SHA-256 digests of its keys. The text of a declaration
        is kept and passed on, so it must not hold the keys.
    :param priority: ``None`` keeps the priority of the class.
    """

    name: str
    key_digests: tuple[bytes, ...] = ini_field(
        parse_digests,
        'SHA-256 digests of its keys, one a line',
        secret=True,
    )
    priority: int | None = ini_field(
        parse_priority, 'a number from 1 to 9', None
    )
    rate: float = ini_field(parse_limit, 'requests per second, 0 or more', 0)
    burst: float = ini_field(parse_limit, 'a number of requests, 0 or more', 0)


def check_duplicate_keys(
    accounts: Mapping[str, Account | None], problems: list[Problem]
) -> None:
    """Check that no key belongs to two accounts, or to one twice."""
    owners: dict[bytes, str] = {}
    for account in filter(None, accounts.values()):
        for digest in account.key_digests:
            owner = owners.get(digest)
            if owner is not None:
                expected = f'a key not used by account {owner}'
                title = f'account {account.name}'
                problems.append(Problem(title, 'key-digests', expected))
            owners[digest] = account.name
