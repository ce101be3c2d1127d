"""Claims: rows in the store let caller-chosen keys run at most once."""

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
from godwitknot.storage.storeclient import WRITE_ID, make_write, write_settled
from godwitknot.storage.writebudget import WriteBudget

LEASE_SECONDS = 10.0
MAX_KEY_CHARACTERS = 255
# A claim is written twice: when it is made and when it is answered.
_WRITES_PER_CLAIM = 2
_LOCAL_RETENTION_SECONDS = 600.0
_INITIAL_POLL_SECONDS = 0.05
_MAX_POLL_SECONDS = 1.0
_RETRY_AFTER_SECONDS = 1
_MAX_PENDING_WRITES = 1000
_FLUSH_INTERVAL_SECONDS = 1.0
_MAX_UNSENT_CLAIMS = 10_000
_NEVER = float('inf')


class ClaimManager:
    """Makes claims for one sidecar and remembers the runs under them."""

    lease = LEASE_SECONDS

    def __init__(
        self,
        owner: Owner,
        tables: TableService,
        clock: Clock,
        budget: WriteBudget,
        limits: RunLimits | None = None,
    ) -> None:
        """Create a manager without claims.

        :param owner: this process, named in the rows.
        :param limits: of the runs that are remembered locally.
        """
        self._owner = owner
        self._tables = tables
        self._clock = clock
        self._budget = budget
        self._runs = RunTable(
            clock, limits or RunLimits(), Outcome.MAY_HAVE_RUN
        )
        self._unsent_claims: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._pending_writes: collections.deque[Write] = collections.deque()
        self._lock = threading.Lock()
        self._write_queued = threading.Event()

    def begin(self, request: ClaimRequest) -> 'ClaimPermit | StoredResponse':
        """Claim the key, or replay the response to its first request.

        :raises RefusalError: if it can be neither claimed nor replayed.
        """
        if len(request.key) > MAX_KEY_CHARACTERS:
            raise RefusalError(Code.KEY_INVALID)
        expires = self._clock.wall() + _LOCAL_RETENTION_SECONDS
        new_run = Run(request.row_key, request.digest, expires)
        run_or_permit = self._runs.begin(new_run, _NEVER, request.max_wait)
        if isinstance(run_or_permit, Run):
            return run_or_permit.answer.check()
        # Without a claim the local run ends as unsent.
        try:
            return self._claim(request, run_or_permit)
        except BaseException:
            run_or_permit.release()
            raise

    def flush(self) -> None:
        """Write the queued responses until one write fails."""
        with self._lock:
            writes = tuple(self._pending_writes)
        for write in writes:
            if not self._try_write(write):
                return
            with self._lock:
                if write in self._pending_writes:
                    self._pending_writes.remove(write)

    def queue_write(self, write: Write) -> None:
        """Queue the write of a response, without waiting for the store.

        A full queue drops it, and the row stays claimed.
        """
        with self._lock:
            if len(self._pending_writes) < _MAX_PENDING_WRITES:
                self._pending_writes.append(write)
        self._write_queued.set()

    def write_responses(self, stopped: threading.Event) -> None:
        """Write queued responses in a loop; the target of a thread.

        :param stopped: ends the loop.
        """
        while not stopped.is_set():
            self._write_queued.wait(_FLUSH_INTERVAL_SECONDS)
            self._write_queued.clear()
            self.flush()
            if self._pending_writes:
                stopped.wait(_FLUSH_INTERVAL_SECONDS)

    def release_claim(self, write: Write, claim_id: str) -> None:
        """Release a claim whose request was certainly not sent.

        :param write: marks the row as released.
        """
        self._record_unsent(claim_id)
        try:
            write_settled(self._tables, write)
        except (StoreDownError, LostAnswerError, ConflictError):
            # A resend through this sidecar takes over the row; through
            # another one it is refused as "may have run".
            return

    def _claim(
        self, request: ClaimRequest, permit: Permit
    ) -> 'ClaimPermit | StoredResponse':
        wait_deadline = self._clock.now() + request.max_wait
        budget_granted = self._budget.try_spend(_WRITES_PER_CLAIM)
        poll_seconds = _INITIAL_POLL_SECONDS
        if budget_granted:
            claim = self._try_claim(request, permit, ABSENT)
            if claim is not None:
                return claim
        while True:
            row = self._read(request.row_key)
            if row.columns.get('state') == ClaimState.ANSWERED:
                return self._replay(request, permit, row)
            if self._is_free(row):
                budget_granted = budget_granted and self._budget.try_spend(1)
                self._check_budget(budget_granted)
                claim = self._try_claim(request, permit, row.version)
                if claim is not None:
                    return claim
                continue
            self._check_digest(request, row)
            if self._clock.now() >= wait_deadline:
                raise RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
            time.sleep(poll_seconds)
            poll_seconds = min(poll_seconds * 2, _MAX_POLL_SECONDS)

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
            write_settled(self._tables, write)
        except ConflictError:
            return None
        except LostAnswerError as lost_answer:
            # The write may still be applied, but its request is never sent.
            self._record_unsent(write.write_id)
            raise _build_store_down_refusal() from lost_answer
        except StoreDownError as error:
            raise _build_store_down_refusal() from error
        permit.limit(deadline)
        return ClaimPermit(self, permit, write)

    def _replay(
        self, request: ClaimRequest, permit: Permit, row: Row
    ) -> StoredResponse:
        self._check_digest(request, row)
        response = parse_response(row)
        permit.finish(response)
        return response.check()

    def _is_free(self, row: Row) -> bool:
        state = row.columns.get('state')
        if row.version == ABSENT or state == ClaimState.RELEASED:
            return True
        # Only the process that made a claim can know that it was not sent.
        return (
            state == ClaimState.CLAIMED
            and row.columns[WRITE_ID] in self._unsent_claims
        )

    def _check_digest(self, request: ClaimRequest, row: Row) -> None:
        if row.columns.get('digest') != request.digest:
            raise RefusalError(Code.KEY_REUSED, Outcome.MAY_HAVE_RUN)

    def _check_budget(self, budget_granted: bool) -> None:
        if not budget_granted:
            raise RefusalError(
                Code.SHED,
                Outcome.NOT_RUN,
                _RETRY_AFTER_SECONDS,
                'write budget of the store is used up',
            )

    def _read(self, key: str) -> Row:
        try:
            return self._tables.read(key)
        except StoreDownError as error:
            raise _build_store_down_refusal() from error

    def _try_write(self, write: Write) -> bool:
        try:
            write_settled(self._tables, write)
        except (StoreDownError, LostAnswerError):
            return False
        except ConflictError:
            # Unexpected, since nobody else changes a claimed row. There is
            # nothing left to write.
            log_event('claim row changed', claim=write.write_id)
        return True

    def _record_unsent(self, claim_id: str) -> None:
        with self._lock:
            self._unsent_claims[claim_id] = None
            if len(self._unsent_claims) > _MAX_UNSENT_CLAIMS:
                self._unsent_claims.popitem(last=False)


