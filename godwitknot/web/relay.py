"""What travels over a hop: a request to relay and its answer."""

import abc
import hashlib
from collections.abc import Iterator
from typing import Any

import attrs

from godwitknot.errors import ProtocolError
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.web.headers import HeaderFields

CHUNK_BYTES = 65536
# Bodies up to this size are kept, so that they can be sent to another server.
_BUFFER_BYTES = 262144


class RequestBody(abc.ABC):
    """The body of a request.

    :ivar length: bytes, or ``None`` if the sender does not know it.
    """

    length: int | None

    @property
    @abc.abstractmethod
    def replayable(self) -> bool:
        """Whether the body can be sent (again)."""

    @abc.abstractmethod
    def chunks(self) -> Iterator[bytes]:
        """Give the body in pieces.

        :raises ProtocolError: if the caller's body ended early.
        """


@attrs.frozen
class BufferedBody(RequestBody):
    """A body held in memory."""

    content: bytes = b''

    @property
    def length(self) -> int:
        """Size in bytes."""
        return len(self.content)

    @property
    def replayable(self) -> bool:
        """Always, since it is kept."""
        return True

    @property
    def digest(self) -> str:
        """SHA-256 of the content, hexadecimal."""
        return hashlib.sha256(self.content).hexdigest()

    def chunks(self) -> Iterator[bytes]:
        """Give the content."""
        if self.content:
            yield self.content


@attrs.define
class StreamedBody(RequestBody):
    """A body read from the caller while it is sent on.

    :param source: file-like object of the HTTP server.
    :param limit: most bytes allowed.
    """

    source: Any
    length: int | None
    limit: int
    _taken: bool = False

    @property
    def replayable(self) -> bool:
        """Only until the first byte was taken."""
        return not self._taken

    def chunks(self) -> Iterator[bytes]:
        """Read from the caller.

        :raises ProtocolError: if the body ends early or exceeds the limit.
        """
        self._taken = True
        total = 0
        while True:
            chunk = _read_chunk(self.source)
            if not chunk:
                break
            total += len(chunk)
            if total > self.limit:
                raise ProtocolError('request body exceeds the limit')
            yield chunk
        if self.length is not None and total != self.length:
            raise ProtocolError('request body ended early')


def _read_chunk(source: Any) -> bytes:
    try:
        return source.read(CHUNK_BYTES)
    except (OSError, ValueError) as error:
        raise ProtocolError('request body cannot be read') from error


def read_body(
    source: Any,
    length: int | None,
    limit: int,
    *,
    whole: bool,
) -> RequestBody:
    """Take the body of a request, in memory if it is small.

    :param source: file-like object of the HTTP server.
    :param length: declared bytes, ``None`` for a chunked body.
    :param limit: most bytes that the class allows.
    :param whole: read all into memory, whatever its size.
    :raises RefusalError: if the body is too large or ended early.
    """
    if length is not None and length > limit:
        raise RefusalError(Code.BODY_TOO_LARGE)
    if length == 0:
        return BufferedBody()
    streamed = StreamedBody(source, length, limit)
    if not whole and (length is None or length > _BUFFER_BYTES):
        return streamed
    try:
        return BufferedBody(b''.join(streamed.chunks()))
    except ProtocolError as error:
        if 'limit' in str(error):
            raise RefusalError(Code.BODY_TOO_LARGE) from error
        raise RefusalError(Code.BAD_REQUEST, detail=str(error)) from error


@attrs.frozen
class Load:
    """Load of one server as its sidecar counts it.

    :param running: requests on the server.
    :param queued: requests waiting for a slot.
    :param slots: requests that it runs at a time.
    :param share: ramp share from 0 to 1.
    """

    running: int
    queued: int
    slots: int
    share: float = 1

    def __str__(self) -> str:
        """Format for the load header."""
        return f'{self.running},{self.queued},{self.slots},{self.share:.2f}'


def parse_load(text: str) -> Load | None:
    """Read a load header; ``None`` if it is malformed."""
    parts = text.split(',')
    try:
        running, queued, slots = (int(part) for part in parts[:3])
        return Load(running, queued, slots, float(parts[3]))
    except (ValueError, IndexError):
        return None


@attrs.frozen
class ClassTag:
    """What a sidecar must know of a class of work.

    It travels with the request, because the sidecar may be a few seconds
    behind with the configuration.

    :param name: name of the class.
    :param never_repeat: whether the request may run at most once.
    :param priority: 1 is served first, 9 is shed first.
    :param weigh: name of the class's :class:`~declaration.Weighing`.
    """

    name: str
    never_repeat: bool
    priority: int
    weigh: str

    def __str__(self) -> str:
        """Format for the class header."""
        rule = 'never' if self.never_repeat else 'any'
        return f'{self.name},{rule},{self.priority},{self.weigh}'


def parse_tag(text: str) -> ClassTag:
    """Read a class header.

    :raises ProtocolError: if it is malformed.
    """
    parts = text.split(',')
    if len(parts) != 4 or parts[1] not in {'never', 'any'}:
        raise ProtocolError('malformed class header')
    if not parts[2].isdigit():
        raise ProtocolError('malformed priority')
    return ClassTag(parts[0], parts[1] == 'never', int(parts[2]), parts[3])


@attrs.frozen
class RelayRequest:
    """One attempt to run a caller's request on a backend server.

    :param target: path and query, as the caller sent them.
    :param headers: end-to-end header fields of the caller.
    :param attempt_id: unique for each attempt.
    :param request_id: the same for all attempts of a request.
    :param server: name of the server within its node.
    :param incarnation: of the node that is meant.
    :param deadline: on the local clock, in seconds.
    :param key: idempotency key, empty if none.
    :param moved_key: issued key that carries the right of ``key``.
    :param last_resort: no other server had room.
    """

    method: str
    target: str
    headers: HeaderFields
    body: RequestBody
    attempt_id: str
    request_id: str
    tag: ClassTag
    service: str
    server: str
    incarnation: int
    account: str
    deadline: float
    key: str = ''
    last_resort: bool = False
    moved_key: str = ''


@attrs.define
class RelayResponse:
    """An answer on its way to the caller.

    :param chunks: body; raises ``ProtocolError`` if it is cut short.
    :param length: bytes of the body, or ``None`` if not known.
    :param close: releases what the answer holds; safe to call twice.
    :param server_seconds: time that the server took, queue excluded.
    """

    status: int
    reason: str
    headers: HeaderFields
    chunks: Iterator[bytes]
    length: int | None
    close: Any
    outcome: Outcome = Outcome.RAN
    load: Load | None = None
    server_seconds: float = 0
