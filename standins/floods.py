"""Endless responses of a faulty server, to test limits of clients."""

import io
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler

_BLOCK_BYTES = 65536
_HEADER_FIELDS = (
    b'Godwitknot-Attempt-Id: %(attempt)s\r\nGodwitknot-Server-Seal: seal\r\n'
)
_HEAD = b'HTTP/1.1 200 OK\r\n%s' % _HEADER_FIELDS
_CHUNKED_HEAD = b'%sTransfer-Encoding: chunked\r\n\r\n' % _HEAD
_COMPLETE_RESPONSE = b'%sContent-Length: 2\r\n\r\nok' % _HEAD
_OTHER_ATTEMPT_HEAD = b'HTTP/1.1 200 OK\r\nGodwitknot-Attempt-Id: other\r\n'
_LARGE_CHUNK = b'2000\r\n%s\r\n' % (b'x' * 8192)
_EXTENDED_CHUNK = b'1;%s\r\nx\r\n' % (b'x' * 32768)

# By name: the bytes sent once, and the bytes repeated after them until the
# client closes the connection.
FLOODS = {
    'garbage': (b'', b'\x00\xff\xfe no answer'),
    'garbage-lines': (b'', b'no answer\r\n'),
    'header-line': (b'%sX-Filler: ' % _HEAD, b'x'),
    'headers': (_HEAD, b'X-Filler: x\r\n'),
    'short-headers': (_HEAD, b'x:\r\n'),
    'informational': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'body-to-close': (b'%s\r\n' % _HEAD, b'x'),
    'body-of-length': (b'%sContent-Length: 999999999999\r\n\r\n' % _HEAD, b'x'),
    'chunks': (_CHUNKED_HEAD, _LARGE_CHUNK),
    'short-chunks': (_CHUNKED_HEAD, b'1\r\nx\r\n'),
    'chunk-line': (b'%s1;' % _CHUNKED_HEAD, b'x'),
    'chunk-extensions': (_CHUNKED_HEAD, _EXTENDED_CHUNK),
    'trailer': (b'%s0\r\n' % _CHUNKED_HEAD, b'X-Filler: x\r\n'),
    'after-answer': (_COMPLETE_RESPONSE, b'more'),
    'other-answers': (
        b'',
        b'%sContent-Length: 2\r\n\r\nno' % _OTHER_ATTEMPT_HEAD,
    ),
}


def generate_flood(name: str, attempt_id: str) -> Iterator[bytes]:
    """Yield the blocks of an endless response.

    :param name: key of :data:`FLOODS`.
    :param attempt_id: value of its attempt id header.
    """
    first, repeated = FLOODS[name]
    if first:
        yield first % {b'attempt': attempt_id.encode()}
    block = repeated * max(1, _BLOCK_BYTES // len(repeated))
    while True:
        yield block


def send_flood(
    handler: BaseHTTPRequestHandler,
    name: str,
    attempt_id: str = '',
) -> None:
    """Send an endless response until the client closes the connection.

    :param name: key of :data:`FLOODS`.
    """
    try:
        for block in generate_flood(name, attempt_id):
            handler.wfile.write(block)
    except OSError:
        # The client has closed the connection. The handler still flushes its
        # output when it ends, which must not fail again.
        handler.wfile = io.BytesIO()
