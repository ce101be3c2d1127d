"""Sends requests with idempotency keys to the sidecar that may run them."""

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

_MOST_SENDS = 4
_PAUSE_SECONDS = 0.05
_MOST_HEIRS = 8
_CREATED = 201
_NOT_ALLOWED = 405
_ISSUE_PATIENCE_SECONDS = 10.0

NodeFinder = Callable[[str], NodeRecord | None]


class OwnerFinder:
    """Finds the process that may redeem an issued key."""

    def __init__(self, own_id: str, find_node: NodeFinder) -> None:
        """Use the directory.

        :param own_id: id of this node.
        :param find_node: gives the record of a node by id.
        """
        self._own_id = own_id
        self._find_node = find_node

    def find(self, ticket: Ticket) -> Target:
        """Give the server to send a request with this key to.

        :raises RefusalError: if its owner ended without a known heir.
        """
        node = self._find_node(ticket.owner.node_id)
        if node is None or node.incarnation != ticket.owner.incarnation:
            raise _owner_gone()
        for _ in range(_MOST_HEIRS):
            if not node.heir:
                break
            node = self._find_node(node.heir)
            if node is None:
                raise _owner_gone()
        if node.state is NodeState.GONE:
            raise _owner_gone()
        return Target(
            node.node_id,
            node.incarnation,
            _find_server(node, ticket),
            ticket.service,
            node.peer,
            node.node_id == self._own_id,
        )


@attrs.define
class _Doubt:
    """Whether an attempt of this request may still arrive and run."""

    present: bool = False

    def conclude(self, refusal: RefusalError) -> RefusalError:
        """Give the refusal for the caller.

        Only the owner of the key knows that it did not run, and only if
        no attempt is still on its way.
        """
        if refusal.outcome is Outcome.NOT_RUN and self.present:
            return attrs.evolve(refusal, outcome=Outcome.MAY_HAVE_RUN)
        return refusal


class KeyDispatcher:
    """Routes requests with idempotency keys; repeats are safe here."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        issuer: TicketIssuer,
        owners: OwnerFinder,
        clock: Clock,
    ) -> None:
        """Take the collaborators."""
        self._dispatcher = dispatcher
        self._issuer = issuer
        self._owners = owners
        self._clock = clock

    def run(self, incoming: IngressRequest) -> RelayResponse:
        """Run a request at most once, or learn what became of it.

        :raises RefusalError: with what is known about the key.
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
                remaining=_ISSUE_PATIENCE_SECONDS,
            ),
        )
        if target is None:
            raise RefusalError(Code.NO_SERVER, retry_after=1)
        owner = Owner(target.node_id, target.incarnation)
        key = self._issuer.issue(owner, target.server, service, account)
        return _CREATED, {'key': key, 'seconds': DEFAULT_LIFETIME_SECONDS}

    def _redeem(self, incoming: IngressRequest) -> RelayResponse:
        ticket = self._read(incoming.key)
        if ticket.account != incoming.account:
            raise RefusalError(Code.KEY_INVALID, Outcome.MAY_HAVE_RUN)
        doubt = _Doubt()
        for sends in range(_MOST_SENDS):
            self._pause(incoming, sends)
            target = self._owners.find(ticket)
            try:
                return self._dispatcher.send_once(incoming, target)
            except RefusalError as refusal:
                last = refusal
            if last.moved_key:
                incoming = attrs.evolve(incoming, moved_key=last.moved_key)
                ticket = self._read(last.moved_key)
                continue
            if last.code is Code.KEY_OWNER_GONE:
                # A node that stops names its heir a moment later.
                continue
            if _is_certain(last, target):
                raise doubt.conclude(last)
            # The owner can be asked again: it joins or replays.
            doubt.present = True
        raise doubt.conclude(last)

    def _claim(self, incoming: IngressRequest) -> RelayResponse:
        doubt = _Doubt()
        tried: set[tuple[str, str]] = set()
        last = RefusalError(Code.NO_SERVER, Outcome.MAY_HAVE_RUN, 1)
        for sends in range(_MOST_SENDS):
            self._pause(incoming, sends)
            target = self._choose(incoming, tried)
            if target is None:
                break
            tried.add(target.key)
            try:
                return self._dispatcher.send_once(incoming, target)
            except RefusalError as refusal:
                last = refusal
            if not _is_certain(last, target):
                doubt.present = doubt.present or _may_arrive(last)
                last = attrs.evolve(last, outcome=Outcome.MAY_HAVE_RUN)
                continue
            restarted = last.code is Code.WRONG_INCARNATION
            if last.outcome is not Outcome.NOT_RUN and not restarted:
                raise doubt.conclude(last)
        raise doubt.conclude(last)

    def _choose(
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

    def _read(self, key: str) -> Ticket:
        try:
            return self._issuer.read(key)
        except TicketError as error:
            raise RefusalError(
                Code.KEY_INVALID, Outcome.MAY_HAVE_RUN, detail=str(error)
            ) from error

    def _pause(self, incoming: IngressRequest, sends: int) -> None:
        if not sends:
            return
        left = incoming.deadline - self._clock.now()
        if left <= 0:
            raise RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
        time.sleep(min(left, _PAUSE_SECONDS * sends))


def _is_certain(refusal: RefusalError, target: Target) -> bool:
    """Tell whether the sidecar itself refused, not the way to it."""
    return target.local or refusal.relayed


def _may_arrive(refusal: RefusalError) -> bool:
    return refusal.outcome is not Outcome.NOT_RUN


def _owner_gone() -> RefusalError:
    return RefusalError(Code.KEY_OWNER_GONE, Outcome.MAY_HAVE_RUN)


def _find_server(node: NodeRecord, ticket: Ticket) -> str:
    """Prefer the server that the key names, if it is still there."""
    names = [
        server.name
        for server in node.servers
        if server.service == ticket.service
        and server.state is not ServerState.GONE
    ]
    if ticket.server in names or not names:
        return ticket.server
    return names[0]
