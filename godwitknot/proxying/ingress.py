"""The ingress role: the WSGI application that callers speak to."""

import abc
import re
import threading
import uuid
from collections.abc import Callable, Iterable, Iterator

import attrs

from godwitknot.clock import Clock
from godwitknot.declarations.routes import RouteTable
from godwitknot.metrics import Metrics
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.proxying.dispatch import Dispatcher, IngressRequest
from godwitknot.proxying.keydispatch import KeyDispatcher
from godwitknot.web import headers
from godwitknot.web.httpserver import SOCKET_KEY
from godwitknot.web.relay import RelayResponse, read_body
from godwitknot.web.wsgi import (
    INTERNAL_PATH_PREFIX,
    Environ,
    StartResponse,
    read_length,
    read_target,
    respond_json,
    respond_refusal,
    respond_relayed,
)

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_MILLISECONDS = 1000
_REQUEST_ID = re.compile(r'^[A-Za-z0-9._-]{1,64}$')
_MAX_ACCOUNT = 128
_IDLE_POLL_SECONDS = 0.05
_HTTP10 = 'HTTP/1.0'


@attrs.frozen
class IngressConfiguration:
    """The configuration that the ingress serves by.

    :param version: of the configuration in force.
    :param account_header: names the caller's account.
    """

    version: int
    routes: RouteTable
    account_header: str


class Accounting(abc.ABC):
    """Gets each request that has ended."""

    @abc.abstractmethod
    def record_end(
        self,
        incoming: IngressRequest,
        status: int,
        seconds: float,
        refusal: RefusalError | None,
    ) -> None:
        """Count a request.

        :param seconds: from the request line to the head of the answer.
        :param refusal: ``None`` if a server answered.
        """


OwnHandler = Callable[[Environ, str], tuple[int, object]]


