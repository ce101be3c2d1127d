"""One run of a request on a backend server: connection, time and result."""

import abc
import contextlib
import socket

from urllib3.response import HTTPResponse

from godwitknot.errors import ProtocolError
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.servers.responsebody import BodyOwner, ResponseBody
from godwitknot.servers.runresults import Result, RunEnd
from godwitknot.web import headers
from godwitknot.web.connections import Channel, ConnectFailedError
from godwitknot.web.exchange import (
    Call,
    CallerLeftError,
    CutError,
    Exchange,
    ExchangeError,
    SilentError,
    read_response_headers,
    read_response_length,
)
from godwitknot.web.relay import Load, RelayRequest, RelayResponse

_MILLISECONDS = 1000
_SERVICE_UNAVAILABLE = 503
_SERVER_ERROR = 500
_RETRY_AFTER_SECONDS = 1
# A reused connection without data for this long counts as dead if the server
# has responded on another one meanwhile.
_DEAD_CONNECTION_SECONDS = 1.0


class RunHost(abc.ABC):
    """The backend server that a request runs on."""

    @abc.abstractmethod
    def open_channel(self, *, fresh: bool) -> Channel:
        """Return a connection to the server.

        :param fresh: whether it must be a new one.
        :raises ConnectFailedError: if none could be opened.
        """

    @abc.abstractmethod
    def make_exchange(self, channel: Channel) -> Exchange:
        """Return an exchange on a connection to this server."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the time on the node's clock, seconds."""

    @abc.abstractmethod
    def load(self) -> Load:
        """Return the load as counted by this node."""

    @abc.abstractmethod
    def responded_since(self, moment: float) -> bool:
        """Return whether the server responded to a request after a time."""

    @abc.abstractmethod
    def close_idle_connections(self) -> None:
        """Close idle connections, for example after a restart."""

    @abc.abstractmethod
    def record_sent(self, request: RelayRequest, *, fresh: bool) -> None:
        """Record that the server may have the request from now on."""

    @abc.abstractmethod
    def record_response(self) -> None:
        """Record that the server responded now."""

    @abc.abstractmethod
    def track_body(self, attempt_id: str, body: ResponseBody) -> None:
        """Record a response body that is being streamed to the caller."""

    @abc.abstractmethod
    def record_result(self, result: Result) -> None:
        """Report the result of a run."""


