"""Compression of message bodies and of copies of the configuration.

A record of 16 servers shrinks from about 1,020 to 330 bytes, because names
and services repeat; a short message does not shrink.
"""

import zlib

from godwitknot.errors import ProtocolError

_MIN_BODY_BYTES = 160
# Size of the largest message before compression.
_MAX_BODY_BYTES = 131072


def compress(body: bytes) -> bytes | None:
    """Compress a body.

    :returns: ``None`` if it would not become smaller.
    """
    if len(body) < _MIN_BODY_BYTES:
        return None
    compressed = zlib.compress(body)
    return compressed if len(compressed) < len(body) else None


def decompress(compressed: bytes, max_bytes: int = _MAX_BODY_BYTES) -> bytes:
    """Decompress a body with bounded memory.

    :param max_bytes: size of the largest body before compression.
    :raises ProtocolError: if the bytes are malformed or truncated, or if
        the body is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, max_bytes)
    except zlib.error as error:
        raise ProtocolError('malformed compressed body') from error
    if not decompressor.eof or decompressor.unused_data:
        raise ProtocolError('compressed body is truncated or too large')
    return body
