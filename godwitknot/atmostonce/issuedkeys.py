"""Registry of the issued keys of a sidecar; each runs at most once."""

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
    """The right to run was transferred to a sibling.

    :param key: text of the key that carries the right.
    """

    key: str


@attrs.frozen
class Handover:
    """The state that an heir needs to serve the keys of another process.

    :param heir: the only process that may adopt it.
    :param owners: processes whose keys the heir takes over.
    :param forgotten_until: latest expiry among the evicted keys.
    """

    heir: Owner
    owners: tuple[Owner, ...]
    forgotten_until: float
    runs: tuple[Run, ...]


class IssuedKeyRegistry:
    """The runs of issued keys.

    A key is redeemed by the process that it names, or by the one heir
    that this process named on its planned stop.
    """

    def __init__(
        self, owner: Owner, clock: Clock, limits: RunLimits | None = None
    ) -> None:
        """Create an empty registry.

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
        """Start, join or replay the run of a key.

        :param digest: see :func:`~godwitknot.atmostonce.runs.digest_request`.
        :param max_wait: seconds to wait for a run in progress.
        :raises RefusalError: if it can be neither run nor replayed.
        """
        with self._table.changed:
            if ticket.owner not in self._owners:
                raise RefusalError(Code.KEY_OWNER_GONE, Outcome.MAY_HAVE_RUN)
        new_run = Run(_build_identity(ticket), digest, ticket.expires)
        lifetime = ticket.expires - self._clock.wall()
        run_or_permit = self._table.begin(new_run, lifetime, max_wait)
        if isinstance(run_or_permit, Permit):
            return run_or_permit
        if run_or_permit.state is RunState.MOVED:
            return Moved(run_or_permit.moved_to)
        return run_or_permit.answer.check()

    def export(self, heir: Owner) -> bytes:
        """Close the registry for good and serialize it for the one heir.

        Nothing runs here from now on. For a run without a response the heir
        reports "may have run". Repeated calls return the same content.

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
                tuple(_close_run(run) for run in self._table.runs.values()),
            )
        return _CONVERTER.dumps(handover).encode()

    def clear_heir(self) -> None:
        """Allow another heir; the named one must not have adopted anything."""
        with self._table.changed:
            self._heir = None

    def adopt(self, content: bytes | str) -> None:
        """Become the heir of another process; idempotent.

        :param content: from :meth:`export` of that process.
        :raises ProtocolError: if the content is malformed.
        :raises RefusalError: if this process is not the named heir, or its
            registry is closed or full.
        """
        handover = _parse_handover(content)
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


def _build_identity(ticket: Ticket) -> str:
    owner = ticket.owner
    # A right can be transferred back to an heir of its first owner, where it
    # must not be taken for the run that the first owner had recorded.
    suffix = '/moved' if ticket.moved else ''
    return f'{owner.node_id}/{owner.incarnation}/{ticket.nonce}{suffix}'


def _parse_handover(content: bytes | str) -> Handover:
    try:
        return _CONVERTER.loads(content, Handover)
    except (cattrs.BaseValidationError, ValueError, RecursionError) as error:
        raise ProtocolError('malformed handover') from error


def _close_run(run: Run) -> Run:
    if run.state is RunState.RUNNING:
        return attrs.evolve(run, state=RunState.ANSWERED, answer=LOST_RESPONSE)
    return run
