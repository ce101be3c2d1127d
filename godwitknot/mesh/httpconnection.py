"""HTTP/1.1 messages on a channel, parsed by h11."""

import asyncio
import typing

import h11

from godwitknot.errors import ConnectionCutError, ProtocolError
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.model import Fields, HttpRequest, HttpResponse

# Largest response of a server, with its head and framing. Bodies have a few
# hundred kilobytes; 16 slots at this bound take 64 MiB of the 300 of a node.
MAX_RESPONSE_BYTES = 4194304
_HEAD_BYTES = 65536
# Informational responses before the final one. Servers send one or two; each
# costs 10 us to parse, so that a flood of them would hold up the event loop.
_MOST_INFORMATIONAL = 16
# Pieces of the body of a response, as chunks or as they arrive. Bodies have a
# few hundred kilobytes, and each piece costs 10 us, so that a flood of short
# chunks would hold up the event loop.
_MOST_PARTS = 8192
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_CHARSET = 'latin-1'
_NO_BODY_STATUSES = frozenset((204, 304))
_CONNECTION_FIELDS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    ),
)


def strip_connection(fields: Fields) -> Fields:
    """Drop the fields that concern one connection only."""
    named = {
        token.strip().lower()
        for name, text in fields
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = _CONNECTION_FIELDS | named
    return [pair for pair in fields if pair[0].lower() not in dropped]


def _decode(raw: typing.Any) -> Fields:
    return [
        (name.decode(_CHARSET), text.decode(_CHARSET))
        for name, text in raw.raw_items()
    ]


def _encode(fields: Fields) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode(_CHARSET), text.encode(_CHARSET)) for name, text in fields
    ]


class TooLargeError(ProtocolError):
    """A message is larger than allowed; ``status`` says which part."""

    def __init__(self, status: int) -> None:
        """Keep the HTTP status that tells the sender."""
        super().__init__(f'message too large: {status}')
        self.status = status


