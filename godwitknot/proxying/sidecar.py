"""The sidecar role: the only path to the backend servers of an instance."""

import functools
import socket
from collections.abc import Callable, Mapping

import attrs

from godwitknot.atmostonce.keyedexecutor import KeyedExecutor
from godwitknot.metrics import Metrics
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.proxying.attempts import AttemptLog, AttemptState
from godwitknot.servers.supervisor import Supervisor
from godwitknot.web.relay import RelayRequest, RelayResponse


class Sidecar:
    """Admits requests to the servers of this instance and runs them."""

    def __init__(
        self,
        incarnation: int,
        servers: Mapping[str, Supervisor],
        attempts: AttemptLog,
        metrics: Metrics,
        keyed_executor: KeyedExecutor | None = None,
    ) -> None:
        """Create a sidecar.

        :param incarnation: of this node.
        :param servers: by name.
        :param keyed_executor: runs requests of never-repeat classes, which
            are refused without it.
        """
        self._incarnation = incarnation
        self._servers = servers
        self._attempts = attempts
        self._metrics = metrics
        self._keyed_executor = keyed_executor

    def relay(
        self,
        request: RelayRequest,
        caller: socket.socket | None,
    ) -> RelayResponse:
        """Run a request on the server that it names.

        :param caller: socket to watch for a disconnect, or ``None``.
        :raises RefusalError: with the known outcome of the request.
        """
        server = self._find_server(request)
        if not self._attempts.begin(request.attempt_id):
            raise RefusalError(Code.CONNECTION_LOST, Outcome.MAY_HAVE_RUN)
        self._metrics.count('sidecar.requests')
        try:
            response = self._run(server, request, caller)
        except RefusalError as refusal:
            not_run = refusal.outcome is Outcome.NOT_RUN
            state = AttemptState.NOT_RUN if not_run else AttemptState.ENDED
            self._attempts.end(request.attempt_id, state)
            self._metrics.count(f'sidecar.refused.{refusal.code}')
            raise
        close = functools.partial(
            self._close_response,
            request.attempt_id,
            response.close,
        )
        return attrs.evolve(response, close=close)

    def resolve_attempt(self, name: str) -> AttemptState:
        """Return the state of an attempt whose hop was lost.

        An unknown attempt is fenced, so that it will not run later.

        :param name: incarnation that it was sent to, a slash and its id.
        """
        incarnation, _, attempt_id = name.partition('/')
        if incarnation != str(self._incarnation):
            # The earlier process of this node may have run it.
            return AttemptState.ENDED
        return self._attempts.resolve_attempt(attempt_id)

    def _run(
        self,
        server: Supervisor,
        request: RelayRequest,
        caller: socket.socket | None,
    ) -> RelayResponse:
        # A request that must not run twice is not cancelled if its caller
        # disconnects, so that a resend gets its response.
        if not request.tag.never_repeat:
            return self._send(server, request, caller, _check_nothing)
        if self._keyed_executor is None or not request.key:
            raise RefusalError(Code.NOT_READY, Outcome.MAY_HAVE_RUN)
        send = functools.partial(self._send, server, request, None)
        response = self._keyed_executor.run(request, send)
        return attrs.evolve(response, load=server.load())

    def _send(
        self,
        server: Supervisor,
        request: RelayRequest,
        caller: socket.socket | None,
        check_send: Callable[[], None],
    ) -> RelayResponse:
        server.admit(request)
        try:
            response = server.upstream.run(request, caller, check_send)
        except RefusalError as refusal:
            claim_lapsed = refusal.code is Code.CLAIM_LAPSED
            if claim_lapsed or refusal.outcome is Outcome.NOT_RUN:
                server.health.record_unsent()
            raise
        return attrs.evolve(response, load=server.load())

    def _find_server(self, request: RelayRequest) -> Supervisor:
        server = self._servers.get(request.server)
        is_current = request.incarnation == self._incarnation
        if is_current and server is not None:
            if server.upstream.section.service == request.service:
                return server
        # Another process may have run a request with this key.
        has_key = bool(request.key)
        outcome = Outcome.MAY_HAVE_RUN if has_key else Outcome.NOT_RUN
        raise RefusalError(Code.WRONG_INCARNATION, outcome)

    def _close_response(
        self, attempt_id: str, close: Callable[[], None]
    ) -> None:
        close()
        self._attempts.end(attempt_id, AttemptState.ENDED)


def _check_nothing() -> None:
    """Allow the send of a request that needs no claim."""
