"""One run of a request on a backend server: connection, time and end."""

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
# A reused connection that stays silent this long while the server answers
# on others is taken for dead.
_SILENCE_SECONDS = 1.0


class RunHost(abc.ABC):
    """The server on which a run takes place."""

    @abc.abstractmethod
    def open_channel(self, *, fresh: bool) -> Channel:
        """Get a connection to the server.

        :raises ConnectFailedError: if none could be opened.
        """

    @abc.abstractmethod
    def make_exchange(self, channel: Channel) -> Exchange:
        """Give an exchange on a connection of this server."""

    @abc.abstractmethod
    def now(self) -> float:
        """Give the time on the node's clock."""

    @abc.abstractmethod
    def load(self) -> Load:
        """Give the load that this node counts."""

    @abc.abstractmethod
    def answered_since(self, moment: float) -> bool:
        """Tell whether any request was answered after a moment."""

    @abc.abstractmethod
    def forget_connections(self) -> None:
        """Drop idle connections, for example after a restart."""

    @abc.abstractmethod
    def record_sent(self, request: RelayRequest, *, fresh: bool) -> None:
        """Note that a request may be on the server from now on."""

    @abc.abstractmethod
    def note_answer(self) -> None:
        """Note that the server answered something."""

    @abc.abstractmethod
    def note_body(self, attempt_id: str, body: ResponseBody) -> None:
        """Note that an answer is being passed on."""

    @abc.abstractmethod
    def record_result(self, result: Result) -> None:
        """Pass on how a run went."""


class Run(BodyOwner):
    """One run: the connection, its time and its end."""

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
        """Send the request and wait for the head of the answer."""
        never_repeat = self._request.tag.never_repeat
        # A server may close an idle connection just as a request is sent,
        # and then nobody knows whether it ran.
        response = self._try_once(fresh=never_repeat)
        if response is None:
            response = self._try_once(fresh=True)
        return self._check(response)

    def stream(
        self,
        response: HTTPResponse,
        held: contextlib.ExitStack,
    ) -> RelayResponse:
        """Give the answer; its slot is held until the body is read."""
        try:
            length = read_response_length(response)
        except ProtocolError as error:
            held.close()
            self.end(RunEnd.ABANDONED)
            raise self._refuse_bad_answer() from error
        failed = response.status >= _SERVER_ERROR
        end = RunEnd.FAILED if failed else RunEnd.ANSWERED
        chunks = self._exchange.chunks(self._request.method)
        body = ResponseBody(self, chunks, held, end)
        self._server.note_body(self._request.attempt_id, body)
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
        """Count time that the server itself took for the body."""
        self._seconds += seconds

    def now(self) -> float:
        """Give the time on the node's clock."""
        return self._server.now()

    def end(self, end: RunEnd) -> None:
        """Report the end of the run once."""
        self._exchange.abort()
        if not self._reported:
            self._report(end)

    def _try_once(self, *, fresh: bool) -> HTTPResponse | None:
        """Give the answer, or ``None`` to try a new connection."""
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
                call, _SILENCE_SECONDS, self._check_silence
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
            raise self._explain(error) from error
        self._seconds = self._server.now() - self._sent
        self._server.note_answer()
        return response

    def _check_silence(self) -> None:
        """Give up a reused connection if the server answers on others."""
        if self._can_resend() and self._server.answered_since(self._sent):
            self._server.forget_connections()
            raise _DeadConnectionError

    def _explain(self, error: ExchangeError) -> RefusalError:
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

    def _check(self, response: HTTPResponse) -> HTTPResponse:
        shed = response.headers.get(headers.NOT_RUN, '').lower() == 'true'
        if response.status == _SERVICE_UNAVAILABLE and shed:
            self.end(RunEnd.ABANDONED)
            raise RefusalError(
                Code.SERVER_SHED,
                retry_after=_RETRY_AFTER_SECONDS,
            )
        echoed = response.headers.get(headers.REQUEST_ID)
        if echoed and echoed != self._request.request_id:
            raise self._refuse_bad_answer()
        return response

    def _refuse_bad_answer(self) -> RefusalError:
        self._exchange.abort()
        if not self._reported:
            self._report(RunEnd.FAILED)
        return RefusalError(Code.BAD_ANSWER, Outcome.RAN)

    def _make_headers(self) -> headers.HeaderFields:
        left = max(0, self._request.deadline - self._server.now())
        own = {
            headers.REQUEST_ID.lower(),
            headers.TIME_LEFT.lower(),
        }
        passed = [
            (name, text)
            for name, text in self._request.headers
            if name.lower() not in own
        ]
        passed.append((headers.REQUEST_ID, self._request.request_id))
        passed.append((headers.TIME_LEFT, str(int(left * _MILLISECONDS))))
        if self._request.key:
            passed.append((headers.IDEMPOTENCY_KEY, self._request.key))
        return passed


class _DeadConnectionError(ExchangeError):
    """A reused connection is dead; the request goes to a new one."""
