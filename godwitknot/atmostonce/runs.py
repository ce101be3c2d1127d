"""Runs of keyed requests at one sidecar: started, joined or replayed."""

import enum
import hashlib
import heapq
import threading
from collections.abc import Iterable
from types import TracebackType

import attrs

from godwitknot.clock import Clock
from godwitknot.outcomes import Code, Outcome, RefusalError

MAX_STORED_BODY_BYTES = 65_536
_MAX_TOTAL_BODY_BYTES = 67_108_864
_MAX_EVICTED_AT_ONCE = 32
_RUNNING_RECHECK_SECONDS = 60.0
_JOIN_WAIT_SECONDS = 0.5
_FULL_RETRY_AFTER_SECONDS = 30


class RunState(enum.StrEnum):
    """State of the run of a key; a key never seen has no run."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNSENT = 'unsent'
    MOVED = 'moved'


@attrs.frozen
class StoredResponse:
    """The response to a request that was sent, or the lack of one.

    :param code: set if there is no response to replay; ``outcome`` then
        says whether the request ran.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    outcome: Outcome = Outcome.RAN
    code: Code | None = None

    def check(self) -> 'StoredResponse':
        """Return this response if it can be replayed.

        :raises RefusalError: if there is no response to replay.
        """
        if self.code is None:
            return self
        raise RefusalError(self.code, self.outcome, detail='first attempt')


LOST_RESPONSE = StoredResponse(
    outcome=Outcome.MAY_HAVE_RUN, code=Code.CONNECTION_LOST
)
NOT_KEPT_RESPONSE = StoredResponse(
    outcome=Outcome.RAN, code=Code.ANSWER_NOT_KEPT
)


