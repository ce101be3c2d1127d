"""Codec between control messages and packed Cap'n Proto."""

import pathlib
import struct
import sys
import types
import typing

import attrs
import capnp
import cattrs
from cattrs.gen import (
    make_dict_structure_fn,
    make_dict_unstructure_fn,
    override,
)

from godwitknot import units
from godwitknot.control import messages, records
from godwitknot.control.packedcheck import check_packed
from godwitknot.errors import ProtocolError

_SCHEMA_FILE = 'control.capnp'
# Exceeds the content of any valid datagram. Without the limit, a short message
# with lists of empty structures would take seconds to decode.
_MAX_TRAVERSAL_WORDS = 32768
_MAX_NESTING = 16
_NAME_LENGTH = struct.Struct('>I')
_COUNTERS = struct.Struct('>QQ?')
_STRUCTURES = (
    units.Address,
    records.ServerRecord,
    records.NodeRecord,
    messages.Unreachable,
    messages.CrashReport,
    messages.Clearance,
    messages.RecordChange,
    messages.VersionEntry,
    messages.ServerSummary,
)
_DECODE_ERRORS = (
    capnp.KjException,
    cattrs.BaseValidationError,
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
)


def _load_schema() -> typing.Any:
    capnp.remove_import_hook()
    path = pathlib.Path(__file__).with_name(_SCHEMA_FILE)
    return capnp.load(str(path))


def _to_camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(word.title() for word in rest)


def _kind_of(message_type: type) -> str:
    name = message_type.__name__
    return name[0].lower() + name[1:]


_SCHEMA = _load_schema()
_KINDS = types.MappingProxyType(
    {_kind_of(each): each for each in typing.get_args(messages.Message)},
)


def _is_text(field_type: typing.Any) -> bool:
    return field_type is str


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        unstruct_collection_overrides={tuple: list},
        detailed_validation=False,
    )
    # Names and services repeat in thousands of records, so they are interned.
    # The predicate excludes enumerations, which are subclasses of ``str``.
    converter.register_structure_hook_func(
        _is_text, lambda text, _: sys.intern(str(text))
    )
    for record_type in (*_STRUCTURES, *_KINDS.values()):
        renames = {
            field.name: override(rename=_to_camel(field.name))
            for field in attrs.fields(record_type)
        }
        converter.register_structure_hook(
            record_type,
            make_dict_structure_fn(record_type, converter, **renames),
        )
        converter.register_unstructure_hook(
            record_type,
            make_dict_unstructure_fn(record_type, converter, **renames),
        )
    return converter


_CONVERTER = _build_converter()


def _length_prefixed(name: str) -> bytes:
    # Without the length, two different pairs of names could give the same
    # bytes and so the same MAC.
    encoded = name.encode()
    return _NAME_LENGTH.pack(len(encoded)) + encoded


@attrs.frozen
class Envelope:
    """A signed message body.

    :param sender: node id.
    :param incarnation: of the sender's process.
    :param sequence: number of the datagram within this incarnation, from 1.
    :param key_id: id of the fleet key that signs.
    :param mac: MAC of :meth:`signed`, 16 bytes.
    :param body: an encoded message.
    :param compressed: whether the body is in zlib format.
    """

    sender: str
    incarnation: int
    sequence: int
    key_id: str
    body: bytes
    mac: bytes = b''
    compressed: bool = False

    def signed(self) -> bytes:
        """Return the bytes that the MAC covers."""
        names = b''.join(
            _length_prefixed(name) for name in (self.sender, self.key_id)
        )
        return names + _COUNTERS.pack(*self.counters) + self.body

    def with_mac(self, mac: bytes) -> 'Envelope':
        """Return a copy of the envelope with a MAC."""
        return attrs.evolve(self, mac=mac)

    @property
    def counters(self) -> tuple[int, int, bool]:
        """Incarnation, sequence and compression flag."""
        return (self.incarnation, self.sequence, self.compressed)


def kind_of(message: messages.Message) -> str:
    """Return the kind of a message, as named in the schema's union."""
    return _kind_of(type(message))


def encode(message: messages.Message) -> bytes:
    """Encode a message body.

    :raises ProtocolError: if a value does not fit its field.
    """
    try:
        fields = _CONVERTER.unstructure(message)
        body = _SCHEMA.Body.new_message(**{kind_of(message): fields})
        return body.to_bytes_packed()
    except _DECODE_ERRORS as error:
        raise ProtocolError('message cannot be encoded') from error


def decode(packed: bytes) -> messages.Message:
    """Decode a message body.

    :raises ProtocolError: if the bytes are not a valid message.
    """
    body = _read(_SCHEMA.Body, packed)
    try:
        kind, fields = body.popitem()
        return _CONVERTER.structure(fields, _KINDS[kind])
    except _DECODE_ERRORS as error:
        raise ProtocolError('malformed message') from error


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope.

    :raises ProtocolError: if a value does not fit its field.
    """
    try:
        return _SCHEMA.Envelope.new_message(
            sender=envelope.sender,
            incarnation=envelope.incarnation,
            sequence=envelope.sequence,
            keyId=envelope.key_id,
            mac=envelope.mac,
            body=envelope.body,
            compressed=envelope.compressed,
        ).to_bytes_packed()
    except _DECODE_ERRORS as error:
        raise ProtocolError('envelope cannot be encoded') from error


def decode_envelope(packed: bytes) -> Envelope:
    """Decode an envelope without verifying its MAC.

    :raises ProtocolError: if the bytes are not a valid envelope.
    """
    fields = _read(_SCHEMA.Envelope, packed)
    return Envelope(
        sender=fields.get('sender', ''),
        incarnation=fields['incarnation'],
        sequence=fields['sequence'],
        key_id=fields.get('keyId', ''),
        body=fields.get('body', b''),
        mac=fields.get('mac', b''),
        compressed=fields['compressed'],
    )


def _read(schema: typing.Any, packed: bytes) -> dict[str, typing.Any]:
    check_packed(packed)
    try:
        return schema.from_bytes_packed(
            packed,
            traversal_limit_in_words=_MAX_TRAVERSAL_WORDS,
            nesting_limit=_MAX_NESTING,
        ).to_dict()
    except _DECODE_ERRORS as error:
        raise ProtocolError('malformed message') from error
