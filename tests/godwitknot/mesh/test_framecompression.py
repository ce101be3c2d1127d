"""Frames between failure domains are compressed, with bounded memory."""

import asyncio
import os
import zlib

import pytest
from test_admissioncontrol import make_offer

from godwitknot.errors import ProtocolError
from godwitknot.mesh import frames
from godwitknot.mesh.framecompression import (
    FrameCompressor,
    FrameDecompressor,
)
from godwitknot.mesh.messages import Kind

MAX_BYTES = 100_000
FIELDS = [('Accept', 'text/plain'), ('X-Caller', 'a' * 40)]


class Wire:
    """A channel whose other end is another one."""

    def __init__(self):
        self.other = None
        self.written = bytearray()

    def write(self, data):
        self.written += data

    async def receive(self):
        data = bytes(self.other.written)
        self.other.written.clear()
        return data


@pytest.fixture
def wires():
    first, second = Wire(), Wire()
    first.other = second
    second.other = first
    return first, second


def send(sender, receiver, frame):
    """Send a frame, and return its size on the wire and what arrives."""
    sender.send(frame)
    size = len(sender.channel.written)
    return size, asyncio.run(receiver.receive())


def test_frames_of_a_connection_shrink(wires):
    """Guards against full header fields with each offer between regions."""
    first, second = (frames.FrameChannel(wire, compress=True) for wire in wires)
    sizes = []
    for number in range(5):
        offer = make_offer(attempt_id=f'a{number}', fields=FIELDS)
        frame = frames.encode_offer(offer)
        size, received = send(first, second, frame)
        assert received == (Kind.OFFER, offer)
        sizes.append(size / len(frame))
    assert sizes[0] < 1 / 2
    assert sizes[-1] < 1 / 4


def test_node_replies_as_it_was_spoken_to(wires):
    """Guards against compressed frames to nodes of an earlier version."""
    plain, other = (frames.FrameChannel(wire) for wire in wires)
    offer = make_offer(fields=FIELDS)
    frame = frames.encode_offer(offer)
    assert send(plain, other, frame) == (len(frame) + 4, (Kind.OFFER, offer))
    assert send(other, plain, frame) == (len(frame) + 4, (Kind.OFFER, offer))
    compressing = frames.FrameChannel(wires[0], compress=True)
    send(compressing, other, frame)
    size, received = send(other, compressing, frame)
    assert size < len(frame)
    assert received == (Kind.OFFER, offer)


def test_frame_that_would_fill_the_memory_is_refused():
    compressor = FrameCompressor()
    bomb = compressor.compress(bytes(10 * MAX_BYTES))
    assert len(bomb) < MAX_BYTES / 10
    with pytest.raises(ProtocolError):
        FrameDecompressor(MAX_BYTES).decompress(bomb)


@pytest.mark.parametrize(
    'content',
    [b'', b'\xff' * 40, bytes(range(3, 63)), zlib.compress(b'x' * 50)],
)
def test_malformed_content_raises_a_type_of_its_own(content):
    """Guards against a process that ends with an odd frame."""
    decompressor = FrameDecompressor(MAX_BYTES)
    try:
        frame = decompressor.decompress(content)
    except ProtocolError:
        return
    with pytest.raises(ProtocolError):
        frames.decode(frame)


def test_incompressible_frame_is_unchanged():
    body = os.urandom(50_000)
    compressed = FrameCompressor().compress(body)
    assert FrameDecompressor(MAX_BYTES).decompress(compressed) == body
