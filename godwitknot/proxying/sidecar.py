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
        """Take the servers.

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

        :param caller: socket to watch, or ``None``.
        :raises RefusalError: with what is known about the execution.
        """
        server = self._find_server(request)
        if not self._attempts.begin(request.attempt_id):
            raise RefusalError(Code.CONNECTION_LOST, Outcome.MAY_HAVE_RUN)
        self._metrics.count('sidecar.requests')
        try:
            answer = self._run(server, request, caller)
        except RefusalError as refusal:
            not_run = refusal.outcome is Outcome.NOT_RUN
            state = AttemptState.NOT_RUN if not_run else AttemptState.ENDED
            self._attempts.end(request.attempt_id, state)
            self._metrics.count(f'sidecar.refused.{refusal.code}')
            raise
        close = functools.partial(
            self._end,
            request.attempt_id,
            answer.close,
        )
        return attrs.evolve(answer, close=close)

    def resolve_attempt(self, name: str) -> AttemptState:
        """Tell the state of an attempt whose hop was lost.

        :param name: incarnation that it was sent to, a slash and its id.
        """
        incarnation, _, attempt_id = name.partition('/')
        if incarnation != str(self._incarnation):
            # An earlier process may have run it.
            return AttemptState.ENDED
        return self._attempts.resolve_attempt(attempt_id)

    def _run(
        self,
        server: Supervisor,
        request: RelayRequest,
        caller: socket.socket | None,
    ) -> RelayResponse:
        # A request that may not run twice runs to its end, so that a resend
        # gets its answer.
        if not request.tag.never_repeat:
            return self._send(server, request, caller, _always_send)
        if self._keyed_executor is None or not request.key:
            raise RefusalError(Code.NOT_READY, Outcome.MAY_HAVE_RUN)
        send = functools.partial(self._send, server, request, None)
        answer = self._keyed_executor.run(request, send)
        return attrs.evolve(answer, load=server.load())

    def _send(
        self,
        server: Supervisor,
        request: RelayRequest,
        caller: socket.socket | None,
        check_send: Callable[[], None],
    ) -> RelayResponse:
        server.admit(request)
        try:
            answer = server.upstream.run(request, caller, check_send)
        except RefusalError as refusal:
            unsent = refusal.code is Code.CLAIM_LAPSED
            if unsent or refusal.outcome is Outcome.NOT_RUN:
                server.health.record_unsent()
            raise
        return attrs.evolve(answer, load=server.load())

    def _find_server(self, request: RelayRequest) -> Supervisor:
        server = self._servers.get(request.server)
        current = request.incarnation == self._incarnation
        if current and server is not None:
            if server.upstream.section.service == request.service:
                return server
        # Another process may have run a request of this key.
        keyed = bool(request.key)
        outcome = Outcome.MAY_HAVE_RUN if keyed else Outcome.NOT_RUN
        raise RefusalError(Code.WRONG_INCARNATION, outcome)

    def _end(self, attempt_id: str, close: Callable[[], None]) -> None:
        close()
        self._attempts.end(attempt_id, AttemptState.ENDED)


def _always_send() -> None:
    """Let a request go that needs no claim."""