class Run(BodyOwner):
    """One run: its connection, service time and result."""

    def __init__(
        self,
        server: RunHost,
        request: RelayRequest,
        caller: socket.socket | None,
    ) -> None:
        self._server = server
        self._request = request
        self._caller = caller
        self._exchange: Exchange | None = None
        self._sent = float(0)
        self._seconds = float(0)
        self._reported = False

    def start(self) -> HTTPResponse:
        """Send the request and wait for the head of the response.

        :raises RefusalError: with what is known about the execution.
        """
        never_repeat = self._request.tag.never_repeat
        # A server may close an idle connection just as a request is sent, and
        # then it is unknown whether the request ran.
        response = self._send_once(fresh=never_repeat)
        if response is None:
            response = self._send_once(fresh=True)
        return self._check_response(response)

    def stream(
        self,
        response: HTTPResponse,
        slot_context: contextlib.ExitStack,
    ) -> RelayResponse:
        """Return the response; its slot stays held until the body is read.

        :param slot_context: releases the slot when closed.
        """
        try:
            length = read_response_length(response)
        except ProtocolError as error:
            slot_context.close()
            self.end(RunEnd.ABANDONED)
            raise self._refuse_bad_response(Outcome.RAN) from error
        failed = response.status >= _SERVER_ERROR
        end = RunEnd.FAILED if failed else RunEnd.ANSWERED
        chunks = self._exchange.chunks(self._request.method)
        body = ResponseBody(self, chunks, slot_context, end)
        self._server.track_body(self._request.attempt_id, body)
        return RelayResponse(
            status=response.status,
            reason=response.reason or '',
            headers=headers.strip_internal(read_response_headers(response)),
            chunks=body.read(),
            length=length,
            close=body.close,
            load=self._server.load(),
            server_seconds=self._seconds,
        )

    def add_time(self, seconds: float) -> None:
        """Add time that the server itself took for the body."""
        self._seconds += seconds

    def now(self) -> float:
        """Return the time on the node's clock, seconds."""
        return self._server.now()

    def end(self, end: RunEnd) -> None:
        """Close the connection and report the end of the run once."""
        self._exchange.abort()
        if not self._reported:
            self._report(end)

    def _send_once(self, *, fresh: bool) -> HTTPResponse | None:
        """Return the response, or ``None`` to try a new connection."""
        try:
            channel = self._server.open_channel(fresh=fresh)
        except ConnectFailedError as error:
            self._sent = self._server.now()
            self._report(RunEnd.REFUSED)
            raise RefusalError(
                Code.UNREACHABLE,
                retry_after=_RETRY_AFTER_SECONDS,
            ) from error
        self._exchange = self._server.make_exchange(channel)
        call = Call(
            self._request.method,
            self._request.target,
            self._make_headers(),
            self._request.body,
            self._request.deadline,
            self._caller,
        )
        self._sent = self._server.now()
        self._server.record_sent(self._request, fresh=not channel.reused)
        return self._exchange_call(call)

    def _exchange_call(self, call: Call) -> HTTPResponse | None:
        try:
            self._exchange.send(call)
            response = self._exchange.wait(
                call, _DEAD_CONNECTION_SECONDS, self._check_dead_connection
            )
        except _DeadConnectionError:
            return None
        except ProtocolError as error:
            self.end(RunEnd.ABANDONED)
            raise RefusalError(
                Code.BAD_REQUEST,
                Outcome.MAY_HAVE_RUN,
                detail=str(error),
            ) from error
        except ExchangeError as error:
            if isinstance(error, CutError) and self._can_resend():
                return None
            raise self._make_refusal(error) from error
        self._seconds = self._server.now() - self._sent
        self._server.record_response()
        return response

    def _check_dead_connection(self) -> None:
        """Abort on a reused connection if the server responds on others."""
        if self._can_resend() and self._server.responded_since(self._sent):
            self._server.close_idle_connections()
            raise _DeadConnectionError

    def _make_refusal(self, error: ExchangeError) -> RefusalError:
        self._seconds = self._server.now() - self._sent
        if isinstance(error, CallerLeftError):
            self.end(RunEnd.ABANDONED)
            return RefusalError(Code.CANCELLED, Outcome.MAY_HAVE_RUN)
        if isinstance(error, SilentError):
            self._report(RunEnd.TIMED_OUT)
            return RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
        self._report(RunEnd.LOST)
        return RefusalError(Code.CONNECTION_LOST, Outcome.MAY_HAVE_RUN)

    def _can_resend(self) -> bool:
        if self._request.tag.never_repeat or not self._exchange.reused:
            return False
        return self._request.body.replayable

    def _report(self, end: RunEnd) -> None:
        self._reported = True
        fresh = self._exchange is None or not self._exchange.reused
        self._server.record_result(
            Result(self._request, self._sent, self._seconds, end, fresh),
        )

    def _check_response(self, response: HTTPResponse) -> HTTPResponse:
        echoed = response.headers.get(headers.REQUEST_ID, '')
        if echoed != self._request.request_id and (
            echoed or self._may_answer_another(response)
        ):
            raise self._refuse_bad_response(Outcome.MAY_HAVE_RUN)
        if _is_shed(response):
            self.end(RunEnd.ABANDONED)
            raise RefusalError(
                Code.SERVER_SHED,
                retry_after=_RETRY_AFTER_SECONDS,
            )
        if echoed:
            self._exchange.record_identified()
        return response

    def _may_answer_another(self, response: HTTPResponse) -> bool:
        """Return whether a response without an id may be to another request.

        Servers need not echo the id, but one that did so on this connection
        also does in a success. A refusal on a reused connection may be wrong,
        which does no harm: only repeatable requests use such connections.
        """
        return self._exchange.identified and response.status < _SERVER_ERROR

    def _refuse_bad_response(self, outcome: Outcome) -> RefusalError:
        self._exchange.abort()
        if not self._reported:
            self._report(RunEnd.FAILED)
        return RefusalError(Code.BAD_ANSWER, outcome)

    def _make_headers(self) -> headers.HeaderFields:
        remaining = max(0, self._request.deadline - self._server.now())
        replaced = {
            headers.REQUEST_ID.lower(),
            headers.TIME_LEFT.lower(),
        }
        forwarded = [
            (name, text)
            for name, text in self._request.headers
            if name.lower() not in replaced
        ]
        forwarded.append((headers.REQUEST_ID, self._request.request_id))
        forwarded.append(
            (headers.TIME_LEFT, str(int(remaining * _MILLISECONDS)))
        )
        if self._request.key:
            forwarded.append((headers.IDEMPOTENCY_KEY, self._request.key))
        return forwarded


def _is_shed(response: HTTPResponse) -> bool:
    """Return whether the server states that it did not run the request."""
    not_run = response.headers.get(headers.NOT_RUN, '').lower() == 'true'
    return not_run and response.status == _SERVICE_UNAVAILABLE


class _DeadConnectionError(ExchangeError):
    """A reused connection is dead; the request is sent on a new one."""
