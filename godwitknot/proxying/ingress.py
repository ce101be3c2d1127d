"""The ingress role: the WSGI application that serves callers."""

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
_MAX_ACCOUNT_LENGTH = 128
_IDLE_POLL_SECONDS = 0.05
_HTTP10 = 'HTTP/1.0'


@attrs.frozen
class IngressConfiguration:
    """The part of the configuration that the ingress needs.

    :param version: of the configuration in force.
    :param account_header: header that carries the client account.
    """

    version: int
    routes: RouteTable
    account_header: str


class Accounting(abc.ABC):
    """Receives the result of each request that has ended."""

    @abc.abstractmethod
    def record_end(
        self,
        incoming: IngressRequest,
        status: int,
        seconds: float,
        refusal: RefusalError | None,
    ) -> None:
        """Record the end of a request.

        :param seconds: from the request line to the head of the response.
        :param refusal: ``None`` if a server answered.
        """


EndpointHandler = Callable[[Environ, str], tuple[int, object]]


class IngressApp:
    """Serves callers; each response says whether the request was executed."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        get_configuration: Callable[[], IngressConfiguration | None],
        accounting: Accounting,
        clock: Clock,
        metrics: Metrics,
        key_dispatcher: KeyDispatcher | None = None,
    ) -> None:
        """Create the application.

        :param get_configuration: returns the configuration in force, ``None``
            before the first one.
        :param accounting: receives each request that ended.
        :param key_dispatcher: runs requests of never-repeat classes, which
            are refused without it.
        """
        self._dispatcher = dispatcher
        self._get_configuration = get_configuration
        self._accounting = accounting
        self._closing = False
        self._active_requests = 0
        self._lock = threading.Lock()
        self._clock = clock
        self._metrics = metrics
        self._key_dispatcher = key_dispatcher
        self._handlers: dict[str, EndpointHandler] = {
            'health': self._serve_health,
            'ready': self._serve_ready,
        }
        if key_dispatcher is not None:
            self.add_handler('keys', key_dispatcher.issue_key)

    def start_closing(self) -> None:
        """Send ``Connection: close`` with every response from now on."""
        self._closing = True

    def wait_until_idle(self) -> None:
        """Block until no request runs and no response is being sent."""
        while self._active_requests:
            threading.Event().wait(_IDLE_POLL_SECONDS)

    def add_handler(self, name: str, handler: EndpointHandler) -> None:
        """Serve ``/.godwitknot/NAME`` to callers.

        :param handler: takes the environment and the client account, returns
            status and JSON document.
        """
        self._handlers[name] = handler

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request."""
        with self._lock:
            self._active_requests += 1
        return _TrackedResponse(
            self._serve(environ, start_response), self._end_request
        )

    def _serve(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        request_id = _read_request_id(environ)
        try:
            if path.startswith(INTERNAL_PATH_PREFIX):
                return self._serve_endpoint(environ, start_response, path)
            return self._serve_request(environ, start_response, request_id)
        except RefusalError as refusal:
            self._metrics.count(f'ingress.refused.{refusal.code}')
            return respond_refusal(start_response, refusal, request_id)
        except BaseException:
            self._end_request()
            raise

    def _end_request(self) -> None:
        with self._lock:
            self._active_requests -= 1

    def _serve_request(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
    ) -> Iterable[bytes]:
        started = self._clock.now()
        self._metrics.count('ingress.requests')
        incoming = self._read_request(environ, request_id, started)
        name = incoming.route.work.name
        try:
            server_response = self._dispatch(incoming)
        except RefusalError as refusal:
            seconds = self._clock.now() - started
            self._accounting.record_end(
                incoming, refusal.status, seconds, refusal
            )
            raise
        seconds = self._clock.now() - started
        self._accounting.record_end(
            incoming, server_response.status, seconds, None
        )
        self._metrics.time(f'ingress.{name}', seconds)
        fields = [
            (headers.REQUEST_ID, request_id),
            (headers.OUTCOME, str(server_response.outcome)),
        ]
        if self._closing:
            fields.append(('Connection', 'close'))
        server_response.headers = [
            (name, text)
            for name, text in server_response.headers
            if name.lower() != headers.REQUEST_ID.lower()
        ]
        http10 = environ['SERVER_PROTOCOL'] == _HTTP10
        return respond_relayed(
            start_response, server_response, fields, http10=http10
        )

    def _read_request(
        self,
        environ: Environ,
        request_id: str,
        started: float,
    ) -> IngressRequest:
        """Read a request; the refusal of a keyed one never says "not run".

        :raises RefusalError: if it is malformed or belongs to no class.
        """
        try:
            return self._parse_request(environ, request_id, started)
        except RefusalError as refusal:
            # It may be a resend, whose first request may have run elsewhere.
            if environ.get('HTTP_IDEMPOTENCY_KEY'):
                refusal.outcome = Outcome.MAY_HAVE_RUN
            raise

    def _dispatch(self, incoming: IngressRequest) -> RelayResponse:
        if not incoming.key:
            return self._dispatcher.run(incoming)
        if self._key_dispatcher is None:
            raise RefusalError(Code.NOT_READY, Outcome.MAY_HAVE_RUN)
        return self._key_dispatcher.run(incoming)

    def _parse_request(
        self,
        environ: Environ,
        request_id: str,
        started: float,
    ) -> IngressRequest:
        configuration = self._get_configuration()
        if configuration is None:
            raise RefusalError(Code.NOT_READY, retry_after=1)
        method = environ['REQUEST_METHOD']
        route = configuration.routes.find(method, environ['PATH_INFO'])
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
        account = headers.find_header(pairs, configuration.account_header)
        return IngressRequest(
            method=method,
            target=read_target(environ),
            headers=headers.strip_internal(headers.strip_hop_by_hop(pairs)),
            body=body,
            request_id=request_id,
            account=account[:_MAX_ACCOUNT_LENGTH],
            route=route,
            deadline=started + _read_timeout(pairs, work.timeout),
            caller=environ.get(SOCKET_KEY),
            key=key if work.never_repeat else '',
        )

    def _serve_endpoint(
        self,
        environ: Environ,
        start_response: StartResponse,
        path: str,
    ) -> Iterable[bytes]:
        handler = self._handlers.get(path.removeprefix(INTERNAL_PATH_PREFIX))
        if handler is None:
            return respond_json(start_response, _NOT_FOUND, {})
        configuration = self._get_configuration()
        account = ''
        if configuration is not None:
            pairs = headers.read_environ_headers(environ)
            account = headers.find_header(pairs, configuration.account_header)
        status, document = handler(environ, account[:_MAX_ACCOUNT_LENGTH])
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
        configuration = self._get_configuration()
        if configuration is None:
            return _UNAVAILABLE, {'status': 'no configuration yet'}
        return _OK, {'status': 'ok', 'version': configuration.version}


@attrs.define(eq=False)
class _TrackedResponse:
    """A response that calls back when the HTTP server closes it."""

    response: Iterable[bytes]
    on_close: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.response)

    def close(self) -> None:
        """Close the response; the HTTP server calls this once."""
        close = getattr(self.response, 'close', None)
        if close is not None:
            close()
        self.on_close()


def _read_request_id(environ: Environ) -> str:
    """Return the caller's request id if it is valid, else a new one."""
    supplied_id = environ.get('HTTP_X_REQUEST_ID', '')
    if _REQUEST_ID.match(supplied_id):
        return supplied_id
    return uuid.uuid4().hex


def _read_timeout(pairs: headers.HeaderFields, max_seconds: float) -> float:
    """Return the seconds that the request may take.

    :param max_seconds: timeout of the class; a caller can only shorten it.
    :raises RefusalError: if the caller's deadline is malformed.
    """
    text = headers.find_header(pairs, headers.TIME_LEFT)
    if not text:
        return max_seconds
    if not text.isdigit():
        raise RefusalError(Code.BAD_REQUEST, Outcome.NOT_RUN)
    return min(max_seconds, int(text) / _MILLISECONDS)
