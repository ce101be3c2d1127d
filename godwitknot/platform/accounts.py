"""Decoder of the client accounts in the operator's configuration."""

import json
import re
from collections.abc import Mapping

from godwitknot.accounts.clientaccount import ClientAccount
from godwitknot.accounts.keyring import compute_digest
from godwitknot.errors import PlatformFormatError
from godwitknot.platform import names
from godwitknot.platform.fieldchecks import (
    PRIORITY,
    Limits,
    check_table,
    check_text,
    read_integer,
    read_number,
)
from godwitknot.units import is_header_text

# SHA-256 in hexadecimal digits.
_DIGEST = re.compile('[0-9a-f]{64}')
# Characters; a longer key leaves little of the header to other fields.
_MAX_KEY_LENGTH = 4096
# Requests per second, and additional requests at once; 0 is no limit.
_RATE = Limits(0, 10**9)
_MAX_LOGGED_NAME = 40


def decode_accounts(fields: Mapping) -> dict[str, ClientAccount] | None:
    """Decode the client accounts by name.

    :param fields: the parsed configuration.
    :returns: ``None`` without the table of accounts. An account without keys
        is valid: the operator has revoked all of them.
    :raises PlatformFormatError: if an entry is malformed, or two have the same
        key; the error names account and field, but no key.
    """
    if fields.get(names.ACCOUNT_TABLE) is None:
        return None
    table = check_table(fields[names.ACCOUNT_TABLE], names.ACCOUNT_TABLE)
    accounts: dict[str, ClientAccount] = {}
    owners: dict[bytes, str] = {}
    for name, entry in table.items():
        check_text(name, names.ACCOUNT_TABLE)
        shortened = name[:_MAX_LOGGED_NAME]
        try:
            accounts[name] = _decode_account(name, entry, owners)
        except PlatformFormatError as error:
            raise PlatformFormatError(
                f'{names.ACCOUNT_TABLE} {shortened!r}: {error}'
            ) from error
    return accounts


def replace_keys(
    fields: Mapping, accounts: Mapping[str, ClientAccount]
) -> bytes:
    """Encode a configuration with the digests of its keys in their place.

    :param fields: the parsed configuration.
    :param accounts: as decoded from it.
    """
    table = {}
    for name, account in accounts.items():
        kept = dict(fields[names.ACCOUNT_TABLE][name])
        kept.pop(names.ACCOUNT_KEYS, None)
        kept[names.ACCOUNT_KEY_DIGESTS] = sorted(
            digest.hex() for digest in account.key_digests
        )
        table[name] = kept
    document = {**fields, names.ACCOUNT_TABLE: table}
    return json.dumps(document, separators=(',', ':')).encode()


def _decode_account(
    name: str, entry: object, owners: dict[bytes, str]
) -> ClientAccount:
    fields = {
        key: each
        for key, each in check_table(entry, 'entry').items()
        if each is not None
    }
    digests = [compute_digest(key) for key in _read_keys(fields)]
    digests += _read_digests(fields)
    for digest in digests:
        owner = owners.setdefault(digest, name)
        if owner != name:
            raise PlatformFormatError(
                f'{names.ACCOUNT_KEYS}: a key of '
                f'{owner[:_MAX_LOGGED_NAME]!r}, too'
            )
    if len(set(digests)) < len(digests):
        raise PlatformFormatError(f'{names.ACCOUNT_KEYS}: a duplicate key')
    priority = None
    if 'priority' in fields:
        priority = read_integer(fields, 'priority', PRIORITY)
    return ClientAccount(
        name=name,
        key_digests=frozenset(digests),
        priority=priority,
        rate=read_number(fields, names.ACCOUNT_RATE, _RATE, 0),
        burst=read_number(fields, 'burst', _RATE, 0),
    )


def _read_keys(fields: Mapping) -> list[str]:
    keys = _read_list(fields, names.ACCOUNT_KEYS)
    for key in keys:
        if not _is_key(key):
            raise PlatformFormatError(
                f'{names.ACCOUNT_KEYS}: not a key that a header field can hold'
            )
    return keys


def _is_key(key: object) -> bool:
    if not isinstance(key, str) or not key or key != key.strip():
        return False
    return len(key) <= _MAX_KEY_LENGTH and is_header_text(key)


def _read_digests(fields: Mapping) -> list[bytes]:
    digests = _read_list(fields, names.ACCOUNT_KEY_DIGESTS)
    for digest in digests:
        if not isinstance(digest, str) or not _DIGEST.fullmatch(digest):
            raise PlatformFormatError(
                f'{names.ACCOUNT_KEY_DIGESTS}: not a digest'
            )
    return [bytes.fromhex(digest) for digest in digests]


def _read_list(fields: Mapping, name: str) -> list:
    entries = fields.get(name, [])
    if not isinstance(entries, list):
        raise PlatformFormatError(f'{name}: not a list')
    return entries
