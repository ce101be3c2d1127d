"""Claims: keys that callers chose run at most once, by rows in the store."""

import collections
import threading
import time

from godwitknot.atmostonce.claimrows import (
    ClaimRequest,
    ClaimState,
    format_response,
    parse_response,
)
from godwitknot.atmostonce.runs import (
    Permit,
    Run,
    RunLimits,
    RunTable,
    StoredResponse,
)
from godwitknot.atmostonce.tickets import Owner
from godwitknot.clock import Clock
from godwitknot.errors import ConflictError, LostAnswerError, StoreDownError
from godwitknot.logs import log_event
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.storage.store import ABSENT, Row, TableService, Write
from godwitknot.storage.storeclient import (
    WRITE_ID,
    make_write,
    write_and_confirm,
)
from godwitknot.storage.writebudget import WriteBudget

LEASE_SECONDS = 10.0
MAX_KEY_CHARACTERS = 255
# A claim is written twice: when it is made and when it is answered.
_WRITES_PER_CLAIM = 2
_LOCAL_RETENTION_SECONDS = 600.0
_FIRST_POLL_SECONDS = 0.05
_LAST_POLL_SECONDS = 1.0
_RETRY_SECONDS = 1
_MAX_PENDING = 1000
_FLUSH_SECONDS = 1.0
_MAX_UNSENT = 10_000
_NEVER = float('inf')


