"""Compression of the frames of one connection.

Frames of a connection repeat the same names, so each one is compressed with
what came before it.
"""

import zlib

from godwitknot.errors import ProtocolError

# A small window and little memory: a node keeps up to a hundred connections.
_WINDOW_BITS = 12
_MEMORY_LEVEL = 5
_LEVEL = 1


class FrameCompressor:
    """Compresses the frames that are sent on a connection."""

    def __init__(self) -> None:
        """Start without context."""
        self._stream = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL
        )

    def compress(self, frame: bytes) -> bytes:
        """Compress the next frame."""
        compressed = self._stream.compress(frame)
        return compressed + self._stream.flush(zlib.Z_SYNC_FLUSH)


class FrameDecompressor:
    """Decompresses the frames that are received on a connection."""

    def __init__(self, max_bytes: int) -> None:
        """Start without context.

        :param max_bytes: size of the largest frame before compression.
        """
        self._stream = zlib.decompressobj(-_WINDOW_BITS)
        self._max_bytes = max_bytes

    def decompress(self, compressed: bytes) -> bytes:
        """Decompress the next frame.

        :raises ProtocolError: if it is malformed or too large.
        """
        try:
            frame = self._stream.decompress(compressed, self._max_bytes)
        except zlib.error as error:
            raise ProtocolError('malformed compressed frame') from error
        if self._stream.unconsumed_tail or self._stream.eof:
            raise ProtocolError('compressed frame is too large or ends early')
        return frame
