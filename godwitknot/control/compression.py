"""Compression of message bodies.

A record of 16 servers shrinks from about 1,020 to 330 bytes, because names
and services repeat; a short message does not shrink.
"""

import zlib

from godwitknot.errors import ProtocolError

_MIN_BYTES = 160
# Unpacked size of the largest message.
_MAX_BYTES = 131072


def compress(body: bytes) -> bytes | None:
    """Compress a body.

    :returns: ``None`` if it would not become smaller.
    """
    if len(body) < _MIN_BYTES:
        return None
    compressed = zlib.compress(body)
    return compressed if len(compressed) < len(body) else None


def decompress(compressed: bytes) -> bytes:
    """Undo :func:`compress` with bounded memory.

    :raises ProtocolError: if the bytes are malformed or the body too large.
    """
    reader = zlib.decompressobj()
    try:
        body = reader.decompress(compressed, _MAX_BYTES)
    except zlib.error as error:
        raise ProtocolError('malformed compressed body') from error
    if not reader.eof or reader.unused_data:
        raise ProtocolError('compressed body is cut short or too large')
    return body