class IngressApp:
    """Takes requests of callers and gives each a true answer."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        serving: Callable[[], IngressConfiguration | None],
        accounting: Accounting,
        clock: Clock,
        metrics: Metrics,
        keyed: KeyDispatcher | None = None,
    ) -> None:
        """Take the collaborators.

        :param serving: gives the configuration, ``None`` before the first.
        :param keyed: runs requests of never-repeat classes, which are
            refused without it.
        :param accounting: gets each request that ended.
        """
        self._dispatcher = dispatcher
        self._serving = serving
        self._accounting = accounting
        self._closing = False
        self._active = 0
        self._lock = threading.Lock()
        self._clock = clock
        self._metrics = metrics
        self._keyed = keyed
        self._own: dict[str, OwnHandler] = {
            'health': self._serve_health,
            'ready': self._serve_ready,
        }
        if keyed is not None:
            self.add_handler('keys', keyed.issue_key)

    def start_closing(self) -> None:
        """Ask callers to close their connections after their answers."""
        self._closing = True

    def wait_until_idle(self) -> None:
        """Return when no request runs and no answer is passed on."""
        while self._active:
            threading.Event().wait(_IDLE_POLL_SECONDS)

    def add_handler(self, name: str, handler: OwnHandler) -> None:
        """Serve ``/.godwitknot/NAME`` to callers.

        :param handler: gets the environment and the account, returns
            status and JSON document.
        """
        self._own[name] = handler

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        with self._lock:
            self._active += 1
        return _Counted(self._serve(environ, start_response), self._end_request)

    def _serve(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        request_id = _read_request_id(environ)
        try:
            if path.startswith(INTERNAL_PATH_PREFIX):
                return self._serve_own(environ, start_response, path)
            return self._serve_work(environ, start_response, request_id)
        except RefusalError as refusal:
            self._metrics.count(f'ingress.refused.{refusal.code}')
            return respond_refusal(start_response, refusal, request_id)
        except BaseException:
            self._end_request()
            raise

    def _end_request(self) -> None:
        with self._lock:
            self._active -= 1

    def _serve_work(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
    ) -> Iterable[bytes]:
        started = self._clock.now()
        self._metrics.count('ingress.requests')
        incoming = self._read_honestly(environ, request_id, started)
        name = incoming.route.work.name
        try:
            answer = self._run(incoming)
        except RefusalError as refusal:
            seconds = self._clock.now() - started
            self._accounting.record_end(
                incoming, refusal.status, seconds, refusal
            )
            raise
        seconds = self._clock.now() - started
        self._accounting.record_end(incoming, answer.status, seconds, None)
        self._metrics.time(f'ingress.{name}', seconds)
        fields = [
            (headers.REQUEST_ID, request_id),
            (headers.OUTCOME, str(answer.outcome)),
        ]
        if self._closing:
            fields.append(('Connection', 'close'))
        answer.headers = [
            (name, text)
            for name, text in answer.headers
            if name.lower() != headers.REQUEST_ID.lower()
        ]
        http10 = environ['SERVER_PROTOCOL'] == _HTTP10
        return respond_relayed(start_response, answer, fields, http10=http10)

    def _read_honestly(
        self,
        environ: Environ,
        request_id: str,
        started: float,
    ) -> IngressRequest:
        """Read a request; refuse a resend without saying "not run".

        :raises RefusalError: if it cannot be read or belongs to no class.
        """
        try:
            return self._read_job(environ, request_id, started)
        except RefusalError as refusal:
            # An earlier request with this key may have run elsewhere.
            if environ.get('HTTP_IDEMPOTENCY_KEY'):
                refusal.outcome = Outcome.MAY_HAVE_RUN
            raise

    def _run(self, incoming: IngressRequest) -> RelayResponse:
        if not incoming.key:
            return self._dispatcher.run(incoming)
        if self._keyed is None:
            raise RefusalError(Code.NOT_READY, Outcome.MAY_HAVE_RUN)
        return self._keyed.run(incoming)

    def _read_job(
        self,
        environ: Environ,
        request_id: str,
        started: float,
    ) -> IngressRequest:
        serving = self._serving()
        if serving is None:
            raise RefusalError(Code.NOT_READY, retry_after=1)
        method = environ['REQUEST_METHOD']
        route = serving.routes.find(method, environ['PATH_INFO'])
        if route is None:
            raise RefusalError(Code.NO_CLASS)
        work = route.work
        pairs = headers.read_environ_headers(environ)
        key = headers.find_header(pairs, headers.IDEMPOTENCY_KEY)
        if work.never_repeat and not key:
            raise RefusalError(Code.KEY_REQUIRED)
        body = read_body(
            environ['wsgi.input'],
            read_length(environ),
            work.body_limit,
            whole=work.never_repeat,
        )
        account = headers.find_header(pairs, serving.account_header)
        return IngressRequest(
            method=method,
            target=read_target(environ),
            headers=headers.strip_internal(headers.strip_hop_by_hop(pairs)),
            body=body,
            request_id=request_id,
            account=account[:_MAX_ACCOUNT],
            route=route,
            deadline=started + _read_timeout(pairs, work.timeout),
            caller=environ.get(SOCKET_KEY),
            key=key if work.never_repeat else '',
        )

    def _serve_own(
        self,
        environ: Environ,
        start_response: StartResponse,
        path: str,
    ) -> Iterable[bytes]:
        handler = self._own.get(path.removeprefix(INTERNAL_PATH_PREFIX))
        if handler is None:
            return respond_json(start_response, _NOT_FOUND, {})
        serving = self._serving()
        account = ''
        if serving is not None:
            pairs = headers.read_environ_headers(environ)
            account = headers.find_header(pairs, serving.account_header)
        status, document = handler(environ, account[:_MAX_ACCOUNT])
        return respond_json(start_response, status, document)

    def _serve_health(
        self,
        environ: Environ,
        account: str,
    ) -> tuple[int, object]:
        return _OK, {'status': 'ok'}

    def _serve_ready(
        self,
        environ: Environ,
        account: str,
    ) -> tuple[int, object]:
        serving = self._serving()
        if serving is None:
            return _UNAVAILABLE, {'status': 'no configuration yet'}
        return _OK, {'status': 'ok', 'version': serving.version}


@attrs.define(eq=False)
class _Counted:
    """A response that tells when the server is done with it."""

    response: Iterable[bytes]
    record_end: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.response)

    def close(self) -> None:
        """Close the response; the server calls it once."""
        close = getattr(self.response, 'close', None)
        if close is not None:
            close()
        self.record_end()


def _read_request_id(environ: Environ) -> str:
    """Take the caller's request id if it is harmless, else make one."""
    given = environ.get('HTTP_X_REQUEST_ID', '')
    if _REQUEST_ID.match(given):
        return given
    return uuid.uuid4().hex


def _read_timeout(pairs: headers.HeaderFields, most: float) -> float:
    """Give the seconds that the request may take.

    :param most: timeout of the class; a caller can only shorten it.
    :raises RefusalError: if the caller's deadline is malformed.
    """
    text = headers.find_header(pairs, headers.TIME_LEFT)
    if not text:
        return most
    if not text.isdigit():
        raise RefusalError(Code.BAD_REQUEST, Outcome.NOT_RUN)
    return min(most, int(text) / _MILLISECONDS)
