"""Sends requests from an ingress to the sidecars of other nodes."""

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

_MOST_IDLE = 32
_OK = 200
_MILLISECONDS = 1000
# Silence after which a sidecar is asked whether it has the request.
_INQUIRY_SECONDS = 1.0
_CONTROL_SECONDS = 2.0
# Half of the time for which a sidecar remembers an attempt.
_TRUSTED_SECONDS = 60.0


class LinkError(GodwitknotError):
    """A node could not be reached, or gave no valid answer."""


class _LostHopError(ExchangeError):
    """The sidecar does not have the request that was sent to it."""


class PeerLink:
    """Connections to the peer ports of other nodes."""

    def __init__(
        self,
        keys: FleetKeys,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start without connections."""
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

        :param caller: socket to watch, or ``None``.
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
        sent = self._clock.now()
        inquire = functools.partial(self._inquire, address, request, sent)
        try:
            exchange.send(call)
            response = exchange.wait(call, _INQUIRY_SECONDS, inquire)
        except ProtocolError as error:
            raise RefusalError(
                Code.BAD_REQUEST,
                Outcome.MAY_HAVE_RUN,
                detail=str(error),
            ) from error
        except ExchangeError as error:
            raise self._settle(address, request, sent, error) from error
        return self._decode(exchange, request, response)

    def call(
        self,
        address: Address,
        name: str,
        document: object = None,
        timeout: float = _CONTROL_SECONDS,
    ) -> object:
        """Ask another node for something outside the relay path.

        :param name: handler, as in ``/.godwitknot/NAME``.
        :param document: JSON document to post, ``None`` to get.
        :param timeout: seconds.
        :returns: the JSON document of the answer.
        :raises LinkError: if there is no valid answer.
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
        # Connections for control are not pooled, so that a silent one
        # cannot delay the question whether another one is silent.
        exchange = Exchange(pool, pool.acquire(fresh=True), self._clock)
        exchange.send(call)
        seconds = call.deadline - self._clock.now()
        response = exchange.wait(call, seconds, _ignore_silence)
        content = b''.join(exchange.chunks(call.method))
        if response.status != _OK:
            raise LinkError(f'status {response.status}')
        return content

    def _find_pool(self, address: Address) -> ChannelPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = ChannelPool(address, self._clock, _MOST_IDLE)
                self._pools[address] = pool
            return pool

    def _inquire(
        self, address: Address, request: RelayRequest, sent: float
    ) -> None:
        """Give up waiting if the sidecar does not have the request."""
        state = self._ask_state(address, request, sent)
        if state is AttemptState.RUNNING:
            return
        if state is None and request.tag.never_repeat:
            return
        self._metrics.count('ingress.lost_hops')
        self._find_pool(address).close_idle()
        raise _LostHopError(str(state))

    def _settle(
        self,
        address: Address,
        request: RelayRequest,
        sent: float,
        error: ExchangeError,
    ) -> RefusalError:
        if isinstance(error, CallerLeftError):
            return RefusalError(Code.CANCELLED, Outcome.MAY_HAVE_RUN)
        if self._ask_state(address, request, sent) is AttemptState.NOT_RUN:
            return RefusalError(Code.LINK_LOST)
        late = self._clock.now() >= request.deadline
        code = Code.DEADLINE_PASSED if late else Code.LINK_LOST
        return RefusalError(code, Outcome.MAY_HAVE_RUN)

    def _ask_state(
        self,
        address: Address,
        request: RelayRequest,
        sent: float,
    ) -> AttemptState | None:
        name = f'attempts/{request.incarnation}/{request.attempt_id}'
        try:
            document = self.call(address, name, timeout=_INQUIRY_SECONDS)
            state = AttemptState(document['state'])
        except (LinkError, LookupError, ValueError):
            return None
        # After a pause of this node the sidecar may have forgotten an
        # attempt that ran, and it takes an unknown one for not run.
        if self._clock.now() - sent > _TRUSTED_SECONDS:
            return None
        return state

    def _decode(
        self,
        exchange: Exchange,
        request: RelayRequest,
        response: HTTPResponse,
    ) -> RelayResponse:
        fields = response.headers
        attempt_id = fields.get(headers.ATTEMPT)
        # An answer to another request must reach nobody.
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
    """Read a small body to its end, so that the connection is reused."""
    with contextlib.suppress(ProtocolError):
        collections.deque(chunks, maxlen=0)


def _ignore_silence() -> None:
    """Wait on until the deadline."""
