"""Versions of the configuration, the head row and the copies for peers."""

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

# A retry of an apply gets a conflict instead of its earlier acceptance after
# this many other changes; it is still not applied twice.
_MAX_CHANGES = 16
_PARSE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    RecursionError,
    cattrs.BaseValidationError,
)
_CONVERTER = cattrs.Converter()


@attrs.frozen
class Change:
    """One accepted change of the configuration.

    :param version: version of the head row that the change wrote.
    :param digest: SHA-256 of the declaration text, hexadecimal.
    :param apply_id: idempotency key of the apply.
    :param author: operator who applied it.
    :param time: seconds since the epoch.
    :param previous: digest of the previous version, empty for the first.
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

    :param changes: most recent accepted changes, newest first.
    """

    changes: tuple[Change, ...] = ()

    @property
    def version(self) -> int:
        """Version in force, 0 before the first change."""
        return self.changes[0].version if self.changes else ABSENT

    def find_apply(self, apply_id: str) -> Change | None:
        """Find the change that was committed under an apply id."""
        for change in self.changes:
            if change.apply_id == apply_id:
                return change
        return None

    def find_version(self, version: int) -> Change | None:
        """Find the change that created a version."""
        for change in self.changes:
            if change.version == version:
                return change
        return None

    def extend(self, change: Change) -> 'Head':
        """Return a head with one more change."""
        return Head((change, *self.changes)[:_MAX_CHANGES])


@attrs.frozen
class Configuration:
    """A verified declaration together with its head."""

    head: Head
    declaration: Declaration

    @property
    def version(self) -> int:
        """Version of this configuration."""
        return self.head.version

    @property
    def change(self) -> Change:
        """The change that created this configuration."""
        return self.head.changes[0]


@attrs.frozen
class PeerCopy:
    """Unverified configuration in the form that peers exchange."""

    head: Head
    text: str


def serialize_head(head: Head) -> dict[str, Any]:
    """Return the columns of the head row."""
    return _CONVERTER.unstructure(head)


def parse_head(columns: dict[str, Any]) -> Head:
    """Build a head from the columns of the head row.

    :raises CorruptObjectError: if the columns are malformed.
    """
    try:
        return _CONVERTER.structure(columns, Head)
    except cattrs.BaseValidationError as error:
        raise CorruptObjectError('the head row is malformed') from error


def serialize_copy(copy: PeerCopy, keys: FleetKeys) -> bytes:
    """Serialize a copy as JSON with a MAC of the current fleet key."""
    body = json.dumps(_CONVERTER.unstructure(copy))
    mac = keys.sign(body.encode()).hex()
    envelope = {'key': keys.current, 'mac': mac, 'body': body}
    return json.dumps(envelope).encode()


def parse_copy(payload: bytes, keys: FleetKeys) -> Configuration:
    """Parse and verify the result of :func:`serialize_copy` of a peer.

    :raises ProtocolError: if the payload is malformed or its MAC is invalid.
    :raises CorruptObjectError: if the text does not match its digest.
    """
    try:
        copy = _verify_envelope(json.loads(payload), keys)
    except VerificationError:
        raise
    except _PARSE_ERRORS as error:
        raise ProtocolError('malformed configuration from a peer') from error
    return check_copy(copy)


def _verify_envelope(envelope: dict[str, str], keys: FleetKeys) -> PeerCopy:
    mac = bytes.fromhex(envelope['mac'])
    body = str(envelope['body']).encode()
    keys.verify(envelope['key'], body, mac)
    return _CONVERTER.structure(json.loads(body), PeerCopy)


def check_copy(copy: PeerCopy) -> Configuration:
    """Verify the text against the digest in the head and parse it.

    :raises CorruptObjectError: if the text does not match the digest or is
        not a valid declaration.
    """
    if not copy.head.changes:
        raise CorruptObjectError('the configuration has no version')
    digest = hashlib.sha256(copy.text.encode()).hexdigest()
    if digest != copy.head.changes[0].digest:
        raise CorruptObjectError(
            'the declaration text does not match its digest'
        )
    try:
        declaration = parse_declaration(copy.text)
    except DeclarationError as error:
        raise CorruptObjectError(
            'the text is not a valid declaration'
        ) from error
    return Configuration(copy.head, declaration)