class ResponseRecorder:
    """Records a response while it is forwarded."""

    def __init__(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Create a recorder from the head of a response."""
        self._status = status
        self._headers = tuple(headers)
        self._body = bytearray()
        self._fits = True

    def feed(self, chunk: bytes) -> None:
        """Add the next part of the body; an oversized body is discarded."""
        if len(self._body) + len(chunk) > MAX_STORED_BODY_BYTES:
            self._fits = False
            self._body.clear()
        if self._fits:
            self._body += chunk

    def complete(self) -> StoredResponse:
        """Return the stored response, after the last part of the body."""
        if not self._fits:
            return NOT_KEPT_RESPONSE
        return StoredResponse(self._status, self._headers, bytes(self._body))


@attrs.define
class Run:
    """What a sidecar knows about one key.

    :param identity: unique name of the key within this sidecar.
    :param digest: of the first request with the key.
    :param expires: wall-clock seconds after which it may be evicted.
    :param moved_to: key that the right to run was transferred to.
    """

    identity: str
    digest: str
    expires: float
    state: RunState = RunState.RUNNING
    answer: StoredResponse | None = None
    moved_to: str = ''


@attrs.frozen
class RunLimits:
    """Bounds on memory.

    :param runs: number of runs; further keys are refused.
    :param body_bytes: total size of the stored bodies; responses beyond it
        are not stored.
    """

    runs: int = 40_000
    body_bytes: int = _MAX_TOTAL_BODY_BYTES


class Permit:
    """The right of one thread to send the request of a run.

    On exit from its context it ends a run that is still open: with a lost
    response if the request may have been sent, otherwise as unsent.
    """

    def __init__(self, table: 'RunTable', run: Run, deadline: float) -> None:
        """Create a permit.

        :param deadline: monotonic seconds after which nothing may be sent.
        """
        self.run = run
        self.table = table
        self.deadline = deadline
        self.sent = False
        self.ended = False

    def __enter__(self) -> 'Permit':
        """Keep the run open until the context ends."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the run if it is still open."""
        if self.ended:
            return
        if self.sent:
            self.finish(LOST_RESPONSE)
        else:
            self.release()

    def limit(self, deadline: float) -> None:
        """Shorten the time in which the request may be sent.

        :param deadline: monotonic seconds.
        """
        self.deadline = min(self.deadline, deadline)

    def before_send(self) -> None:
        """Check the deadline, then mark the request as sent.

        :raises RefusalError: if the right has lapsed; nothing may be sent.
        """
        if self.ended or self.table.clock.now() >= self.deadline:
            raise RefusalError(Code.CLAIM_LAPSED, Outcome.MAY_HAVE_RUN)
        self.sent = True

    def finish(self, response: StoredResponse) -> None:
        """Record the response of the server, or that it was lost."""
        self._end(RunState.ANSWERED, response=response)

    def release(self) -> None:
        """Record that the request certainly did not run."""
        self._end(RunState.UNSENT)

    def move(self, key: str) -> None:
        """Record the transfer of the right, before the new key is sent.

        :param key: the key that carries the right from now on.
        """
        self._end(RunState.MOVED, moved_to=key)

    def _end(
        self,
        state: RunState,
        response: StoredResponse | None = None,
        moved_to: str = '',
    ) -> None:
        if self.ended:
            return
        self.ended = True
        self.table.end(self.run, state, response, moved_to)


class RunTable:
    """The runs of one kind of key, with at most one permit for each key."""

    def __init__(
        self, clock: Clock, limits: RunLimits, unknown_outcome: Outcome
    ) -> None:
        """Create an empty table.

        :param unknown_outcome: outcome to report for a key without a run.
        """
        self.clock = clock
        self.changed = threading.Condition()
        self.runs: dict[str, Run] = {}
        self.forgotten_until = float(0)
        self.closed = False
        self._limits = limits
        self._unknown_outcome = unknown_outcome
        self._expiries: list[tuple[float, str]] = []
        self._body_bytes = 0

    def begin(
        self, new_run: Run, lifetime: float, max_wait: float
    ) -> Permit | Run:
        """Start, join or return the run of a key.

        :param new_run: the run to start if there is none.
        :param lifetime: seconds within which its request may be sent.
        :param max_wait: seconds to wait for a run in progress.
        :returns: a permit, or a run that is answered or moved.
        :raises RefusalError: if the key was used for another request, the
            run outlasts ``max_wait``, or the table is full or closed.
        """
        now = self.clock.now()
        with self.changed:
            self._evict_expired()
            while True:
                run = self.runs.get(new_run.identity)
                if run is None:
                    run = self._add(new_run)
                    return Permit(self, run, now + lifetime)
                if run.digest != new_run.digest:
                    raise RefusalError(Code.KEY_REUSED, Outcome.MAY_HAVE_RUN)
                if run.state in {RunState.ANSWERED, RunState.MOVED}:
                    return run
                if run.state is RunState.UNSENT:
                    self._check_open()
                    run.state = RunState.RUNNING
                    return Permit(self, run, now + lifetime)
                self._join(now + max_wait)

    def end(
        self,
        run: Run,
        state: RunState,
        response: StoredResponse | None,
        moved_to: str,
    ) -> None:
        """Record how a run ended and wake the threads that joined it."""
        with self.changed:
            if response is not None:
                response = self._apply_body_limit(response)
            run.answer = response
            run.moved_to = moved_to
            run.state = state
            self.changed.notify_all()

    def insert(self, run: Run) -> None:
        """Add a run; the calling thread must hold the lock ``changed``."""
        if run.answer is not None:
            run.answer = self._apply_body_limit(run.answer)
        self.runs[run.identity] = run
        heapq.heappush(self._expiries, (run.expires, run.identity))

    def has_room(self, count: int) -> bool:
        """Return whether ``count`` more runs fit."""
        return len(self.runs) + count <= self._limits.runs

    def _add(self, run: Run) -> Run:
        self._check_open()
        # If the wall clock was set back, an expired key looks valid again
        # although its run has already been evicted.
        unknown_key_is_new = self._unknown_outcome is Outcome.NOT_RUN
        if unknown_key_is_new and run.expires <= self.forgotten_until:
            raise RefusalError(Code.KEY_INVALID, Outcome.MAY_HAVE_RUN)
        if not self.has_room(1):
            raise RefusalError(
                Code.QUEUE_FULL,
                self._unknown_outcome,
                _FULL_RETRY_AFTER_SECONDS,
            )
        self.insert(run)
        return run

    def _check_open(self) -> None:
        if self.closed:
            raise RefusalError(Code.KEY_OWNER_GONE, Outcome.MAY_HAVE_RUN)

    def _apply_body_limit(self, response: StoredResponse) -> StoredResponse:
        total_bytes = self._body_bytes + len(response.body)
        if total_bytes > self._limits.body_bytes:
            return NOT_KEPT_RESPONSE
        self._body_bytes = total_bytes
        return response

    def _join(self, deadline: float) -> None:
        remaining = deadline - self.clock.now()
        if remaining <= 0:
            raise RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
        self.changed.wait(min(remaining, _JOIN_WAIT_SECONDS))

    def _evict_expired(self) -> None:
        """Evict some expired runs; keys that expired before are refused."""
        wall_time = self.clock.wall()
        for _ in range(_MAX_EVICTED_AT_ONCE):
            if not self._expiries or self._expiries[0][0] > wall_time:
                return
            expires, identity = heapq.heappop(self._expiries)
            run = self.runs[identity]
            if run.state is RunState.RUNNING:
                recheck_at = wall_time + _RUNNING_RECHECK_SECONDS
                heapq.heappush(self._expiries, (recheck_at, identity))
                continue
            self.forgotten_until = max(self.forgotten_until, run.expires)
            if run.answer is not None:
                self._body_bytes -= len(run.answer.body)
            self.runs.pop(identity)


def digest_request(method: str, target: str, body: bytes) -> str:
    """Return the digest of a request, to detect a key reused for another.

    :param target: path and query.
    """
    head = f'{method} {target}\n'.encode()
    return hashlib.sha256(head + body).hexdigest()
