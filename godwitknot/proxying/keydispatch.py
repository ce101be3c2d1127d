"""Sends requests with idempotency keys to a sidecar that may run them."""

import time
from collections.abc import Callable
from urllib.parse import parse_qs

import attrs

from godwitknot.atmostonce.tickets import (
    DEFAULT_LIFETIME_SECONDS,
    Owner,
    Ticket,
    TicketIssuer,
    is_ticket,
)
from godwitknot.clock import Clock
from godwitknot.control.records import NodeRecord, NodeState, ServerState
from godwitknot.declarations.declaration import RegionRule
from godwitknot.errors import TicketError
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.proxying.balancer import Target, TargetQuery
from godwitknot.proxying.dispatch import Dispatcher, IngressRequest
from godwitknot.web.relay import RelayResponse
from godwitknot.web.wsgi import Environ

_MAX_ATTEMPTS = 4
_BACKOFF_SECONDS = 0.05
_MAX_HEIRS = 8
_CREATED = 201
_NOT_ALLOWED = 405
_ISSUE_TIMEOUT_SECONDS = 10.0

NodeFinder = Callable[[str], NodeRecord | None]


class OwnerFinder:
    """Finds the server whose sidecar may redeem an issued key."""

    def __init__(self, local_id: str, find_node: NodeFinder) -> None:
        """Create a finder over the records of a directory.

        :param local_id: id of this node.
        :param find_node: returns the record of a node by id, or ``None``.
        """
        self._local_id = local_id
        self._find_node = find_node

    def find(self, ticket: Ticket) -> Target:
        """Return the server to send a request with this key to.

        :raises RefusalError: if its owner ended without a known heir.
        """
        node = self._find_node(ticket.owner.node_id)
        if node is None or node.incarnation != ticket.owner.incarnation:
            raise _build_owner_gone_refusal()
        for _ in range(_MAX_HEIRS):
            if not node.heir:
                break
            node = self._find_node(node.heir)
            if node is None:
                raise _build_owner_gone_refusal()
        if node.state is NodeState.GONE:
            raise _build_owner_gone_refusal()
        return Target(
            node.node_id,
            node.incarnation,
            _find_server(node, ticket),
            ticket.service,
            node.peer,
            node.node_id == self._local_id,
        )


@attrs.define
class _PendingAttempts:
    """Whether an earlier attempt of a request may have run or may still run."""

    may_run: bool = False

    def finalize_refusal(self, refusal: RefusalError) -> RefusalError:
        """Return the refusal for the caller.

        "Not run" of the key's owner is only valid if no earlier attempt can
        still reach it.
        """
        if refusal.outcome is Outcome.NOT_RUN and self.may_run:
            return attrs.evolve(refusal, outcome=Outcome.MAY_HAVE_RUN)
        return refusal