class ServerConnection:
    """The server's side of a connection: requests in, responses out."""

    def __init__(self, channel: Channel, head_bytes: int) -> None:
        """Start.

        :param head_bytes: longest head accepted.
        """
        self.channel = channel
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=head_bytes
        )

    @property
    def must_close(self) -> bool:
        """Whether the connection cannot take another request."""
        return self._parser.our_state is not h11.IDLE

    async def read(
        self,
        body_bytes: int,
        head_seconds: float,
    ) -> HttpRequest | None:
        """Read one request whole; ``None`` if the caller closed before.

        :param body_bytes: most bytes of a body.
        :param head_seconds: longest time for the head once it has begun.
        :raises ProtocolError: if it is malformed or too large.
        :raises ConnectionCutError: if the connection ended within it.
        :raises TimeoutError: if the head takes too long.
        """
        async with asyncio.timeout(None) as limit:
            request = await self._read_head(limit, head_seconds)
        if request is None:
            return None
        body = await self._read_body(body_bytes)
        return HttpRequest(
            request.method.decode(_CHARSET),
            request.target.decode(_CHARSET),
            _decode(request.headers),
            body,
        )

    async def _read_head(
        self,
        limit: asyncio.Timeout,
        head_seconds: float,
    ) -> h11.Request | None:
        event = self._next()
        while event is h11.NEED_DATA:
            data = await self.channel.receive()
            if not data:
                if self._parser.trailing_data[0]:
                    raise ConnectionCutError('request head ended early')
                return None
            if limit.when() is None:
                now = asyncio.get_running_loop().time()
                limit.reschedule(now + head_seconds)
            self._receive(data)
            event = self._next()
        if isinstance(event, h11.ConnectionClosed):
            return None
        return event

    async def _read_body(self, most: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        if self._parser.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.channel.write(self._parser.send(proceed))
        while True:
            event = self._next()
            if event is h11.NEED_DATA:
                data = await self.channel.receive()
                if not data:
                    raise ConnectionCutError('request body ended early')
                self._receive(data)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > most:
                    raise TooLargeError(_BODY_TOO_LARGE)
                parts.append(bytes(event.data))
            else:
                return b''.join(parts)

    def _receive(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from error

    def _next(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _HEAD_TOO_LARGE:
                raise TooLargeError(_HEAD_TOO_LARGE) from error
            raise ProtocolError(str(error)) from error

    async def respond(
        self,
        answer: HttpResponse,
        method: str,
        *,
        close: bool,
    ) -> None:
        """Send one response.

        :raises ConnectionCutError: if the connection has ended.
        """
        fields = strip_connection(answer.fields)
        if answer.status not in _NO_BODY_STATUSES:
            fields.append(('Content-Length', str(len(answer.body))))
        if close:
            fields.append(('Connection', 'close'))
        head = h11.Response(status_code=answer.status, headers=_encode(fields))
        try:
            data = self._parser.send(head)
            if answer.body and method != 'HEAD':
                data += self._parser.send(h11.Data(data=answer.body))
            data += self._parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ConnectionCutError(str(error)) from error
        self.channel.write(data)
        await self.channel.drain()
        if close or self._parser.our_state is h11.MUST_CLOSE:
            return
        if self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()


class ClientConnection:
    """The client's side of a connection: one request at a time.

    :ivar rested: seconds that it was idle before the current request.
    """

    def __init__(
        self,
        channel: Channel,
        answer_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Start on a new connection.

        :param answer_bytes: largest response, with its head and framing.
        """
        self.channel = channel
        self._answer_bytes = answer_bytes
        self.started = False
        self.rested = float(0)
        # Bytes of the current response, with head and framing.
        self._received = 0
        self._parser = _client_parser()

    def send(self, message: HttpRequest) -> None:
        """Send a request.

        :raises ConnectionCutError: if the connection has ended.
        :raises ProtocolError: if the request cannot be expressed.
        """
        self.channel.write(self._pack(message))
        self.started = True

    def _pack(self, message: HttpRequest) -> bytes:
        fields = strip_connection(message.fields)
        if message.body or message.method not in {'GET', 'HEAD', 'DELETE'}:
            fields.append(('Content-Length', str(len(message.body))))
        try:
            head = h11.Request(
                method=message.method.encode(_CHARSET),
                target=message.target.encode(_CHARSET),
                headers=_encode(fields),
            )
            data = self._parser.send(head)
            if message.body:
                data += self._parser.send(h11.Data(data=message.body))
            return data + self._parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ProtocolError(str(error)) from error

    async def read(self) -> HttpResponse:
        """Read one response whole.

        :raises ProtocolError: if it is no HTTP response, or encoded.
        :raises ConnectionCutError: if it ended early.
        """
        self._received = 0
        head = await self._read_head()
        parts: list[bytes] = []
        while True:
            event = await self._next()
            if not isinstance(event, h11.Data):
                break
            if len(parts) == _MOST_PARTS:
                raise ProtocolError('response in too many parts')
            parts.append(bytes(event.data))
        return HttpResponse(
            head.status_code, _decode(head.headers), b''.join(parts)
        )

    async def _read_head(self) -> h11.Response:
        for _ in range(_MOST_INFORMATIONAL + 1):
            head = await self._next()
            if isinstance(head, h11.Response):
                return head
            if not isinstance(head, h11.InformationalResponse):
                raise ConnectionCutError('no response')
        raise ProtocolError('too many informational responses')

    @property
    def heard_nothing(self) -> bool:
        """Whether no byte of the response has arrived."""
        untouched = self._parser.their_state is h11.SEND_RESPONSE
        return untouched and not self._parser.trailing_data[0]

    def skip_answer(self, message: HttpRequest) -> None:
        """Read the next response as the answer of the same request.

        Used after a response that belongs to another request.
        """
        rest, _ = self._parser.trailing_data
        self._parser = _client_parser()
        self._pack(message)
        if rest:
            self._parser.receive_data(rest)

    @property
    def has_surplus(self) -> bool:
        """Whether bytes have arrived that are not part of the response."""
        return bool(self._parser.trailing_data[0] or self.channel.has_input)

    def recycle(self) -> bool:
        """Prepare for another request; ``False`` if it must be closed."""
        done = self._parser.our_state is h11.DONE
        if not done or self._parser.their_state is not h11.DONE:
            return False
        if self._parser.trailing_data[0]:
            return False
        self._parser.start_next_cycle()
        return self.channel.is_idle

    async def _next(self) -> object:
        ended = False
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                if ended:
                    raise ConnectionCutError(str(error)) from error
                raise ProtocolError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.channel.receive()
            ended = not data
            self._received += len(data)
            if self._received > self._answer_bytes:
                raise ProtocolError('response too large')
            try:
                self._parser.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise ConnectionCutError(str(error)) from error


def _client_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES)
