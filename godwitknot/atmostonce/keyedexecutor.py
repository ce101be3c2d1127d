"""Runs requests with idempotency keys at a sidecar, each at most once."""

import itertools
from collections.abc import Callable

import attrs

from godwitknot.atmostonce.claimrows import ClaimRequest
from godwitknot.atmostonce.claims import ClaimManager
from godwitknot.atmostonce.issuedkeys import IssuedKeyRegistry, Moved
from godwitknot.atmostonce.runs import (
    MAX_STORED_BODY_BYTES,
    NOT_KEPT_RESPONSE,
    Permit,
    ResponseRecorder,
    StoredResponse,
    digest_request,
)
from godwitknot.atmostonce.tickets import Owner, Ticket, TicketIssuer, is_ticket
from godwitknot.clock import Clock
from godwitknot.errors import ProtocolError, TicketError
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.web.relay import BufferedBody, RelayRequest, RelayResponse

# Calls its argument right before it sends the request; the argument raises a
# RefusalError if the request may no longer be sent.
SendRequest = Callable[[Callable[[], None]], RelayResponse]


@attrs.frozen
class Sibling:
    """A server at another node that can run a request."""

    owner: Owner
    server: str


SiblingFinder = Callable[[str], Sibling | None]


class KeyedExecutor:
    """Runs keyed requests: redeems issued keys, claims caller-chosen ones."""

    def __init__(
        self,
        issuer: TicketIssuer,
        registry: IssuedKeyRegistry,
        claims: ClaimManager,
        find_sibling: SiblingFinder,
        clock: Clock,
    ) -> None:
        """Create an executor.

        :param find_sibling: returns a ready server of a service at another
            node, or ``None``.
        """
        self._issuer = issuer
        self._registry = registry
        self._claims = claims
        self._find_sibling = find_sibling
        self._clock = clock

    def run(self, request: RelayRequest, send: SendRequest) -> RelayResponse:
        """Run a request, join its first run, or replay its response.

        :param send: sends the request to the server.
        :raises RefusalError: with the outcome known for the key.
        """
        if not isinstance(request.body, BufferedBody):
            raise RefusalError(Code.BODY_TOO_LARGE, Outcome.MAY_HAVE_RUN)
        digest = digest_request(
            request.method, request.target, request.body.content
        )
        max_wait = request.deadline - self._clock.now()
        key = request.moved_key or request.key
        if is_ticket(key):
            return self._redeem(
                self._read(request, key), digest, max_wait, send
            )
        begun = self._claims.begin(
            ClaimRequest(
                request.account, key, request.service, digest, max_wait
            ),
        )
        if isinstance(begun, StoredResponse):
            return _replay(begun)
        with begun:
            return self._send(begun, None, send)

    def _read(self, request: RelayRequest, key: str) -> Ticket:
        try:
            ticket = self._issuer.read(key)
        except TicketError as error:
            raise RefusalError(
                Code.KEY_INVALID, Outcome.MAY_HAVE_RUN, detail=str(error)
            ) from error
        expected = (request.service, request.account)
        if (ticket.service, ticket.account) != expected:
            raise RefusalError(Code.KEY_INVALID, Outcome.MAY_HAVE_RUN)
        return ticket

    def _redeem(
        self, ticket: Ticket, digest: str, max_wait: float, send: SendRequest
    ) -> RelayResponse:
        begun = self._registry.begin(ticket, digest, max_wait)
        if isinstance(begun, Moved):
            raise _build_moved_refusal(begun.key)
        if isinstance(begun, StoredResponse):
            return _replay(begun)
        with begun:
            return self._send(begun, ticket, send)

    def _send(
        self, permit: Permit, ticket: Ticket | None, send: SendRequest
    ) -> RelayResponse:
        try:
            response = send(permit.before_send)
        except RefusalError as refusal:
            self._end_unanswered(permit, ticket, refusal)
            raise
        return _record_response(permit, response)

    def _end_unanswered(
        self, permit: Permit, ticket: Ticket | None, refusal: RefusalError
    ) -> None:
        """End a run that was refused, or transfer its right to a sibling.

        :raises RefusalError: if the right was transferred.
        """
        if refusal.outcome is not Outcome.NOT_RUN:
            if permit.sent:
                unanswered = StoredResponse(
                    outcome=refusal.outcome, code=refusal.code
                )
                permit.finish(unanswered)
            return
        # The context of an open permit would record a lost response, since
        # a shed request counts as sent. So the permit is ended here.
        if ticket is None or ticket.moved or refusal.code is Code.CANCELLED:
            permit.release()
            return
        sibling = self._find_sibling(ticket.service)
        if sibling is None:
            permit.release()
            return
        key = self._issuer.move(ticket, sibling.owner, sibling.server)
        permit.move(key)
        raise _build_moved_refusal(key) from refusal


def _build_moved_refusal(key: str) -> RefusalError:
    return RefusalError(Code.KEY_MOVED, Outcome.MAY_HAVE_RUN, moved_key=key)


def _record_response(permit: Permit, response: RelayResponse) -> RelayResponse:
    """Record a response; a small one is read whole before it is forwarded.

    The record is then complete even if the caller has disconnected.
    """
    recorder = ResponseRecorder(response.status, response.headers)
    parts = []
    body_bytes = 0
    try:
        for chunk in response.chunks:
            parts.append(chunk)
            body_bytes += len(chunk)
            recorder.feed(chunk)
            if body_bytes > MAX_STORED_BODY_BYTES:
                permit.finish(NOT_KEPT_RESPONSE)
                chunks = itertools.chain(parts, response.chunks)
                return attrs.evolve(response, chunks=chunks)
    except ProtocolError as error:
        response.close()
        truncated = StoredResponse(
            outcome=Outcome.MAY_HAVE_RUN, code=Code.BAD_ANSWER
        )
        permit.finish(truncated)
        raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN) from error
    response.close()
    permit.finish(recorder.complete())
    length = body_bytes if response.length is None else response.length
    return attrs.evolve(response, chunks=iter(parts), length=length)


def _replay(response: StoredResponse) -> RelayResponse:
    return RelayResponse(
        status=response.status,
        reason='',
        headers=list(response.headers),
        chunks=iter([response.body]),
        length=len(response.body),
        close=_ignore_close,
        outcome=response.outcome,
    )


def _ignore_close() -> None:
    """Do nothing; a replayed response holds no connection."""
