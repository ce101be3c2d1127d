"""Requests and responses that are relayed between ingress and sidecar."""

import abc
import hashlib
from collections.abc import Iterator
from typing import Any

import attrs

from godwitknot.errors import ProtocolError
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.units import parse_count
from godwitknot.web.headers import HeaderFields

CHUNK_BYTES = 65536
# Smaller bodies are buffered, so that they can be sent to another server.
_MAX_BUFFERED_BYTES = 262144


class RequestBody(abc.ABC):
    """The body of a request.

    :ivar length: size in bytes, or ``None`` if it was not declared.
    """

    length: int | None

    @property
    @abc.abstractmethod
    def replayable(self) -> bool:
        """Whether the body can be sent, even if it was sent before."""

    @abc.abstractmethod
    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks.

        :raises ProtocolError: if the caller's body ended early.
        """


@attrs.frozen
class BufferedBody(RequestBody):
    """A body that is buffered in memory."""

    content: bytes = b''

    @property
    def length(self) -> int:
        """Size in bytes."""
        return len(self.content)

    @property
    def replayable(self) -> bool:
        """Always true, since the content is buffered."""
        return True

    @property
    def digest(self) -> str:
        """SHA-256 of the content, hexadecimal."""
        return hashlib.sha256(self.content).hexdigest()

    def chunks(self) -> Iterator[bytes]:
        """Yield the content as one chunk."""
        if self.content:
            yield self.content


@attrs.define
class StreamedBody(RequestBody):
    """A body that is read from the caller while it is forwarded.

    :param source: file-like object of the HTTP server.
    :param length: declared size in bytes, or ``None``.
    :param limit: maximum size in bytes.
    """

    source: Any
    length: int | None
    limit: int
    _started: bool = False

    @property
    def replayable(self) -> bool:
        """Whether reading has not started yet."""
        return not self._started

    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks as they are read from the caller.

        :raises ProtocolError: if the body ends early or exceeds the limit.
        """
        self._started = True
        received_bytes = 0
        while True:
            chunk = _read_chunk(self.source)
            if not chunk:
                break
            received_bytes += len(chunk)
            if received_bytes > self.limit:
                raise ProtocolError('request body exceeds the limit')
            yield chunk
        if self.length is not None and received_bytes != self.length:
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
    buffer_all: bool,
) -> RequestBody:
    """Return the body of a request, buffered in memory if it is small.

    :param source: file-like object of the HTTP server.
    :param length: declared size in bytes, ``None`` for a chunked body.
    :param limit: maximum size that the class allows, in bytes.
    :param buffer_all: buffer the body regardless of its size.
    :raises RefusalError: if the body is too large or ended early.
    """
    if length is not None and length > limit:
        raise RefusalError(Code.BODY_TOO_LARGE)
    if length == 0:
        return BufferedBody()
    streamed = StreamedBody(source, length, limit)
    if not buffer_all and (length is None or length > _MAX_BUFFERED_BYTES):
        return streamed
    try:
        return BufferedBody(b''.join(streamed.chunks()))
    except ProtocolError as error:
        if 'limit' in str(error):
            raise RefusalError(Code.BODY_TOO_LARGE) from error
        raise RefusalError(Code.BAD_REQUEST, detail=str(error)) from error


@attrs.frozen
class Load:
    """Load of one server as counted by its sidecar.

    :param running: requests running on the server.
    :param queued: requests waiting for a slot.
    :param slots: maximum number of concurrent requests.
    :param share: ramp share from 0 to 1.
    """

    running: int
    queued: int
    slots: int
    share: float = 1

    def __str__(self) -> str:
        """Return the value of the load header."""
        return f'{self.running},{self.queued},{self.slots},{self.share:.2f}'


def parse_load(text: str) -> Load | None:
    """Parse a load header; return ``None`` if it is malformed."""
    parts = text.split(',')
    try:
        running, queued, slots = (int(part) for part in parts[:3])
        return Load(running, queued, slots, float(parts[3]))
    except (ValueError, IndexError):
        return None


@attrs.frozen
class ClassTag:
    """The properties of a class of work that a sidecar needs.

    They are sent with each request, because the sidecar's configuration may
    be a few seconds out of date.

    :param name: name of the class.
    :param never_repeat: whether the request may run at most once.
    :param priority: 1 is served first, 9 is shed first.
    :param weigh: name of the class's
        :class:`~godwitknot.declarations.declaration.Weighing`.
    """

    name: str
    never_repeat: bool
    priority: int
    weigh: str

    def __str__(self) -> str:
        """Return the value of the class header."""
        repetition = 'never' if self.never_repeat else 'any'
        return f'{self.name},{repetition},{self.priority},{self.weigh}'


def parse_tag(text: str) -> ClassTag:
    """Parse a class header.

    :raises ProtocolError: if it is malformed.
    """
    parts = text.split(',')
    if len(parts) != 4 or parts[1] not in {'never', 'any'}:
        raise ProtocolError('malformed class header')
    try:
        priority = parse_count(parts[2])
    except ValueError as error:
        raise ProtocolError('malformed priority') from error
    return ClassTag(parts[0], parts[1] == 'never', priority, parts[3])


@attrs.frozen
class RelayRequest:
    """One attempt to run a caller's request on a backend server.

    :param target: path and query, as the caller sent them.
    :param headers: end-to-end header fields of the caller.
    :param attempt_id: unique for each attempt.
    :param request_id: the same for all attempts of a request.
    :param server: name of the server within its node.
    :param incarnation: expected incarnation of the server's node.
    :param deadline: on the local clock, in seconds.
    :param key: idempotency key, empty if none.
    :param last_resort: whether no other server had free capacity.
    :param moved_key: issued key to which the right of ``key`` was
        transferred.
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
    """A response that is being relayed to the caller.

    :param chunks: body; raises ``ProtocolError`` if it is truncated.
    :param length: size of the body in bytes, or ``None`` if unknown.
    :param close: releases the response's resources; safe to call twice.
    :param outcome: whether the request ran.
    :param load: load of the server, if its sidecar reported it.
    :param server_seconds: time that the server took, without queueing.
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
