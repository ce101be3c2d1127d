"""Request bodies that are passed on while they arrive."""

import abc
import asyncio
import contextlib
import typing
from collections.abc import Callable, Coroutine

from godwitknot.errors import (
    BodyLostError,
    BodyTooLargeError,
    ConnectionCutError,
    ProtocolError,
)
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.outcomes import Code, Outcome, RefusalError

# Bytes of one body that a node holds: read ahead, a part, and one that is sent.
WINDOW_BYTES = 1048576
# Bytes that tell bodies of the same size apart.
_PREFIX_BYTES = 65536
# A body for a node of an earlier release, in one frame: its parts, their join,
# the message, the frame and the bytes that the kernel does not have yet.
_GATHERED_COPIES = 4
# Such bodies are refused before the most urgent requests.
_GATHERED_PRIORITY = 2
# A run holds a slot of the server while its body arrives, so that a body
# without data for this long is given up.
_SILENCE_SECONDS = 3.0

# How often a part that waits for room at the server is tried again.
_POLL_SECONDS = 0.05

_Answer = typing.TypeVar('_Answer')


class BodyStream(abc.ABC):
    """A request body that can be read only once.

    :ivar size: bytes of the whole body; if its length is not stated, the most
        that it may have.
    :ivar is_stated: whether its length is stated.
    :ivar received: bytes that have arrived.
    :ivar started: whether a part was read, so that the body can no longer be
        sent to another server.
    :ivar prefix: its first bytes, for the fingerprint of the request.
    """

    def __init__(
        self,
        size: int,
        held: HeldBytes = UNCOUNTED,
        *,
        is_stated: bool = True,
    ) -> None:
        """Create a stream of which nothing has been read.

        :param size: bytes of the whole body, or the most that it may have.
        :param held: charged with the body if it is gathered.
        :param is_stated: whether the body has exactly ``size`` bytes.
        """
        self._held = held
        self._charged = 0
        self.size = size
        self.is_stated = is_stated
        self.received = 0
        # Whether there is room for the next part where it goes.
        self.may_read: Callable[[], bool] = _always
        self.started = False
        self.prefix = b''
        self._early_parts: list[bytes] = []
        self._has_arrived = is_stated and not size
        self._given_up = False
        self._limit: asyncio.Timeout | None = None

    @property
    def has_arrived(self) -> bool:
        """Whether nothing of the body is still to arrive."""
        return self._has_arrived

    @property
    def ended(self) -> bool:
        """Whether the whole body has been read."""
        return self._has_arrived and not self._early_parts

    def hold_early(self, parts: list[bytes]) -> None:
        """Take the first bytes, which were read before the stream existed."""
        self._early_parts = parts
        self.prefix = b''.join(parts)[:_PREFIX_BYTES]
        self.received = sum(map(len, parts))

    async def hold_prefix(self) -> None:
        """Receive the first bytes, which stay part of the body.

        :raises BodyLostError: if they do not arrive.
        """
        size = min(self.size, _PREFIX_BYTES)
        while sum(map(len, self._early_parts)) < size:
            self._early_parts.append(await self._receive())
        self.prefix = b''.join(self._early_parts)[:size]

    async def read(self) -> bytes:
        """Return the next part, empty at the end.

        :raises BodyLostError: if the rest will not arrive.
        """
        self.started = True
        while not (self._given_up or self.may_read()):
            await asyncio.sleep(_POLL_SECONDS)
        if self._given_up:
            raise BodyLostError('request has ended')
        if self._early_parts:
            return self._early_parts.pop(0)
        return b'' if self._has_arrived else await self._receive()

    async def _receive(self) -> bytes:
        limit = asyncio.timeout(_SILENCE_SECONDS)
        self._limit = limit
        try:
            async with limit:
                part = await self._read_part()
        except (ConnectionCutError, ProtocolError, TimeoutError) as error:
            raise BodyLostError(repr(error)) from error
        self._count(len(part))
        return part

    def _count(self, size: int) -> None:
        """Count the bytes of a part; an empty one ends an unstated length.

        :raises BodyLostError: if the body has another size than stated.
        :raises BodyTooLargeError: if it exceeds its limit.
        """
        self.received += size
        if not self.is_stated:
            self._has_arrived = not size
            if self.received > self.size:
                raise BodyTooLargeError('body exceeds the limit')
            return
        if not size or self.received > self.size:
            raise BodyLostError('body of another size than stated')
        self._has_arrived = self.received == self.size

    async def gather(self) -> bytes:
        """Return the whole body, which is charged until :meth:`release`.

        :raises BodyLostError: if it will not arrive.
        :raises RefusalError: not run, if there is no room for it.
        """
        if self.is_stated:
            self._charge_gathered(self.size)
        parts = []
        while part := await self.read():
            if not self.is_stated:
                self._charge_gathered(len(part))
            parts.append(part)
        return b''.join(parts)

    def _charge_gathered(self, body_bytes: int) -> None:
        size = _GATHERED_COPIES * body_bytes
        if not self._held.ledger.admits(size, _GATHERED_PRIORITY):
            raise RefusalError(Code.MEMORY_FULL, retry_after=1)
        self._held.charge(size)
        self._charged += size

    def give_up(self) -> None:
        """End all reads, since the request has its final response.

        A run that goes on without its caller must not read what follows on
        the connection.
        """
        self._given_up = True
        limit = self._limit
        if limit is not None and not limit.expired():
            with contextlib.suppress(RuntimeError):
                # The latest read may have ended.
                limit.reschedule(asyncio.get_running_loop().time())

    def release(self) -> None:
        """Release what was charged, after the end of the request."""
        self._held.charge(-self._charged)
        self._charged = 0

    @abc.abstractmethod
    async def _read_part(self) -> bytes:
        """Return the next part, empty if there is none.

        :raises ConnectionCutError: if the connection ended.
        :raises ProtocolError: if it is malformed.
        """


def _always() -> bool:
    return True


def build_body_refusal(error: BodyLostError) -> RefusalError:
    """Return the refusal of a request whose body was passed on in part.

    A server may take the part for the whole.
    """
    code = Code.CONNECTION_LOST
    if isinstance(error, BodyTooLargeError):
        code = Code.BODY_TOO_LARGE
    return RefusalError(code, Outcome.MAY_HAVE_RUN)


async def exchange_body(
    sending: Coroutine[typing.Any, typing.Any, None],
    receiving: Coroutine[typing.Any, typing.Any, _Answer],
    on_sent: Callable[[], None],
) -> _Answer:
    """Send a body and return the answer, which may come before its end.

    :param on_sent: called once the body is sent.
    :raises BodyLostError: if the body does not arrive here.
    """
    answer = asyncio.ensure_future(receiving)
    body = asyncio.ensure_future(sending)
    try:
        await asyncio.wait((answer, body), return_when=asyncio.FIRST_COMPLETED)
        if not answer.done():
            _check_sent(body)
            on_sent()
        return await answer
    finally:
        _abandon(answer)
        _abandon(body)


def _check_sent(body: asyncio.Future) -> None:
    """Raise the error of a body that did not arrive.

    A peer that closes the connection may have answered before.
    """
    error = body.exception()
    if error is not None and not isinstance(error, ConnectionCutError):
        raise error


def _abandon(task: asyncio.Future) -> None:
    task.cancel()
    task.add_done_callback(_read_error)


def _read_error(task: asyncio.Future) -> None:
    """Mark the error of a task as seen, so that it is not logged."""
    if not task.cancelled():
        task.exception()
