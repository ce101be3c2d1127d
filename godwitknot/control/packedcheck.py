"""Validation of packed Cap'n Proto before the library reads it.

The library's reader of packed messages terminates the process if a message
is shorter than its segment table says. So the length is validated first.
"""

from godwitknot.errors import ProtocolError

# Unpacked size of the largest message, in words of 8 bytes.
_MAX_WORDS = 16384
_BYTES_PER_WORD = 8
_ZERO_WORDS_TAG = 0
_LITERAL_WORDS_TAG = 255
_SEGMENT_COUNT_TAG_BITS = 0x0F
# Tag bits of the four bytes that contain the size of the first segment.
_SIZE_TAG_BITS = (16, 32, 64, 128)


def check_packed(packed: bytes) -> None:
    """Check that a packed message has one segment and is complete.

    :raises ProtocolError: if the message is malformed or truncated.
    """
    if len(packed) < 2:
        raise ProtocolError('message too short')
    expected_words = _read_segment_words(packed) + 1
    position = 0
    words = 0
    while position < len(packed):
        tag = packed[position]
        position += 1 + tag.bit_count()
        words += 1
        if tag not in {_ZERO_WORDS_TAG, _LITERAL_WORDS_TAG}:
            continue
        if position >= len(packed):
            raise ProtocolError('message ends within a run of words')
        run_words = packed[position]
        words += run_words
        position += 1
        position += run_words * _BYTES_PER_WORD if tag else 0
    if position != len(packed) or words != expected_words:
        raise ProtocolError('message length does not match its segment table')


def _read_segment_words(packed: bytes) -> int:
    """Return the size of the only segment, from the first packed word."""
    tag = packed[0]
    if tag & _SEGMENT_COUNT_TAG_BITS or tag == _ZERO_WORDS_TAG:
        raise ProtocolError('message does not have exactly one segment')
    if len(packed) < 1 + tag.bit_count():
        raise ProtocolError('message too short')
    nonzero_bytes = iter(packed[1:])
    digits = [next(nonzero_bytes) if tag & bit else 0 for bit in _SIZE_TAG_BITS]
    size = int.from_bytes(digits, 'little')
    if size >= _MAX_WORDS:
        raise ProtocolError('message too large')
    return size
