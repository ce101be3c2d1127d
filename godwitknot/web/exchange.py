"""One HTTP request on one connection, with every way it can end typed."""

import socket
from collections.abc import Callable, Iterator
from http.client import HTTPException

import attrs
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from godwitknot.clock import Clock
from godwitknot.errors import GodwitknotError, ProtocolError
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
    """The request may have reached the other side; no answer came."""


class CutError(ExchangeError):
    """The connection broke before the answer began."""


class SilentError(ExchangeError):
    """Nothing came until the deadline, or until the wait was given up."""


class CallerLeftError(ExchangeError):
    """The caller closed its connection."""


@attrs.frozen
class Call:
    """What is sent.

    :param deadline: on the clock, when waiting for the answer ends.
    :param caller: socket of the caller to watch, or ``None``.
    """

    method: str
    target: str
    headers: HeaderFields
    body: RequestBody
    deadline: float
    caller: socket.socket | None = None


class Exchange:
    """Sends a request and reads its answer.

    The connection goes back to the pool only when the answer was read to
    its end; otherwise it is closed, so that a late answer reaches nobody.
    """

    def __init__(
        self,
        pool: ChannelPool,
        channel: Channel,
        clock: Clock,
    ) -> None:
        """Take over a connection from the pool."""
        self._pool = pool
        self._channel = channel
        self._clock = clock
        self._response: HTTPResponse | None = None
        self._done = False

    @property
    def reused(self) -> bool:
        """Whether the connection carried an earlier request."""
        return self._channel.reused

    def send(self, call: Call) -> None:
        """Send the request.

        :raises CutError: if the connection broke.
        :raises ProtocolError: if the caller's body ended early.
        """
        try:
            self._channel.connection.request(
                call.method,
                call.target,
                body=call.body.chunks() if call.body.length != 0 else None,
                headers=_frame_headers(call),
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
        on_silence: Callable[[], None],
    ) -> HTTPResponse:
        """Wait for the head of the answer.

        :param interval: seconds of silence between calls of ``on_silence``.
        :param on_silence: may raise to give up.
        :raises SilentError: at the deadline.
        :raises CallerLeftError: if the caller closed its connection.
        :raises CutError: if the connection broke.
        """
        try:
            self._wait_readable(call, interval, on_silence)
        except GodwitknotError:
            self.abort()
            raise
        try:
            self._response = self._channel.connection.getresponse()
        except _TRANSPORT_ERRORS as error:
            self.abort()
            raise CutError(type(error).__name__) from error
        return self._response

    def chunks(self, method: str) -> Iterator[bytes]:
        """Give the body in pieces as they arrive.

        :param method: of the request; ``HEAD`` has no body.
        :raises ProtocolError: if the body is cut short.
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
        """Close the connection unless the answer was read to its end."""
        if self._done:
            return
        self._done = True
        self._channel.close()

    def _read_chunk(self, response: HTTPResponse) -> bytes:
        try:
            return response.read1(CHUNK_BYTES, decode_content=False)
        except _TRANSPORT_ERRORS as error:
            self.abort()
            raise ProtocolError('answer cut short') from error

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
        on_silence: Callable[[], None],
    ) -> None:
        sock = self._channel.connection.sock
        watched = [sock]
        if call.caller is not None:
            watched.append(call.caller)
        next_silence = self._clock.now() + interval
        while True:
            now = self._clock.now()
            if now >= call.deadline:
                raise SilentError('deadline passed')
            until = min(call.deadline, next_silence)
            ready = poll_sockets(watched, max(0, until - now))
            if sock.fileno() in ready:
                return
            if ready:
                if is_closed_by_peer(call.caller):
                    raise CallerLeftError('caller left')
                watched = [sock]
            elif self._clock.now() >= next_silence:
                on_silence()
                next_silence = self._clock.now() + interval


def _frame_headers(call: Call) -> dict[str, str]:
    headers = dict(call.headers)
    headers.setdefault('Accept-Encoding', 'identity')
    headers.setdefault('User-Agent', '')
    if call.body.length is None:
        headers['Transfer-Encoding'] = 'chunked'
    elif call.body.length or call.method not in _BODILESS_METHODS:
        headers['Content-Length'] = str(call.body.length)
    return headers


def read_response_length(response: HTTPResponse) -> int | None:
    """Give the declared length of an answer, or ``None``.

    :raises ProtocolError: if the length is malformed.
    """
    text = response.headers.get('Content-Length')
    if text is None:
        return None
    if not text.isdigit():
        raise ProtocolError('malformed length of an answer')
    return int(text)


def read_response_headers(response: HTTPResponse) -> HeaderFields:
    """Give the end-to-end header fields of an answer."""
    return strip_hop_by_hop(response.headers.iteritems())
