"""Issued idempotency keys: signed rights to run one request at one sidecar."""

import base64
import binascii
import json
import secrets

import attrs
import cattrs

from godwitknot.clock import Clock
from godwitknot.errors import TicketError, VerificationError
from godwitknot.keys import FleetKeys

# A key with this prefix is taken for an issued one, so caller-chosen keys
# must not start with it.
TICKET_PREFIX = 'gk1.'
DEFAULT_LIFETIME_SECONDS = 1800.0
MAX_TICKET_CHARACTERS = 2048
_NONCE_BYTES = 12
_PART_COUNT = 3
# Domain separation: a MAC of another kind of text is not valid for a ticket.
_MAC_CONTEXT = b'ticket\x00'


@attrs.frozen
class Owner:
    """A process of a node; a later process has a larger incarnation."""

    node_id: str
    incarnation: int


@attrs.frozen
class Ticket:
    """Content of an issued key.

    :param owner: the only process that may redeem it, or its heir.
    :param server: server that is tried first.
    :param expires: wall-clock seconds.
    :param nonce: unique; a transferred ticket keeps it.
    :param moved: whether the right was transferred, which is allowed once.
    """

    owner: Owner
    server: str
    service: str
    account: str
    expires: float
    nonce: str
    moved: bool = False


class TicketIssuer:
    """Issues and verifies tickets, signed with the fleet keys."""

    def __init__(self, keys: FleetKeys, clock: Clock) -> None:
        """Create an issuer.

        :param keys: fleet keys that sign and verify the tickets.
        :param clock: wall clock for the expiry.
        """
        self._keys = keys
        self._clock = clock

    def issue(
        self,
        owner: Owner,
        server: str,
        service: str,
        account: str,
        lifetime: float = DEFAULT_LIFETIME_SECONDS,
    ) -> str:
        """Issue a key in its text form.

        :param lifetime: seconds until it expires.
        :returns: letters, digits, ``.``, ``-`` and ``_`` only.
        """
        expires = self._clock.wall() + lifetime
        nonce = secrets.token_urlsafe(_NONCE_BYTES)
        return self._sign(
            Ticket(owner, server, service, account, expires, nonce),
        )

    def move(self, ticket: Ticket, owner: Owner, server: str) -> str:
        """Issue the key that transfers the right of a ticket.

        :param owner: process that the right goes to.
        :raises TicketError: if it was transferred before.
        """
        if ticket.moved:
            raise TicketError('the right to run was already transferred')
        return self._sign(
            attrs.evolve(ticket, owner=owner, server=server, moved=True),
        )

    def read(self, text: str) -> Ticket:
        """Verify a key and return its content.

        :raises TicketError: if it is malformed, forged or expired.
        """
        ticket = self._verify(text)
        if ticket.expires <= self._clock.wall():
            raise TicketError('expired')
        return ticket

    def _sign(self, ticket: Ticket) -> str:
        document = json.dumps(cattrs.unstructure(ticket)).encode()
        mac = self._keys.sign(_MAC_CONTEXT + document)
        key_id = self._keys.current.encode()
        parts = (_encode(part) for part in (key_id, document, mac))
        return TICKET_PREFIX + '.'.join(parts)

    def _verify(self, text: str) -> Ticket:
        key_id, document, mac = _split(text)
        try:
            self._keys.verify(
                key_id.decode(errors='replace'), _MAC_CONTEXT + document, mac
            )
        except VerificationError as invalid_signature:
            raise TicketError(
                'invalid signature, or its fleet key was removed'
            ) from invalid_signature
        return cattrs.structure(json.loads(document), Ticket)


def is_ticket(text: str) -> bool:
    """Return whether a key was issued, and not chosen by the caller."""
    return text.startswith(TICKET_PREFIX)


def _split(text: str) -> list[bytes]:
    parts = text.removeprefix(TICKET_PREFIX).split('.')
    if not is_ticket(text) or len(parts) != _PART_COUNT:
        raise TicketError('malformed')
    if len(text) > MAX_TICKET_CHARACTERS:
        raise TicketError('key is too long')
    try:
        return [_decode(part) for part in parts]
    except (binascii.Error, ValueError) as error:
        raise TicketError('malformed') from error


def _encode(content: bytes) -> str:
    return base64.urlsafe_b64encode(content).decode().rstrip('=')


def _decode(text: str) -> bytes:
    padding = '=' * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b'-_', validate=True)
