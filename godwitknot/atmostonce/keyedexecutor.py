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

# Sends the request after it called its argument, which may refuse.
Send = Callable[[Callable[[], None]], RelayResponse]


@attrs.frozen
class Sibling:
    """A server at another node that can run a request."""

    owner: Owner
    server: str


SiblingFinder = Callable[[str], Sibling | None]


class KeyedExecutor:
    """Redeems issued keys and claims keys that callers chose."""

    def __init__(
        self,
        issuer: TicketIssuer,
        registry: IssuedKeyRegistry,
        claims: ClaimManager,
        find_sibling: SiblingFinder,
        clock: Clock,
    ) -> None:
        """Take the records.

        :param find_sibling: gives a ready server of a service elsewhere.
        """
        self._issuer = issuer
        self._registry = registry
        self._claims = claims
        self._find_sibling = find_sibling
        self._clock = clock

    def run(self, request: RelayRequest, send: Send) -> RelayResponse:
        """Run a request, join its first run, or replay its answer.

        :param send: runs it on the server.
        :raises RefusalError: with what is known about the key.
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
        found = self._claims.begin(
            ClaimRequest(
                request.account, key, request.service, digest, max_wait
            ),
        )
        if isinstance(found, StoredResponse):
            return _replay(found)
        with found:
            return self._send(found, None, send)

    def _read(self, request: RelayRequest, key: str) -> Ticket:
        try:
            ticket = self._issuer.read(key)
        except TicketError as error:
            raise RefusalError(
                Code.KEY_INVALID, Outcome.MAY_HAVE_RUN, detail=str(error)
            ) from error
        meant = (request.service, request.account)
        if (ticket.service, ticket.account) != meant:
            raise RefusalError(Code.KEY_INVALID, Outcome.MAY_HAVE_RUN)
        return ticket

    def _redeem(
        self, ticket: Ticket, digest: str, max_wait: float, send: Send
    ) -> RelayResponse:
        found = self._registry.begin(ticket, digest, max_wait)
        if isinstance(found, Moved):
            raise _moved(found.key)
        if isinstance(found, StoredResponse):
            return _replay(found)
        with found:
            return self._send(found, ticket, send)

    def _send(
        self, permit: Permit, ticket: Ticket | None, send: Send
    ) -> RelayResponse:
        try:
            answer = send(permit.before_send)
        except RefusalError as refusal:
            self._end_refused(permit, ticket, refusal)
            raise
        return _keep(permit, answer)

    def _end_refused(
        self, permit: Permit, ticket: Ticket | None, refusal: RefusalError
    ) -> None:
        """End a run without an answer; may transfer its right.

        :raises RefusalError: if the right was transferred.
        """
        if refusal.outcome is not Outcome.NOT_RUN:
            if permit.sent:
                lost = StoredResponse(
                    outcome=refusal.outcome, code=refusal.code
                )
                permit.finish(lost)
            return
        # A permit that is not ended otherwise is released by its context,
        # which would take a shed request for one that was sent.
        if ticket is None or ticket.moved or refusal.code is Code.CANCELLED:
            permit.release()
            return
        sibling = self._find_sibling(ticket.service)
        if sibling is None:
            permit.release()
            return
        key = self._issuer.move(ticket, sibling.owner, sibling.server)
        permit.move(key)
        raise _moved(key) from refusal


def _moved(key: str) -> RefusalError:
    return RefusalError(Code.KEY_MOVED, Outcome.MAY_HAVE_RUN, moved_key=key)


def _keep(permit: Permit, answer: RelayResponse) -> RelayResponse:
    """Record an answer; a small one is read whole before it is passed on.

    The record is then complete even if the caller has left.
    """
    recorder = ResponseRecorder(answer.status, answer.headers)
    parts = []
    total = 0
    try:
        for chunk in answer.chunks:
            parts.append(chunk)
            total += len(chunk)
            recorder.feed(chunk)
            if total > MAX_STORED_BODY_BYTES:
                permit.finish(NOT_KEPT_RESPONSE)
                chunks = itertools.chain(parts, answer.chunks)
                return attrs.evolve(answer, chunks=chunks)
    except ProtocolError as error:
        answer.close()
        cut = StoredResponse(outcome=Outcome.MAY_HAVE_RUN, code=Code.BAD_ANSWER)
        permit.finish(cut)
        raise RefusalError(Code.BAD_ANSWER, Outcome.MAY_HAVE_RUN) from error
    answer.close()
    permit.finish(recorder.complete())
    length = total if answer.length is None else answer.length
    return attrs.evolve(answer, chunks=iter(parts), length=length)


def _replay(answer: StoredResponse) -> RelayResponse:
    return RelayResponse(
        status=answer.status,
        reason='',
        headers=list(answer.headers),
        chunks=iter([answer.body]),
        length=len(answer.body),
        close=_hold_nothing,
        outcome=answer.outcome,
    )


def _hold_nothing() -> None:
    """Release nothing."""
