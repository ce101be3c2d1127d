"""The server's side of HTTP/1.1 connections, parsed by h11."""

import asyncio

import h11

from godwitknot.errors import (
    BodyLostError,
    ConnectionCutError,
    ProtocolError,
)
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.mesh.bodystream import BodyStream
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.httpfields import (
    CHARSET,
    decode_fields,
    encode_fields,
    find_body_size,
    strip_connection,
)
from godwitknot.mesh.model import Fields, HttpRequest, HttpResponse

# Larger bodies are passed on while they arrive, or counted if they are read
# whole.
LARGE_BODY_BYTES = 262144
# A part of a body is joined from chunks up to about this size. Each chunk
# takes 10 us, and each part a frame to another node.
_PART_BYTES = 65536
# Chunks that are parsed before other tasks run again, about 5 ms.
_MAX_JOINED_CHUNKS = 512
# Bytes that a body takes for each of its own: its parts, and their join.
_COPIES = 2
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_NO_BODY_STATUSES = frozenset((204, 304))


def _describe(error: h11.RemoteProtocolError) -> str:
    """Return the reason of an error without what was received.

    It may quote a line of the head, and with it a key of the caller.
    """
    return str(error).partition(': ')[0]


class TooLargeError(ProtocolError):
    """A message is larger than allowed; ``status`` indicates which part."""

    def __init__(self, status: int) -> None:
        """Create the error.

        :param status: HTTP status for the sender.
        """
        super().__init__(f'message too large: {status}')
        self.status = status


class ConnectionBody(BodyStream):
    """The body of a request that is being read from a connection."""

    def __init__(
        self,
        connection: 'ServerConnection',
        size: int,
        *,
        is_stated: bool = True,
    ) -> None:
        """Create the body of a request whose head was read.

        :param size: bytes of the whole body, or the most that it may have.
        :param is_stated: whether the body has exactly ``size`` bytes.
        """
        super().__init__(size, connection.held, is_stated=is_stated)
        self._connection = connection

    async def _read_part(self) -> bytes:
        return await self._connection.read_part()


