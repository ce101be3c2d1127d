"""The WSGI application on the peer port: relayed requests and control calls."""

import sys
from collections.abc import Callable, Iterable

from godwitknot.clock import Clock
from godwitknot.errors import ProtocolError, VerificationError
from godwitknot.keys import FleetKeys
from godwitknot.metrics import Metrics
from godwitknot.outcomes import RefusalError
from godwitknot.proxying.sidecar import Sidecar
from godwitknot.web import headers, relayprotocol
from godwitknot.web.httpserver import SOCKET_KEY
from godwitknot.web.relay import BufferedBody, read_body
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

_ATTEMPTS_PREFIX = f'{INTERNAL_PATH_PREFIX}attempts/'
_FORBIDDEN = 403
_NOT_FOUND = 404
_BAD_REQUEST = 400
_OK = 200
# The ingress has already applied the limit of the class.
_BODY_LIMIT_BYTES = sys.maxsize

PeerHandler = Callable[[str, bytes], object]


class PeerApp:
    """Serves other nodes, which sign their requests with a fleet key."""

    def __init__(
        self,
        sidecar: Sidecar,
        keys: FleetKeys,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the application for a sidecar.

        :param keys: fleet keys that verify each request.
        """
        self._sidecar = sidecar
        self._keys = keys
        self._clock = clock
        self._metrics = metrics
        self._handlers: dict[str, PeerHandler] = {}

    def add_handler(self, name: str, handler: PeerHandler) -> None:
        """Serve ``/.godwitknot/NAME`` to peers.

        :param handler: takes method and body, returns a JSON document.
        """
        self._handlers[f'{INTERNAL_PATH_PREFIX}{name}'] = handler

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request."""
        method = environ['REQUEST_METHOD']
        target = read_target(environ)
        fields = dict(headers.read_environ_headers(environ))
        try:
            relayprotocol.verify_fields(self._keys, method, target, fields)
        except VerificationError:
            self._metrics.count('peer.unverified')
            return respond_json(start_response, _FORBIDDEN, {})
        if target.startswith(INTERNAL_PATH_PREFIX):
            return self._serve_endpoint(environ, start_response, target, fields)
        return self._serve_relay(environ, start_response, fields)

    def _serve_endpoint(
        self,
        environ: Environ,
        start_response: StartResponse,
        target: str,
        fields: dict[str, str],
    ) -> Iterable[bytes]:
        if target.startswith(_ATTEMPTS_PREFIX):
            state = self._sidecar.resolve_attempt(
                target.removeprefix(_ATTEMPTS_PREFIX)
            )
            return respond_json(start_response, _OK, {'state': str(state)})
        handler = self._handlers.get(target.partition('?')[0])
        if handler is None:
            return respond_json(start_response, _NOT_FOUND, {})
        length = read_length(environ) or 0
        content = environ['wsgi.input'].read(length) if length else b''
        if BufferedBody(content).digest != fields.get(headers.BODY_DIGEST):
            self._metrics.count('peer.unverified')
            return respond_json(start_response, _FORBIDDEN, {})
        document = handler(environ['REQUEST_METHOD'], content)
        return respond_json(start_response, _OK, document)

    def _serve_relay(
        self,
        environ: Environ,
        start_response: StartResponse,
        fields: dict[str, str],
    ) -> Iterable[bytes]:
        attempt_id = fields.get(headers.ATTEMPT, '')
        request_id = fields.get(headers.REQUEST, '')
        try:
            request = self._decode_request(environ, fields)
            response = self._sidecar.relay(request, environ[SOCKET_KEY])
        except RefusalError as refusal:
            extra_headers = [(headers.ATTEMPT, attempt_id)]
            if refusal.moved_key:
                extra_headers.append((headers.MOVED_KEY, refusal.moved_key))
            return respond_refusal(
                start_response, refusal, request_id, extra_headers
            )
        except ProtocolError as error:
            self._metrics.count('peer.malformed')
            document = {'detail': str(error)}
            return respond_json(start_response, _BAD_REQUEST, document)
        extra_headers = relayprotocol.encode_response(attempt_id, response)
        return respond_relayed(start_response, response, extra_headers)

    def _decode_request(
        self,
        environ: Environ,
        fields: dict[str, str],
    ) -> relayprotocol.RelayRequest:
        body = read_body(
            environ['wsgi.input'],
            read_length(environ),
            _BODY_LIMIT_BYTES,
            whole=bool(fields.get(headers.IDEMPOTENCY_KEY)),
        )
        return relayprotocol.decode_request(
            environ['REQUEST_METHOD'],
            read_target(environ),
            fields,
            body,
            self._clock,
        )