class ClaimPermit(Permit):
    """The right to send a request whose claim is in the store."""

    def __init__(
        self, manager: ClaimManager, permit: Permit, claim: Write
    ) -> None:
        """Take over the run of a local permit.

        :param permit: limited by the lease of the claim.
        :param claim: the write that made the claim.
        """
        super().__init__(permit.table, permit.run, permit.deadline)
        self.manager = manager
        self._claim = claim

    def finish(self, response: StoredResponse) -> None:
        """Record the response locally and queue the write of its row."""
        if self.ended:
            return
        super().finish(response)
        self.manager.queue_write(
            self._build_next_write(
                ClaimState.ANSWERED, format_response(response)
            ),
        )

    def release(self) -> None:
        """Release the claim of a request that certainly did not run."""
        if self.ended:
            return
        self.manager.release_claim(
            self._build_next_write(ClaimState.RELEASED, {}),
            self._claim.write_id,
        )
        super().release()

    def _build_next_write(
        self, state: str, new_columns: dict[str, object]
    ) -> Write:
        columns = {**self._claim.columns, **new_columns, 'state': state}
        return make_write(self._claim.key, self._claim.expected + 1, columns)


def _build_store_down_refusal() -> RefusalError:
    return RefusalError(
        Code.STORE_DOWN, Outcome.MAY_HAVE_RUN, _RETRY_AFTER_SECONDS
    )
