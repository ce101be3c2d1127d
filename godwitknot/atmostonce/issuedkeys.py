"""Idempotency book of a sidecar: issued keys run at most once."""

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from godwitknot.atmostonce.runs import (
    LOST_RESPONSE,
    Permit,
    Run,
    RunLimits,
    RunState,
    RunTable,
    StoredResponse,
)
from godwitknot.atmostonce.tickets import Owner, Ticket
from godwitknot.clock import Clock
from godwitknot.errors import OperationRefusedError, ProtocolError
from godwitknot.outcomes import Code, Outcome, RefusalError

_CONVERTER = make_converter()


@attrs.frozen
class Moved:
    """The right to run went to a sibling.

    :param key: text of the key that carries the right.
    """

    key: str


@attrs.frozen
class Handover:
    """All that an heir needs to answer for another process.

    :param heir: the only process that may adopt it.
    :param owners: ended processes that the heir answers for.
    :param forgotten_until: expiry of the latest key forgotten.
    """

    heir: Owner
    owners: tuple[Owner, ...]
    forgotten_until: float
    runs: tuple[Run, ...]


class IssuedKeyRegistry:
    """Records of issued keys.

    A key is redeemed by the process that it names, or by the one heir
    that this process named on its planned stop.
    """

    def __init__(
        self, owner: Owner, clock: Clock, limits: RunLimits | None = None
    ) -> None:
        """Start empty.

        :param owner: this process.
        """
        self._clock = clock
        self._owner = owner
        self._owners = {owner}
        self._heir: Owner | None = None
        self._table = RunTable(clock, limits or RunLimits(), Outcome.NOT_RUN)

    def begin(
        self, ticket: Ticket, digest: str, max_wait: float
    ) -> Permit | StoredResponse | Moved:
        """Start, join or replay the request of a key.

        :param digest: see :func:`~godwitknot.atmostonce.runs.digest_request`.
        :param max_wait: seconds to wait for a run in progress.
        :raises RefusalError: if it can be neither run nor replayed.
        """
        with self._table.changed:
            if ticket.owner not in self._owners:
                raise RefusalError(Code.KEY_OWNER_GONE, Outcome.MAY_HAVE_RUN)
        fresh = Run(_identify(ticket), digest, ticket.expires)
        lifetime = ticket.expires - self._clock.wall()
        found = self._table.begin(fresh, lifetime, max_wait)
        if isinstance(found, Permit):
            return found
        if found.state is RunState.MOVED:
            return Moved(found.moved_to)
        return found.answer.check()

    def export(self, heir: Owner) -> bytes:
        """Close the book for good and give its content to the one heir.

        Nothing runs here from now on. Where an answer is still missing,
        the heir answers "may have run". Repeats give the same content.

        :param heir: the only process that may adopt it.
        :raises OperationRefusedError: if another heir was named and may
            have adopted the content.
        """
        with self._table.changed:
            if self._heir not in {None, heir}:
                raise OperationRefusedError(
                    f'{self._heir.node_id} may already be the heir',
                )
            self._heir = heir
            self._table.closed = True
            self._table.changed.notify_all()
            handover = Handover(
                heir,
                tuple(self._owners),
                self._table.forgotten_until,
                tuple(_settle(run) for run in self._table.runs.values()),
            )
        return _CONVERTER.dumps(handover).encode()

    def clear_heir(self) -> None:
        """Allow another heir: the named one certainly adopted nothing."""
        with self._table.changed:
            self._heir = None

    def adopt(self, content: bytes | str) -> None:
        """Become the heir of another process; repeats change nothing.

        :raises ProtocolError: if the content is malformed.
        :raises RefusalError: if this process is not the named heir, or its
            book is closed or full.
        """
        handover = _load(content)
        if handover.heir != self._owner:
            raise RefusalError(Code.WRONG_INCARNATION)
        table = self._table
        with table.changed:
            if table.closed:
                raise RefusalError(Code.DRAINING)
            if self._owners.issuperset(handover.owners):
                return
            if not table.has_room(len(handover.runs)):
                raise RefusalError(Code.QUEUE_FULL)
            for run in handover.runs:
                table.insert(run)
            table.forgotten_until = max(
                table.forgotten_until, handover.forgotten_until
            )
            self._owners.update(handover.owners)


def _identify(ticket: Ticket) -> str:
    owner = ticket.owner
    # A right that returns to an heir of its first owner is another run.
    suffix = '/moved' if ticket.moved else ''
    return f'{owner.node_id}/{owner.incarnation}/{ticket.nonce}{suffix}'


def _load(content: bytes | str) -> Handover:
    try:
        return _CONVERTER.loads(content, Handover)
    except (cattrs.BaseValidationError, ValueError) as error:
        raise ProtocolError('malformed handover') from error


def _settle(run: Run) -> Run:
    if run.state is RunState.RUNNING:
        return attrs.evolve(run, state=RunState.ANSWERED, answer=LOST_RESPONSE)
    return run
