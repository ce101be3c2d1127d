"""Responses of a server that stops and closes the connection."""

import pytest

WHOLE = b'HTTP/1.1 200 OK\r\nServer: s1\r\nContent-Length: 5\r\n\r\nwhole'
_HINT = b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n'
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'05\r\nwhole\r\n00\r\nX-Sum: 1\r\n\r\n'
)

# Prefixes of each response, so that it ends within the status line, the header
# fields, a chunk line, the body or the trailers.
CUT_RESPONSES = [
    pytest.param(response[:size], id=f'{name}-{size}')
    for name, response in (
        ('length', WHOLE),
        ('chunks', _CHUNKED),
        ('informational', _HINT + WHOLE),
    )
    for size in range(1, len(response))
]
