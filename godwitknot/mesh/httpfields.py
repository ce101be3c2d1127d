"""Header fields of HTTP messages, as h11 has them."""

import typing

from godwitknot.mesh.model import Fields

CHARSET = 'latin-1'
_CONNECTION_FIELDS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    ),
)


def strip_connection(fields: Fields) -> Fields:
    """Remove the fields that apply to a single connection only."""
    named = {
        token.strip().lower()
        for name, text in fields
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = _CONNECTION_FIELDS | named
    return [pair for pair in fields if pair[0].lower() not in dropped]


def decode_fields(raw: typing.Any) -> Fields:
    """Return the header fields of an event of h11."""
    return [
        (name.decode(CHARSET), text.decode(CHARSET))
        for name, text in raw.raw_items()
    ]


def encode_fields(fields: Fields) -> list[tuple[bytes, bytes]]:
    """Return header fields as h11 takes them."""
    return [
        (name.encode(CHARSET), text.encode(CHARSET)) for name, text in fields
    ]


def find_body_size(fields: Fields) -> int:
    """Return the size of a body that its header states, else 0."""
    for name, text in fields:
        if name.lower() == 'content-length' and text.isdecimal():
            return int(text)
    return 0
