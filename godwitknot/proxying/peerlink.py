"""HTTP client for the peer ports of other nodes."""

import collections
import contextlib
import functools
import json
import socket
import threading
from collections.abc import Iterator

from urllib3.response import HTTPResponse

from godwitknot.clock import Clock
from godwitknot.errors import GodwitknotError, ProtocolError
from godwitknot.keys import FleetKeys
from godwitknot.metrics import Metrics
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.proxying.attempts import AttemptState
from godwitknot.units import Address
from godwitknot.web import headers, relayprotocol
from godwitknot.web.connections import ChannelPool, ConnectFailedError
from godwitknot.web.exchange import (
    Call,
    CallerLeftError,
    Exchange,
    ExchangeError,
    read_response_headers,
    read_response_length,
)
from godwitknot.web.relay import (
    BufferedBody,
    RelayRequest,
    RelayResponse,
    parse_load,
)
from godwitknot.web.wsgi import INTERNAL_PATH_PREFIX

_MAX_IDLE_CONNECTIONS = 32
_OK = 200
_MILLISECONDS = 1000
# Time without a response after which the sidecar is asked for the state of
# the attempt, and the time limit of that call.
_INQUIRY_INTERVAL_SECONDS = 1.0
_CONTROL_TIMEOUT_SECONDS = 2.0
# Half of the time for which a sidecar remembers an attempt.
_STATE_VALID_SECONDS = 60.0


class LinkError(GodwitknotError):
    """A node could not be reached, or sent no valid reply."""


class _LostHopError(ExchangeError):
    """The sidecar has no running attempt of the request sent to it."""