class ServerConnection:
    """The server's side of a connection: requests in, responses out."""

    def __init__(
        self,
        channel: Channel,
        head_bytes: int,
        held: HeldBytes = UNCOUNTED,
    ) -> None:
        """Create the connection of an accepted channel.

        :param head_bytes: largest head that is accepted.
        :param held: charged with bodies that are being read.
        """
        self.held = held
        self.channel = channel
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=head_bytes
        )

    @property
    def must_close(self) -> bool:
        """Whether the connection cannot serve another request."""
        return self._parser.our_state is not h11.IDLE

    @property
    def has_input(self) -> bool:
        """Whether bytes have arrived that follow the current request."""
        return bool(self._parser.trailing_data[0] or self.channel.has_input)

    async def wait_for_input(self) -> None:
        """Return when bytes of a request are there or the connection ended.

        The parser may already have them: the next request can arrive in the
        same packet as the one before.
        """
        if not self.has_input:
            await self.channel.wait_for_input()

    async def read(
        self,
        body_bytes: int,
        head_seconds: float,
    ) -> HttpRequest | None:
        """Read a complete request; ``None`` if the caller closed before it.

        :param body_bytes: largest body that is accepted.
        :param head_seconds: time limit for the head after its first byte.
        :raises ProtocolError: if it is malformed or too large.
        :raises ConnectionCutError: if the connection ended within the request.
        :raises TimeoutError: if the head takes too long.
        """
        async with asyncio.timeout(None) as limit:
            request = await self._read_head(limit, head_seconds)
        if request is None:
            return None
        fields = decode_fields(request.headers)
        size = self._find_stream_size(fields)
        if size > body_bytes:
            raise TooLargeError(_BODY_TOO_LARGE)
        if size:
            body, stream = b'', ConnectionBody(self, size)
            await _hold_prefix(stream)
        else:
            body, stream = await self._read_body(body_bytes)
        return HttpRequest(
            request.method.decode(CHARSET),
            request.target.decode(CHARSET),
            fields,
            body,
            stream,
        )

    def _find_stream_size(self, fields: Fields) -> int:
        """Return the size of a large body that its header states, else 0.

        Without a budget for held bytes, all bodies are read whole.
        """
        if not self.held.ledger.budget:
            return 0
        size = find_body_size(fields)
        return size if size > LARGE_BODY_BYTES else 0

    async def _read_head(
        self,
        limit: asyncio.Timeout,
        head_seconds: float,
    ) -> h11.Request | None:
        event = self._next()
        while event is h11.NEED_DATA:
            # The first bytes may have arrived with the request before.
            is_started = bool(self._parser.trailing_data[0])
            if is_started and limit.when() is None:
                now = asyncio.get_running_loop().time()
                limit.reschedule(now + head_seconds)
            data = await self.channel.receive()
            if not data:
                if is_started:
                    raise ConnectionCutError('request head ended early')
                return None
            self._receive(data)
            event = self._next()
        if isinstance(event, h11.ConnectionClosed):
            return None
        return event

    async def _read_body(
        self, max_bytes: int
    ) -> tuple[bytes, ConnectionBody | None]:
        """Return a whole body, or a large one to pass on while it arrives."""
        parts: list[bytes] = []
        charged = 0
        size = 0
        try:
            while part := await self.read_part():
                size += len(part)
                if size > max_bytes:
                    raise TooLargeError(_BODY_TOO_LARGE)
                parts.append(part)
                if size <= LARGE_BODY_BYTES:
                    continue
                if self.held.ledger.budget:
                    stream = ConnectionBody(self, max_bytes, is_stated=False)
                    stream.hold_early(parts)
                    return b'', stream
                self.held.charge(_COPIES * size - charged)
                charged = _COPIES * size
            return b''.join(parts), None
        finally:
            self.held.charge(-charged)

    async def read_part(self) -> bytes:
        """Read the next part of a request body; empty at its end.

        :raises ProtocolError: if it is malformed.
        :raises ConnectionCutError: if the connection ended within it.
        """
        if self._parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self.channel.write(self._parser.send(continue_response))
        part = bytearray()
        chunks = 0
        while self._parser.their_state is h11.SEND_BODY:
            event = self._next()
            if event is h11.NEED_DATA:
                if part:
                    break
                await self._receive_more()
            elif isinstance(event, h11.Data):
                part += event.data
                if len(part) >= _PART_BYTES:
                    break
                chunks += 1
                if not chunks % _MAX_JOINED_CHUNKS:
                    await asyncio.sleep(0)
        return bytes(part)

    async def _receive_more(self) -> None:
        data = await self.channel.receive()
        if not data:
            raise ConnectionCutError('request body ended early')
        self._receive(data)

    def _receive(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise ProtocolError(_describe(error)) from None

    def _next(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _HEAD_TOO_LARGE:
                raise TooLargeError(_HEAD_TOO_LARGE) from error
            raise ProtocolError(_describe(error)) from None

    async def finish_body(self, stream: BodyStream, seconds: float) -> bool:
        """Discard the rest of a body after its response.

        Callers that send their whole body first read the response only then.

        :param seconds: time limit.
        :returns: whether the connection can serve another request.
        """
        stream.give_up()
        try:
            async with asyncio.timeout(seconds):
                while await self.read_part():
                    """Discard the part."""
        except (ConnectionCutError, ProtocolError, TimeoutError):
            return False
        if self._parser.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._parser.start_next_cycle()
        return not self.must_close

    async def respond(
        self,
        response: HttpResponse,
        method: str,
        *,
        close: bool,
    ) -> None:
        """Send a response.

        :raises ConnectionCutError: if the connection has ended.
        """
        # The channel charges what it has not sent yet.
        with self.held.hold(len(response.body)):
            # Its encoded copy is not kept while the caller reads.
            self.channel.write(self._encode(response, method, close=close))
            await self.channel.drain()
        if close or self._parser.our_state is h11.MUST_CLOSE:
            return
        if self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()

    def _encode(
        self, response: HttpResponse, method: str, *, close: bool
    ) -> bytes:
        fields = strip_connection(response.fields)
        if response.status not in _NO_BODY_STATUSES:
            fields.append(('Content-Length', str(len(response.body))))
        if close:
            fields.append(('Connection', 'close'))
        head = h11.Response(
            status_code=response.status, headers=encode_fields(fields)
        )
        try:
            data = self._parser.send(head)
            if response.body and method != 'HEAD':
                data += self._parser.send(h11.Data(data=response.body))
            return data + self._parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ConnectionCutError(str(error)) from error


async def _hold_prefix(stream: BodyStream) -> None:
    """Receive the first bytes of a body.

    :raises ConnectionCutError: if they do not arrive.
    """
    try:
        await stream.hold_prefix()
    except BodyLostError as error:
        raise ConnectionCutError(str(error)) from error
