"""Large bodies are passed on while they arrive, and read only once."""

import asyncio

import pytest

from godwitknot.errors import (
    BodyLostError,
    BodyTooLargeError,
    ConnectionCutError,
)
from godwitknot.memory.ledger import UNCOUNTED, Ledger
from godwitknot.mesh.bodystream import BodyStream, exchange_body
from godwitknot.outcomes import Code, Outcome, RefusalError


class ScriptedBody(BodyStream):
    """Arrives in given parts, then its connection ends."""

    def __init__(self, size, *parts, held=UNCOUNTED, is_stated=True):
        super().__init__(size, held, is_stated=is_stated)
        self.parts = list(parts)

    async def _read_part(self):
        if not self.parts:
            raise ConnectionCutError('closed')
        return self.parts.pop(0)


class SilentBody(ScriptedBody):
    """Does not arrive."""

    async def _read_part(self):
        await asyncio.sleep(9)


async def read_all(stream):
    parts = []
    while part := await stream.read():
        parts.append(part)
    return parts


def test_prefix_stays_part_of_the_body():
    """Guards against bodies without the bytes that identify them."""

    async def read_after_prefix(stream):
        await stream.hold_prefix()
        assert not stream.started
        return await read_all(stream)

    stream = ScriptedBody(70000, b'a' * 40000, b'b' * 30000)
    parts = asyncio.run(read_after_prefix(stream))
    assert b''.join(parts) == b'a' * 40000 + b'b' * 30000
    assert stream.prefix == (b'a' * 40000 + b'b' * 30000)[:65536]
    assert stream.started
    assert stream.ended


def test_body_of_unstated_length_ends_with_an_empty_part():
    """Guards against waiting for bytes beyond the end, and endless bodies."""
    stream = ScriptedBody(5, b'de', b'', is_stated=False)
    stream.hold_early([b'abc'])
    assert asyncio.run(read_all(stream)) == [b'abc', b'de']
    assert (stream.ended, stream.received) == (True, 5)
    with pytest.raises(BodyTooLargeError):
        asyncio.run(read_all(ScriptedBody(5, b'abc', b'def', is_stated=False)))


@pytest.mark.parametrize('parts', [(b'abc',), (b'abc', b'defg'), ()])
def test_body_of_another_size_is_lost(parts):
    """Guards against a cut body that is taken for a whole one."""
    with pytest.raises(BodyLostError):
        asyncio.run(read_all(ScriptedBody(5, *parts)))


@pytest.mark.parametrize('is_stated', [True, False])
def test_gathered_body_is_charged_until_the_end_of_its_request(is_stated):
    """Guards against bodies for nodes of earlier releases beyond the budget."""
    ledger = Ledger(100)
    stream = ScriptedBody(
        6, b'abc', b'def', b'', held=ledger.callers, is_stated=is_stated
    )
    assert asyncio.run(stream.gather()) == b'abcdef'
    assert ledger.held == 24
    other = ScriptedBody(
        20, b'x' * 20, held=ledger.callers, is_stated=is_stated
    )
    with pytest.raises(RefusalError) as caught:
        asyncio.run(other.gather())
    assert caught.value.code is Code.MEMORY_FULL
    assert caught.value.outcome is Outcome.NOT_RUN
    stream.release()
    assert not ledger.held


def test_part_waits_until_there_is_room_where_it_goes():
    """Guards against a server that gets more than it has memory for."""

    async def read_later():
        stream = ScriptedBody(3, b'abc')
        room = []
        stream.may_read = lambda: bool(room)
        reading = asyncio.ensure_future(stream.read())
        await asyncio.sleep(0.1)
        assert not reading.done()
        room.append(1)
        return await asyncio.wait_for(reading, 1)

    assert asyncio.run(read_later()) == b'abc'


async def answer_after(seconds, error=None):
    await asyncio.sleep(seconds)
    if error is not None:
        raise error
    return 'answer'


def exchange(sending, receiving):
    sent = []

    async def run():
        return await exchange_body(sending, receiving, lambda: sent.append(1))

    return asyncio.run(run()), len(sent)


def test_answer_before_the_end_of_the_body_is_returned():
    """Guards against waiting for a body that a server has refused."""
    assert exchange(answer_after(9), answer_after(0)) == ('answer', 0)


def test_answer_of_a_peer_that_takes_no_more_is_returned():
    """Guards against losing an answer since its sender has closed."""
    cut = ConnectionCutError('closed')
    assert exchange(answer_after(0, cut), answer_after(0.01)) == ('answer', 1)


def test_lost_body_ends_the_exchange():
    """Guards against waiting for the answer to a body that is incomplete."""
    with pytest.raises(BodyLostError):
        exchange(answer_after(0, BodyLostError('gone')), answer_after(9))


def test_read_ends_when_the_request_has_its_response():
    """Guards against a run that reads the next request of its connection."""

    async def give_up_while_reading():
        stream = SilentBody(5)
        reading = asyncio.ensure_future(stream.read())
        await asyncio.sleep(0)
        stream.give_up()
        with pytest.raises(BodyLostError):
            await asyncio.wait_for(reading, 1)
        with pytest.raises(BodyLostError):
            await stream.read()

    asyncio.run(give_up_while_reading())
