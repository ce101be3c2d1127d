"""Responses that end early are told apart from malformed ones."""

import asyncio

import pytest

from godwitknot.errors import ConnectionCutError, ProtocolError
from godwitknot.mesh.httpwire import ClientSide
from godwitknot.mesh.model import Message


class ScriptedChannel:
    """Gives pieces of a response, then the orderly end."""

    def __init__(self, *pieces):
        self.pieces = [*pieces, b'']

    def write(self, data):
        """Send nowhere."""

    async def receive(self):
        return self.pieces.pop(0)


def read(*pieces):
    side = ClientSide(ScriptedChannel(*pieces))
    side.send(Message('GET', '/x', [('Host', 'h')], b''))
    return asyncio.run(side.read())


@pytest.mark.parametrize(
    'pieces',
    [
        (),
        (b'HTTP/1.1 200',),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc',),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',),
    ],
    ids=['nothing', 'head', 'body', 'chunks'],
)
def test_response_that_ends_early_is_a_cut_connection(pieces):
    """A server that closed without an answer was logged as malformed."""
    with pytest.raises(ConnectionCutError):
        read(*pieces)


def test_bytes_that_are_no_response_are_malformed():
    with pytest.raises(ProtocolError):
        read(b'\x00\x01nonsense\r\n\r\n')


def test_response_without_length_ends_with_its_connection():
    answer = read(b'HTTP/1.1 200 OK\r\n\r\nabc')
    assert answer.body == b'abc'
