"""The client's side of HTTP/1.1 connections, parsed by h11."""

import h11

from godwitknot.errors import ConnectionCutError, ProtocolError
from godwitknot.memory.ledger import UNCOUNTED, HeldBytes
from godwitknot.mesh.bodystream import BodyStream
from godwitknot.mesh.channels import Channel
from godwitknot.mesh.httpfields import (
    CHARSET,
    decode_fields,
    encode_fields,
    strip_connection,
)
from godwitknot.mesh.model import Fields, HttpRequest, HttpResponse

# Largest response of a server, including head and framing. Bodies have a few
# hundred kilobytes; 16 slots at this bound take 64 of a node's 300 MiB.
MAX_RESPONSE_BYTES = 4194304
_MAX_HEAD_BYTES = 65536
# Informational responses before the final one. Servers send one or two; each
# takes 10 us to parse, so a flood of them would block the event loop.
_MAX_INFORMATIONAL_RESPONSES = 16
# Parts of a response body, as chunks or as they arrive. Bodies have a few
# hundred kilobytes, and each part takes 10 us, so a flood of short chunks would
# block the event loop.
_MAX_BODY_PARTS = 8192


class ClientConnection:
    """The client's side of a connection: one request at a time.

    :ivar reused: whether it carried an earlier request.
    :ivar idle_seconds: how long it was idle before the current request.
    """

    def __init__(
        self,
        channel: Channel,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        held: HeldBytes = UNCOUNTED,
    ) -> None:
        """Create the connection of a newly opened channel.

        :param max_response_bytes: largest response, including head and framing.
        :param held: charged with responses that are being read.
        """
        self._held = held
        self.channel = channel
        self._max_response_bytes = max_response_bytes
        self.reused = False
        self.idle_seconds = float(0)
        # Size of the current response so far, including head and framing.
        self._received_bytes = 0
        self._parser = _client_parser()

    def send(self, http_request: HttpRequest) -> None:
        """Send a request.

        :raises ConnectionCutError: if the connection has ended.
        :raises ProtocolError: if the request cannot be expressed.
        """
        self.channel.write(self._encode_request(http_request))

    async def send_body(self, stream: BodyStream) -> None:
        """Send the body of a request whose head was sent.

        :raises BodyLostError: if the body does not arrive.
        :raises ConnectionCutError: if the connection has ended.
        """
        while part := await stream.read():
            self.channel.write(self._encode(h11.Data(data=part)))
            await self.channel.drain()
        self.channel.write(self._encode(h11.EndOfMessage()))

    def _encode(self, event: h11.Event) -> bytes:
        try:
            return self._parser.send(event)
        except h11.LocalProtocolError as error:
            # The server has ended the exchange before the body did.
            raise ConnectionCutError(str(error)) from error

    def _encode_request(self, http_request: HttpRequest) -> bytes:
        stream = http_request.stream
        fields = strip_connection(http_request.fields)
        fields.extend(_frame_body(http_request))
        try:
            head = h11.Request(
                method=http_request.method.encode(CHARSET),
                target=http_request.target.encode(CHARSET),
                headers=encode_fields(fields),
            )
            data = self._parser.send(head)
            if stream:
                return data
            if http_request.body:
                data += self._parser.send(h11.Data(data=http_request.body))
            return data + self._parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ProtocolError(str(error)) from error

    async def read(self) -> HttpResponse:
        """Read a complete response.

        :raises ProtocolError: if it is not a valid HTTP response or too large.
        :raises ConnectionCutError: if the connection ended early.
        """
        self._received_bytes = 0
        try:
            return await self._read_whole()
        finally:
            self._held.charge(-self._received_bytes)

    async def _read_whole(self) -> HttpResponse:
        head = await self._read_head()
        parts: list[bytes] = []
        while True:
            event = await self._next()
            if not isinstance(event, h11.Data):
                break
            if len(parts) == _MAX_BODY_PARTS:
                raise ProtocolError('response in too many parts')
            parts.append(bytes(event.data))
        return HttpResponse(
            head.status_code, decode_fields(head.headers), b''.join(parts)
        )

    async def _read_head(self) -> h11.Response:
        for _ in range(_MAX_INFORMATIONAL_RESPONSES + 1):
            head = await self._next()
            if isinstance(head, h11.Response):
                return head
            if not isinstance(head, h11.InformationalResponse):
                raise ConnectionCutError('no response')
        raise ProtocolError('too many informational responses')

    @property
    def received_nothing(self) -> bool:
        """Whether no byte of the response has been received."""
        not_started = self._parser.their_state is h11.SEND_RESPONSE
        return not_started and not self._parser.trailing_data[0]

    def skip_response(self, http_request: HttpRequest) -> None:
        """Discard a response; the next one is read for the same request.

        Used after a response to another request.

        :raises ProtocolError: if the body of the request is not held.
        """
        if http_request.stream is not None:
            raise ProtocolError('response to another request')
        rest, _ = self._parser.trailing_data
        self._parser = _client_parser()
        self._encode_request(http_request)
        if rest:
            self._parser.receive_data(rest)

    @property
    def has_unexpected_data(self) -> bool:
        """Whether data was received that is not part of the response."""
        return bool(self._parser.trailing_data[0] or self.channel.has_input)

    def reset_for_reuse(self) -> bool:
        """Reset for another request; return ``False`` if impossible."""
        done = self._parser.our_state is h11.DONE
        if not done or self._parser.their_state is not h11.DONE:
            return False
        if self._parser.trailing_data[0]:
            return False
        self._parser.start_next_cycle()
        self.reused = True
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
            self._received_bytes += len(data)
            self._held.charge(len(data))
            if self._received_bytes > self._max_response_bytes:
                raise ProtocolError('response too large')
            try:
                self._parser.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise ConnectionCutError(str(error)) from error


def _frame_body(http_request: HttpRequest) -> Fields:
    """Return the field that tells where the body of a request ends."""
    stream = http_request.stream
    if stream is not None and not stream.is_stated:
        return [('Transfer-Encoding', 'chunked')]
    size = stream.size if stream else len(http_request.body)
    if size or http_request.method not in {'GET', 'HEAD', 'DELETE'}:
        return [('Content-Length', str(size))]
    return []


def _client_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