class KeyDispatcher:
    """Routes requests with idempotency keys, which are safe to resend."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        issuer: TicketIssuer,
        owners: OwnerFinder,
        clock: Clock,
    ) -> None:
        """Create a dispatcher for keyed requests.

        :param owners: finds the servers for issued keys.
        """
        self._dispatcher = dispatcher
        self._issuer = issuer
        self._owners = owners
        self._clock = clock

    def run(self, incoming: IngressRequest) -> RelayResponse:
        """Run a request at most once, or replay its response.

        :raises RefusalError: with the outcome known for the key.
        """
        if is_ticket(incoming.key):
            return self._redeem(incoming)
        return self._claim(incoming)

    def issue_key(self, environ: Environ, account: str) -> tuple[int, object]:
        """Serve ``POST /.godwitknot/keys?service=S``.

        :raises RefusalError: if no server of the service is known.
        """
        if environ['REQUEST_METHOD'] != 'POST':
            return _NOT_ALLOWED, {}
        query = parse_qs(environ.get('QUERY_STRING', ''))
        service = query.get('service', [''])[0]
        target = self._dispatcher.balancer.choose(
            TargetQuery(
                service,
                repeatable=False,
                regions=RegionRule.ANY,
                tried=(),
                remaining=_ISSUE_TIMEOUT_SECONDS,
            ),
        )
        if target is None:
            raise RefusalError(Code.NO_SERVER, retry_after=1)
        owner = Owner(target.node_id, target.incarnation)
        key = self._issuer.issue(owner, target.server, service, account)
        return _CREATED, {'key': key, 'seconds': DEFAULT_LIFETIME_SECONDS}

    def _redeem(self, incoming: IngressRequest) -> RelayResponse:
        ticket = self._read_ticket(incoming.key)
        if ticket.account != incoming.account:
            raise RefusalError(Code.KEY_INVALID, Outcome.MAY_HAVE_RUN)
        pending = _PendingAttempts()
        for attempts in range(_MAX_ATTEMPTS):
            self._back_off(incoming, attempts)
            target = self._owners.find(ticket)
            try:
                return self._dispatcher.send_once(incoming, target)
            except RefusalError as refusal:
                last_refusal = refusal
            if last_refusal.moved_key:
                incoming = attrs.evolve(
                    incoming, moved_key=last_refusal.moved_key
                )
                ticket = self._read_ticket(last_refusal.moved_key)
                continue
            if last_refusal.code is Code.KEY_OWNER_GONE:
                # A node that stops may not have published its heir yet.
                continue
            if _is_from_sidecar(last_refusal, target):
                raise pending.finalize_refusal(last_refusal)
            # A resend to the owner is safe: it joins the run or replays the
            # response.
            pending.may_run = True
        raise pending.finalize_refusal(last_refusal)

    def _claim(self, incoming: IngressRequest) -> RelayResponse:
        pending = _PendingAttempts()
        tried: set[tuple[str, str]] = set()
        last_refusal = RefusalError(Code.NO_SERVER, Outcome.MAY_HAVE_RUN, 1)
        for attempts in range(_MAX_ATTEMPTS):
            self._back_off(incoming, attempts)
            target = self._choose_target(incoming, tried)
            if target is None:
                break
            tried.add(target.key)
            try:
                return self._dispatcher.send_once(incoming, target)
            except RefusalError as refusal:
                last_refusal = refusal
            if not _is_from_sidecar(last_refusal, target):
                pending.may_run = pending.may_run or _may_still_run(
                    last_refusal
                )
                last_refusal = attrs.evolve(
                    last_refusal, outcome=Outcome.MAY_HAVE_RUN
                )
                continue
            restarted = last_refusal.code is Code.WRONG_INCARNATION
            if last_refusal.outcome is not Outcome.NOT_RUN and not restarted:
                raise pending.finalize_refusal(last_refusal)
        raise pending.finalize_refusal(last_refusal)

    def _choose_target(
        self, incoming: IngressRequest, tried: set[tuple[str, str]]
    ) -> Target | None:
        remaining = incoming.deadline - self._clock.now()
        if remaining <= 0:
            return None
        return self._dispatcher.balancer.choose(
            TargetQuery(
                incoming.route.service,
                repeatable=False,
                regions=incoming.route.work.regions,
                tried=tried,
                remaining=remaining,
            ),
        )

    def _read_ticket(self, key: str) -> Ticket:
        try:
            return self._issuer.read(key)
        except TicketError as error:
            raise RefusalError(
                Code.KEY_INVALID, Outcome.MAY_HAVE_RUN, detail=str(error)
            ) from error

    def _back_off(self, incoming: IngressRequest, attempts: int) -> None:
        if not attempts:
            return
        seconds_left = incoming.deadline - self._clock.now()
        if seconds_left <= 0:
            raise RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
        time.sleep(min(seconds_left, _BACKOFF_SECONDS * attempts))


def _is_from_sidecar(refusal: RefusalError, target: Target) -> bool:
    """Return whether the sidecar refused, and not the hop to it failed."""
    return target.local or refusal.relayed


def _may_still_run(refusal: RefusalError) -> bool:
    return refusal.outcome is not Outcome.NOT_RUN


def _build_owner_gone_refusal() -> RefusalError:
    return RefusalError(Code.KEY_OWNER_GONE, Outcome.MAY_HAVE_RUN)


def _find_server(node: NodeRecord, ticket: Ticket) -> str:
    """Return the server that the key names, or another one of the service.

    The named one is also returned if the node has no server of the service.
    """
    names = [
        server.name
        for server in node.servers
        if server.service == ticket.service
        and server.state is not ServerState.GONE
    ]
    if ticket.server in names or not names:
        return ticket.server
    return names[0]
