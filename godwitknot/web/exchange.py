"""One HTTP request on one connection, with a typed error per failure."""

import socket
from collections.abc import Callable, Iterator
from http.client import HTTPException

import attrs
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from godwitknot.clock import Clock
from godwitknot.errors import GodwitknotError, ProtocolError
from godwitknot.strictresponses import TruncatedLineError
from godwitknot.units import parse_count
from godwitknot.web.connections import (
    Channel,
    ChannelPool,
    is_closed_by_peer,
    poll_sockets,
)
from godwitknot.web.headers import HeaderFields, strip_hop_by_hop
from godwitknot.web.relay import CHUNK_BYTES, RequestBody

BODILESS_STATUSES = frozenset((204, 304))
_BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
_TRANSPORT_ERRORS = (OSError, HTTPError, HTTPException)


class ExchangeError(GodwitknotError):
    """The request may have been received, but no response arrived."""


class CutError(ExchangeError):
    """The connection failed before the response began."""


class TruncatedError(ExchangeError):
    """The connection ended within the head of the response."""


class SilentError(ExchangeError):
    """No response began before the deadline or before the wait was aborted."""


class CallerLeftError(ExchangeError):
    """The caller closed its connection."""


@attrs.frozen
class Call:
    """An outgoing HTTP request.

    :param target: path and query.
    :param deadline: clock time at which waiting for the response ends.
    :param caller: socket of the caller, watched for its disconnection, or
        ``None``.
    """

    method: str
    target: str
    headers: HeaderFields
    body: RequestBody
    deadline: float
    caller: socket.socket | None = None


class Exchange:
    """Sends a request and reads its response.

    The connection returns to the pool only after the response was read
    completely. Otherwise it is closed, so that a late response cannot be
    taken for the response to the next request.
    """

    def __init__(
        self,
        pool: ChannelPool,
        channel: Channel,
        clock: Clock,
    ) -> None:
        """Begin an exchange on a connection that was acquired from the pool."""
        self._pool = pool
        self._channel = channel
        self._clock = clock
        self._response: HTTPResponse | None = None
        self._done = False

    @property
    def reused(self) -> bool:
        """Whether the connection carried an earlier request."""
        return self._channel.reused

    @property
    def identified(self) -> bool:
        """Whether a response on the connection had the id of its request."""
        return self._channel.identified

    def record_identified(self) -> None:
        """Record that the response has the id of its request."""
        self._channel.identified = True

    def send(self, call: Call) -> None:
        """Send the request.

        :raises CutError: if the connection failed.
        :raises ProtocolError: if the caller's body ended early.
        """
        try:
            self._channel.connection.request(
                call.method,
                call.target,
                body=call.body.chunks() if call.body.length != 0 else None,
                headers=_add_framing(call),
                preload_content=False,
                decode_content=False,
            )
        except ProtocolError:
            self.abort()
            raise
        except _TRANSPORT_ERRORS as error:
            self.abort()
            raise CutError(type(error).__name__) from error

    def wait(
        self,
        call: Call,
        interval: float,
        on_idle: Callable[[], None],
    ) -> HTTPResponse:
        """Wait for the head of the response.

        :param interval: seconds without data between calls of ``on_idle``.
        :param on_idle: may raise an error to stop waiting.
        :raises SilentError: at the deadline.
        :raises CallerLeftError: if the caller closed its connection.
        :raises CutError: if the connection failed.
        :raises TruncatedError: if it ended within the head of the response.
        """
        try:
            self._wait_readable(call, interval, on_idle)
        except GodwitknotError:
            self.abort()
            raise
        try:
            self._response = self._channel.connection.getresponse()
        except TruncatedLineError as error:
            self.abort()
            raise TruncatedError(str(error)) from error
        except _TRANSPORT_ERRORS as error:
            self.abort()
            raise CutError(type(error).__name__) from error
        return self._response

    def chunks(self, method: str) -> Iterator[bytes]:
        """Yield the chunks of the body as they arrive.

        :param method: of the request; a response to ``HEAD`` has no body.
        :raises ProtocolError: if the body is truncated.
        """
        response = self._response
        if method != 'HEAD' and response.status not in BODILESS_STATUSES:
            while True:
                chunk = self._read_chunk(response)
                if not chunk:
                    break
                yield chunk
        self._finish(response)

    def abort(self) -> None:
        """Close the connection unless the response was read completely."""
        if self._done:
            return
        self._done = True
        self._channel.close()

    def _read_chunk(self, response: HTTPResponse) -> bytes:
        try:
            return response.read1(CHUNK_BYTES, decode_content=False)
        except _TRANSPORT_ERRORS as error:
            self.abort()
            raise ProtocolError('response body truncated') from error

    def _finish(self, response: HTTPResponse) -> None:
        if self._done:
            return
        self._done = True
        closing = response.headers.get('Connection', '').lower() == 'close'
        if closing or self._channel.connection.sock is None:
            self._channel.close()
            return
        self._pool.release(self._channel)

    def _wait_readable(
        self,
        call: Call,
        interval: float,
        on_idle: Callable[[], None],
    ) -> None:
        sock = self._channel.connection.sock
        sockets = [sock]
        if call.caller is not None:
            sockets.append(call.caller)
        next_idle_call = self._clock.now() + interval
        while True:
            now = self._clock.now()
            if now >= call.deadline:
                raise SilentError('deadline passed')
            wake_time = min(call.deadline, next_idle_call)
            ready = poll_sockets(sockets, max(0, wake_time - now))
            if sock.fileno() in ready:
                return
            if ready:
                if is_closed_by_peer(call.caller):
                    raise CallerLeftError('caller closed its connection')
                sockets = [sock]
            elif self._clock.now() >= next_idle_call:
                on_idle()
                next_idle_call = self._clock.now() + interval


def _add_framing(call: Call) -> dict[str, str]:
    headers = dict(call.headers)
    headers.setdefault('Accept-Encoding', 'identity')
    headers.setdefault('User-Agent', '')
    if call.body.length is None:
        headers['Transfer-Encoding'] = 'chunked'
    elif call.body.length or call.method not in _BODILESS_METHODS:
        headers['Content-Length'] = str(call.body.length)
    return headers


def read_response_length(response: HTTPResponse) -> int | None:
    """Return the declared body length of a response, or ``None``.

    :raises ProtocolError: if the length is malformed.
    """
    content_length = response.headers.get('Content-Length')
    if content_length is None:
        return None
    try:
        return parse_count(content_length)
    except ValueError as error:
        raise ProtocolError('malformed Content-Length of a response') from error


def read_response_headers(response: HTTPResponse) -> HeaderFields:
    """Return the end-to-end header fields of a response."""
    return strip_hop_by_hop(response.headers.iteritems())
