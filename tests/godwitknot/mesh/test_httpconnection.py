"""Bodies of requests are read in parts, whatever chunks callers send."""

import asyncio

import pytest

from godwitknot.memory.ledger import Ledger
from godwitknot.mesh.httpconnection import ServerConnection

HEAD = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
BODY_BYTES = 270000
SHORT_CHUNK = b'1\r\nx\r\n'


class ScriptedChannel:
    """Receives given packets."""

    def __init__(self, *packets):
        self.packets = list(packets)

    async def receive(self):
        return self.packets.pop(0)


async def read_parts(*packets):
    channel = ScriptedChannel(*packets)
    connection = ServerConnection(channel, 16384, Ledger(10**9).callers)
    request = await connection.read(BODY_BYTES, 1)
    parts = []
    while part := await request.stream.read():
        parts.append(part)
    return parts


@pytest.mark.parametrize('split_at', [1, 2, 4])
def test_short_chunks_are_joined(split_at):
    """Guards against a frame to another node for each byte of a body."""
    chunks = SHORT_CHUNK * BODY_BYTES
    packets = (
        b'%b%b' % (HEAD, chunks[:split_at]),
        chunks[split_at:],
        b'0\r\n\r\n',
    )
    parts = asyncio.run(read_parts(*packets))
    assert b''.join(parts) == b'x' * BODY_BYTES
    assert len(parts) <= 6


def test_slow_head_of_a_chunk_does_not_end_the_body():
    """Guards against a cut body that is taken for a whole one."""
    body = bytes(BODY_BYTES - 1)
    extension = [b'e' for _ in range(2000)]
    packets = (
        b'%b%x\r\n%b\r\n' % (HEAD, len(body), body),
        b'1;',
        *extension,
        b'\r\nx\r\n0\r\n\r\n',
    )
    parts = asyncio.run(read_parts(*packets))
    assert b''.join(parts) == b'%bx' % body
