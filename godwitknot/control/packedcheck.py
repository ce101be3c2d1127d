"""Check of packed Cap'n Proto before the library reads it.

The library's reader of packed messages ends the process when a message
stops before the length that its segment table states. So the length is
checked first.
"""

from godwitknot.errors import ProtocolError

# Unpacked size of the largest message, in words of 8 bytes.
_MAX_WORDS = 16384
_WORD_BYTES = 8
_ALL_ZERO = 0
_ALL_SET = 255
_SEGMENT_COUNT_TAGS = 0x0F
# Tag bits of the four bytes that hold the size of the first segment.
_SIZE_TAGS = (16, 32, 64, 128)


def check_packed(packed: bytes) -> None:
    """Check that a packed message has one segment and is complete.

    :raises ProtocolError: if it is not.
    """
    if len(packed) < 2:
        raise ProtocolError('message too short')
    expected = _read_segment_words(packed) + 1
    position = 0
    words = 0
    while position < len(packed):
        tag = packed[position]
        position += 1 + tag.bit_count()
        words += 1
        if tag not in {_ALL_ZERO, _ALL_SET}:
            continue
        if position >= len(packed):
            raise ProtocolError('message ends within a run')
        run = packed[position]
        words += run
        position += 1
        position += run * _WORD_BYTES if tag else 0
    if position != len(packed) or words != expected:
        raise ProtocolError('message length differs from its header')


def _read_segment_words(packed: bytes) -> int:
    """Read the size of the only segment from the first packed word."""
    tag = packed[0]
    if tag & _SEGMENT_COUNT_TAGS or tag == _ALL_ZERO:
        raise ProtocolError('message has no single segment')
    if len(packed) < 1 + tag.bit_count():
        raise ProtocolError('message too short')
    stored = iter(packed[1:])
    digits = [next(stored) if tag & bit else 0 for bit in _SIZE_TAGS]
    size = int.from_bytes(digits, 'little')
    if size >= _MAX_WORDS:
        raise ProtocolError('message too large')
    return size