class ClaimManager:
    """Claims of one sidecar, with what it knows of them itself."""

    lease = LEASE_SECONDS

    def __init__(
        self,
        owner: Owner,
        tables: TableService,
        clock: Clock,
        budget: WriteBudget,
        limits: RunLimits | None = None,
    ) -> None:
        """Start without claims.

        :param owner: this process, named in the rows.
        """
        self._owner = owner
        self._tables = tables
        self._clock = clock
        self._budget = budget
        self._runs = RunTable(
            clock, limits or RunLimits(), Outcome.MAY_HAVE_RUN
        )
        self._unsent: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._pending: collections.deque[Write] = collections.deque()
        self._lock = threading.Lock()
        self._queued = threading.Event()

    def begin(self, request: ClaimRequest) -> 'ClaimPermit | StoredResponse':
        """Claim the key, or replay the answer of its first request.

        :raises RefusalError: if it can be neither claimed nor replayed.
        """
        if len(request.key) > MAX_KEY_CHARACTERS:
            raise RefusalError(Code.KEY_INVALID)
        expires = self._clock.wall() + _LOCAL_RETENTION_SECONDS
        fresh = Run(request.row_key, request.digest, expires)
        found = self._runs.begin(fresh, _NEVER, request.max_wait)
        if isinstance(found, Run):
            return found.answer.check()
        # Ends the local run as unsent, unless a claim takes it over.
        try:
            return self._claim(request, found)
        except BaseException:
            found.release()
            raise

    def flush(self) -> None:
        """Write the queued answers, as far as the store takes them."""
        with self._lock:
            waiting = tuple(self._pending)
        for write in waiting:
            if not self._try_record(write):
                return
            with self._lock:
                if write in self._pending:
                    self._pending.remove(write)

    def record(self, write: Write) -> None:
        """Queue an answer for its row; the caller need not wait for it."""
        with self._lock:
            if len(self._pending) < _MAX_PENDING:
                self._pending.append(write)
        self._queued.set()

    def write_answers(self, stopped: threading.Event) -> None:
        """Write queued answers until told to stop; runs in a thread."""
        while not stopped.is_set():
            self._queued.wait(_FLUSH_SECONDS)
            self._queued.clear()
            self.flush()
            if self._pending:
                stopped.wait(_FLUSH_SECONDS)

    def release_claim(self, write: Write, claim_id: str) -> None:
        """Release a claim that was proved unsent.

        :param write: turns the row into a released one.
        """
        self._note_unsent(claim_id)
        try:
            write_and_confirm(self._tables, write)
        except (StoreDownError, LostAnswerError, ConflictError):
            # A resend to this sidecar takes the row over; elsewhere it
            # is answered "may have run".
            return

    def _claim(
        self, request: ClaimRequest, permit: Permit
    ) -> 'ClaimPermit | StoredResponse':
        limit = self._clock.now() + request.max_wait
        allowed = self._budget.try_spend(_WRITES_PER_CLAIM)
        poll = _FIRST_POLL_SECONDS
        if allowed:
            claim = self._try_claim(request, permit, ABSENT)
            if claim is not None:
                return claim
        while True:
            row = self._read(request.row_key)
            if row.columns.get('state') == ClaimState.ANSWERED:
                return self._replay(request, permit, row)
            if self._is_free(row):
                allowed = allowed and self._budget.try_spend(1)
                self._check_budget(allowed)
                claim = self._try_claim(request, permit, row.version)
                if claim is not None:
                    return claim
                continue
            self._check_digest(request, row)
            if self._clock.now() >= limit:
                raise RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
            time.sleep(poll)
            poll = min(poll * 2, _LAST_POLL_SECONDS)

    def _try_claim(
        self, request: ClaimRequest, permit: Permit, expected: int
    ) -> 'ClaimPermit | None':
        columns = {
            'state': ClaimState.CLAIMED,
            'service': request.service,
            'node': self._owner.node_id,
            'incarnation': self._owner.incarnation,
            'digest': request.digest,
        }
        write = make_write(request.row_key, expected, columns)
        deadline = self._clock.now() + self.lease
        try:
            write_and_confirm(self._tables, write)
        except ConflictError:
            return None
        except LostAnswerError as lost:
            # The row may come to name this claim, which is never sent.
            self._note_unsent(write.write_id)
            raise _store_down() from lost
        except StoreDownError as down:
            raise _store_down() from down
        permit.limit(deadline)
        return ClaimPermit(self, permit, write)

    def _replay(
        self, request: ClaimRequest, permit: Permit, row: Row
    ) -> StoredResponse:
        self._check_digest(request, row)
        answer = parse_response(row)
        permit.finish(answer)
        return answer.check()

    def _is_free(self, row: Row) -> bool:
        state = row.columns.get('state')
        if row.version == ABSENT or state == ClaimState.RELEASED:
            return True
        # Only the process that made a claim can prove that it is unsent.
        return (
            state == ClaimState.CLAIMED
            and row.columns[WRITE_ID] in self._unsent
        )

    def _check_digest(self, request: ClaimRequest, row: Row) -> None:
        if row.columns.get('digest') != request.digest:
            raise RefusalError(Code.KEY_REUSED, Outcome.MAY_HAVE_RUN)

    def _check_budget(self, allowed: bool) -> None:
        if not allowed:
            raise RefusalError(
                Code.SHED,
                Outcome.NOT_RUN,
                _RETRY_SECONDS,
                'write budget of the store is used up',
            )

    def _read(self, key: str) -> Row:
        try:
            return self._tables.read(key)
        except StoreDownError as down:
            raise _store_down() from down

    def _try_record(self, write: Write) -> bool:
        try:
            write_and_confirm(self._tables, write)
        except (StoreDownError, LostAnswerError):
            return False
        except ConflictError:
            # Nobody else changes a claimed row; nothing is left to write.
            log_event('claim row changed', claim=write.write_id)
        return True

    def _note_unsent(self, claim_id: str) -> None:
        with self._lock:
            self._unsent[claim_id] = None
            if len(self._unsent) > _MAX_UNSENT:
                self._unsent.popitem(last=False)


class ClaimPermit(Permit):
    """The right to send a request whose claim is in the store."""

    def __init__(
        self, manager: ClaimManager, permit: Permit, claim: Write
    ) -> None:
        """Take over the local permit.

        :param permit: limited by the lease of the claim.
        :param claim: the write that made the claim.
        """
        super().__init__(permit.table, permit.run, permit.deadline)
        self.manager = manager
        self._claim = claim

    def finish(self, answer: StoredResponse) -> None:
        """Record the answer here, then in the row."""
        if self.ended:
            return
        super().finish(answer)
        self.manager.record(
            self._follow(ClaimState.ANSWERED, format_response(answer)),
        )

    def release(self) -> None:
        """Release the claim of a request that certainly did not run."""
        if self.ended:
            return
        self.manager.release_claim(
            self._follow(ClaimState.RELEASED, {}), self._claim.write_id
        )
        super().release()

    def _follow(self, state: str, extra: dict[str, object]) -> Write:
        columns = {**self._claim.columns, **extra, 'state': state}
        return make_write(self._claim.key, self._claim.expected + 1, columns)


def _store_down() -> RefusalError:
    return RefusalError(Code.STORE_DOWN, Outcome.MAY_HAVE_RUN, _RETRY_SECONDS)
