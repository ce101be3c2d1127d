"""Heads of the configuration and the copies that peers exchange."""

import hashlib
import json
from typing import Any

import attrs
import cattrs

from godwitknot.declarations.declaration import Declaration, parse_declaration
from godwitknot.errors import (
    CorruptObjectError,
    DeclarationError,
    ProtocolError,
    VerificationError,
)
from godwitknot.keys import FleetKeys
from godwitknot.storage.store import ABSENT

# An apply that is retried after more than this many other changes gets a
# conflict instead of its earlier acceptance; it is still not applied twice.
_CHANGES_KEPT = 16
_CONVERTER = cattrs.Converter()


@attrs.frozen
class Change:
    """One accepted change of the configuration.

    :param version: equals the version of the head row.
    :param digest: SHA-256 of the text, hexadecimal.
    :param time: seconds since the epoch.
    :param previous: digest of the version before, empty for the first.
    """

    version: int
    digest: str
    apply_id: str
    author: str
    time: float
    previous: str


@attrs.frozen
class Head:
    """Content of the head row.

    :param changes: accepted changes, the latest first.
    """

    changes: tuple[Change, ...] = ()

    @property
    def version(self) -> int:
        """Version in force, 0 before the first change."""
        return self.changes[0].version if self.changes else ABSENT

    def find_apply(self, apply_id: str) -> Change | None:
        """Find the change that an apply id made."""
        for change in self.changes:
            if change.apply_id == apply_id:
                return change
        return None

    def find_version(self, version: int) -> Change | None:
        """Find a change by the version that it made."""
        for change in self.changes:
            if change.version == version:
                return change
        return None

    def extend(self, change: Change) -> 'Head':
        """Give a head with one more change."""
        return Head((change, *self.changes)[:_CHANGES_KEPT])


@attrs.frozen
class Configuration:
    """A checked declaration together with its head."""

    head: Head
    declaration: Declaration

    @property
    def version(self) -> int:
        """Version of this configuration."""
        return self.head.version

    @property
    def change(self) -> Change:
        """The change that brought this configuration into force."""
        return self.head.changes[0]


@attrs.frozen
class PeerCopy:
    """A configuration as peers exchange it."""

    head: Head
    text: str


def serialize_head(head: Head) -> dict[str, Any]:
    """Give the columns of the head row."""
    return _CONVERTER.unstructure(head)


def parse_head(columns: dict[str, Any]) -> Head:
    """Read the columns of the head row.

    :raises CorruptObjectError: if they are malformed.
    """
    try:
        return _CONVERTER.structure(columns, Head)
    except cattrs.BaseValidationError as error:
        raise CorruptObjectError('the head row is malformed') from error


def serialize_copy(copy: PeerCopy, keys: FleetKeys) -> bytes:
    """Serialize a copy with a MAC."""
    body = json.dumps(_CONVERTER.unstructure(copy))
    mac = keys.sign(body.encode()).hex()
    envelope = {'key': keys.current, 'mac': mac, 'body': body}
    return json.dumps(envelope).encode()


def parse_copy(payload: bytes, keys: FleetKeys) -> Configuration:
    """Read and check what :func:`serialize_copy` gave at a peer.

    :raises ProtocolError: if it is malformed or does not verify.
    :raises CorruptObjectError: if the text does not match its digest.
    """
    try:
        copy = _open_envelope(json.loads(payload), keys)
    except VerificationError:
        raise
    except (ValueError, LookupError, TypeError) as error:
        raise ProtocolError('malformed configuration of a peer') from error
    except cattrs.BaseValidationError as error:
        raise ProtocolError('malformed configuration of a peer') from error
    return check_copy(copy)


def _open_envelope(envelope: dict[str, str], keys: FleetKeys) -> PeerCopy:
    mac = bytes.fromhex(envelope['mac'])
    body = str(envelope['body']).encode()
    keys.verify(envelope['key'], body, mac)
    return _CONVERTER.structure(json.loads(body), PeerCopy)


def check_copy(copy: PeerCopy) -> Configuration:
    """Check the text against the digest of the head.

    :raises CorruptObjectError: if it does not match or is no declaration.
    """
    if not copy.head.changes:
        raise CorruptObjectError('the copy has no version')
    digest = hashlib.sha256(copy.text.encode()).hexdigest()
    if digest != copy.head.changes[0].digest:
        raise CorruptObjectError('the text does not match its digest')
    try:
        declaration = parse_declaration(copy.text)
    except DeclarationError as error:
        raise CorruptObjectError('the text is no declaration') from error
    return Configuration(copy.head, declaration)