class PeerLink:
    """Relays requests and control calls to other nodes."""

    def __init__(
        self,
        keys: FleetKeys,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a client without open connections.

        :param keys: fleet keys that sign each request.
        """
        self._keys = keys
        self._clock = clock
        self._metrics = metrics
        self._pools: dict[Address, ChannelPool] = {}
        self._lock = threading.Lock()

    def relay(
        self,
        address: Address,
        request: RelayRequest,
        caller: socket.socket | None,
    ) -> RelayResponse:
        """Run a request through the sidecar at an address.

        :param caller: socket to watch for a disconnect, or ``None``.
        :raises RefusalError: by the sidecar, or if it cannot be reached.
        """
        pool = self._find_pool(address)
        try:
            channel = pool.acquire()
        except ConnectFailedError as error:
            raise RefusalError(Code.LINK_DOWN) from error
        exchange = Exchange(pool, channel, self._clock)
        call = Call(
            request.method,
            request.target,
            relayprotocol.encode_request(request, self._keys, self._clock),
            request.body,
            request.deadline,
            caller,
        )
        sent_at = self._clock.now()
        inquire = functools.partial(
            self._check_attempt, address, request, sent_at
        )
        try:
            exchange.send(call)
            response = exchange.wait(call, _INQUIRY_INTERVAL_SECONDS, inquire)
        except ProtocolError as error:
            raise RefusalError(
                Code.BAD_REQUEST,
                Outcome.MAY_HAVE_RUN,
                detail=str(error),
            ) from error
        except ExchangeError as error:
            raise self._build_refusal(
                address, request, sent_at, error
            ) from error
        return self._decode_response(exchange, request, response)

    def call(
        self,
        address: Address,
        name: str,
        document: object = None,
        timeout: float = _CONTROL_TIMEOUT_SECONDS,
    ) -> object:
        """Call a control handler of another node.

        :param name: handler, as in ``/.godwitknot/NAME``.
        :param document: JSON document to post, ``None`` to get.
        :param timeout: seconds.
        :returns: the JSON document of the reply.
        :raises LinkError: if there is no valid reply.
        """
        target = f'{INTERNAL_PATH_PREFIX}{name}'
        method = 'GET' if document is None else 'POST'
        content = b'' if document is None else json.dumps(document).encode()
        body = BufferedBody(content)
        fields = {headers.BODY_DIGEST: body.digest}
        mac = relayprotocol.sign_fields(self._keys, method, target, fields)
        pool = self._find_pool(address)
        call = Call(
            method,
            target,
            [*fields.items(), (headers.MAC, mac)],
            body,
            self._clock.now() + timeout,
        )
        try:
            return json.loads(self._fetch(pool, call))
        except (OSError, GodwitknotError, ValueError) as error:
            raise LinkError(f'{address}: {error}') from error

    def _fetch(self, pool: ChannelPool, call: Call) -> bytes:
        # Control calls always open a new connection, since a pooled one may
        # be as unresponsive as the connection that they ask about.
        exchange = Exchange(pool, pool.acquire(fresh=True), self._clock)
        exchange.send(call)
        seconds = call.deadline - self._clock.now()
        response = exchange.wait(call, seconds, _keep_waiting)
        content = b''.join(exchange.chunks(call.method))
        if response.status != _OK:
            raise LinkError(f'status {response.status}')
        return content

    def _find_pool(self, address: Address) -> ChannelPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = ChannelPool(address, self._clock, _MAX_IDLE_CONNECTIONS)
                self._pools[address] = pool
            return pool

    def _check_attempt(
        self, address: Address, request: RelayRequest, sent_at: float
    ) -> None:
        """Stop waiting for a response if the sidecar has no running attempt.

        :raises _LostHopError: if it has none, or if its state is unknown
            and the request may be repeated.
        """
        state = self._fetch_attempt_state(address, request, sent_at)
        if state is AttemptState.RUNNING:
            return
        if state is None and request.tag.never_repeat:
            return
        self._metrics.count('ingress.lost_hops')
        self._find_pool(address).close_idle()
        raise _LostHopError(str(state))

    def _build_refusal(
        self,
        address: Address,
        request: RelayRequest,
        sent_at: float,
        error: ExchangeError,
    ) -> RefusalError:
        if isinstance(error, CallerLeftError):
            return RefusalError(Code.CANCELLED, Outcome.MAY_HAVE_RUN)
        if (
            self._fetch_attempt_state(address, request, sent_at)
            is AttemptState.NOT_RUN
        ):
            return RefusalError(Code.LINK_LOST)
        timed_out = self._clock.now() >= request.deadline
        code = Code.DEADLINE_PASSED if timed_out else Code.LINK_LOST
        return RefusalError(code, Outcome.MAY_HAVE_RUN)

    def _fetch_attempt_state(
        self,
        address: Address,
        request: RelayRequest,
        sent_at: float,
    ) -> AttemptState | None:
        name = f'attempts/{request.incarnation}/{request.attempt_id}'
        try:
            document = self.call(
                address, name, timeout=_INQUIRY_INTERVAL_SECONDS
            )
            state = AttemptState(document['state'])
        except (LinkError, LookupError, ValueError):
            return None
        # If this node was paused, the sidecar may have forgotten an attempt
        # that ran, and it reports an unknown attempt as "not run".
        if self._clock.now() - sent_at > _STATE_VALID_SECONDS:
            return None
        return state

    def _decode_response(
        self,
        exchange: Exchange,
        request: RelayRequest,
        response: HTTPResponse,
    ) -> RelayResponse:
        fields = response.headers
        attempt_id = fields.get(headers.ATTEMPT)
        # A response to another request must not reach any caller.
        if attempt_id != request.attempt_id:
            exchange.abort()
            self._metrics.count('ingress.mismatched_answers')
            raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN)
        try:
            refusal = relayprotocol.decode_refusal(fields)
            outcome = Outcome(fields.get(headers.OUTCOME, ''))
            length = read_response_length(response)
        except (ProtocolError, ValueError) as error:
            exchange.abort()
            raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN) from error
        chunks = exchange.chunks(request.method)
        if refusal is not None:
            _drain(chunks)
            raise refusal
        server_ms = fields.get(headers.SERVER_MS)
        return RelayResponse(
            status=response.status,
            reason=response.reason or '',
            headers=headers.strip_internal(read_response_headers(response)),
            chunks=chunks,
            length=length,
            close=exchange.abort,
            outcome=outcome,
            load=parse_load(fields.get(headers.LOAD, '')),
            server_seconds=int(server_ms or 0) / _MILLISECONDS,
        )


def _drain(chunks: Iterator[bytes]) -> None:
    """Read a small body to its end, so that the connection can be reused."""
    with contextlib.suppress(ProtocolError):
        collections.deque(chunks, maxlen=0)


def _keep_waiting() -> None:
    """Continue to wait until the deadline."""
