"""Runs of keyed requests at one sidecar: join, replay, refuse."""

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
_ALL_BODIES_BYTES = 67_108_864
_SWEPT_AT_ONCE = 32
_RUNNING_EXTENSION_SECONDS = 60.0
_JOIN_STEP_SECONDS = 0.5
_FULL_RETRY_SECONDS = 30


class RunState(enum.StrEnum):
    """What became of a key; a key never seen has no run."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNSENT = 'unsent'
    MOVED = 'moved'


@attrs.frozen
class StoredResponse:
    """The recorded end of a request that was sent.

    :param code: set where no response can be replayed; ``outcome`` then
        says what is known.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    outcome: Outcome = Outcome.RAN
    code: Code | None = None

    def check(self) -> 'StoredResponse':
        """Give this answer if it can be replayed.

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
    """Collects a response while it is passed on."""

    def __init__(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Begin with the head of the response."""
        self._status = status
        self._headers = tuple(headers)
        self._body = bytearray()
        self._whole = True

    def feed(self, chunk: bytes) -> None:
        """Take the next part of the body."""
        if len(self._body) + len(chunk) > MAX_STORED_BODY_BYTES:
            self._whole = False
            self._body.clear()
        if self._whole:
            self._body += chunk

    def complete(self) -> StoredResponse:
        """Give the answer once the whole body was received."""
        if not self._whole:
            return NOT_KEPT_RESPONSE
        return StoredResponse(self._status, self._headers, bytes(self._body))


@attrs.define
class Run:
    """What a sidecar knows of one key.

    :param identity: names the key within this sidecar.
    :param digest: of the request that came first.
    :param expires: wall-clock seconds after which it may be forgotten.
    :param moved_to: key that carries the transferred right.
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

    :param runs: keys remembered; more are refused.
    :param body_bytes: kept bodies; above it answers are not kept.
    """

    runs: int = 40_000
    body_bytes: int = _ALL_BODIES_BYTES


class Permit:
    """The right of one thread to send the request of a run.

    As a context manager it ends the run if nothing else did: as lost if
    the request may have been sent, otherwise as unsent.
    """

    def __init__(self, table: 'RunTable', run: Run, deadline: float) -> None:
        """Hold a run.

        :param deadline: monotonic seconds until which it may be sent.
        """
        self.run = run
        self.table = table
        self.deadline = deadline
        self.sent = False
        self.ended = False

    def __enter__(self) -> 'Permit':
        """Keep the run until the block ends."""
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
        """Check the clock, then count the request as sent.

        :raises RefusalError: if the right has lapsed; nothing may be sent.
        """
        if self.ended or self.table.clock.now() >= self.deadline:
            raise RefusalError(Code.CLAIM_LAPSED, Outcome.MAY_HAVE_RUN)
        self.sent = True

    def finish(self, answer: StoredResponse) -> None:
        """Record the answer of the server, or that it was lost."""
        self._end(RunState.ANSWERED, answer=answer)

    def release(self) -> None:
        """Record that the request certainly did not run."""
        self._end(RunState.UNSENT)

    def move(self, key: str) -> None:
        """Record the transfer of the right; call before telling anyone.

        :param key: the key that carries the right from now on.
        """
        self._end(RunState.MOVED, moved_to=key)

    def _end(
        self,
        state: RunState,
        answer: StoredResponse | None = None,
        moved_to: str = '',
    ) -> None:
        if self.ended:
            return
        self.ended = True
        self.table.end(self.run, state, answer, moved_to)


class RunTable:
    """All runs of one kind of key; at most one permit a key at a time."""

    def __init__(
        self, clock: Clock, limits: RunLimits, unknown: Outcome
    ) -> None:
        """Start empty.

        :param unknown: what is known of a key that has no run here.
        """
        self.clock = clock
        self.changed = threading.Condition()
        self.runs: dict[str, Run] = {}
        self.forgotten_until = float(0)
        self.closed = False
        self._limits = limits
        self._unknown = unknown
        self._expiries: list[tuple[float, str]] = []
        self._body_bytes = 0

    def begin(
        self, fresh: Run, lifetime: float, max_wait: float
    ) -> Permit | Run:
        """Start, join or look up the run of a key.

        :param fresh: the run to start if there is none.
        :param lifetime: seconds in which it may be sent.
        :param max_wait: seconds to wait for a run in progress.
        :returns: a permit, or a run that is answered or moved.
        :raises RefusalError: if the key is used for another request, the
            run outlasts ``max_wait``, or the table is full or closed.
        """
        now = self.clock.now()
        with self.changed:
            self._sweep()
            while True:
                run = self.runs.get(fresh.identity)
                if run is None:
                    run = self._add(fresh)
                    return Permit(self, run, now + lifetime)
                if run.digest != fresh.digest:
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
        answer: StoredResponse | None,
        moved_to: str,
    ) -> None:
        """Record how a run ended and wake those that joined it."""
        with self.changed:
            if answer is not None:
                answer = self._keep(answer)
            run.answer = answer
            run.moved_to = moved_to
            run.state = state
            self.changed.notify_all()

    def insert(self, run: Run) -> None:
        """Take over a run of another process; the caller holds the lock."""
        if run.answer is not None:
            run.answer = self._keep(run.answer)
        self.runs[run.identity] = run
        heapq.heappush(self._expiries, (run.expires, run.identity))

    def has_room(self, count: int) -> bool:
        """Tell whether so many more runs fit."""
        return len(self.runs) + count <= self._limits.runs

    def _add(self, run: Run) -> Run:
        self._check_open()
        # A wall clock that was set back makes an expired key look valid
        # again, when its run has already been forgotten.
        counts_as_new = self._unknown is Outcome.NOT_RUN
        if counts_as_new and run.expires <= self.forgotten_until:
            raise RefusalError(Code.KEY_INVALID, Outcome.MAY_HAVE_RUN)
        if not self.has_room(1):
            raise RefusalError(
                Code.QUEUE_FULL, self._unknown, _FULL_RETRY_SECONDS
            )
        self.insert(run)
        return run

    def _check_open(self) -> None:
        if self.closed:
            raise RefusalError(Code.KEY_OWNER_GONE, Outcome.MAY_HAVE_RUN)

    def _keep(self, answer: StoredResponse) -> StoredResponse:
        size = self._body_bytes + len(answer.body)
        if size > self._limits.body_bytes:
            return NOT_KEPT_RESPONSE
        self._body_bytes = size
        return answer

    def _join(self, deadline: float) -> None:
        left = deadline - self.clock.now()
        if left <= 0:
            raise RefusalError(Code.DEADLINE_PASSED, Outcome.MAY_HAVE_RUN)
        self.changed.wait(min(left, _JOIN_STEP_SECONDS))

    def _sweep(self) -> None:
        """Forget some expired runs; later keys that expired are refused."""
        wall = self.clock.wall()
        for _ in range(_SWEPT_AT_ONCE):
            if not self._expiries or self._expiries[0][0] > wall:
                return
            expires, identity = heapq.heappop(self._expiries)
            run = self.runs[identity]
            if run.state is RunState.RUNNING:
                later = wall + _RUNNING_EXTENSION_SECONDS
                heapq.heappush(self._expiries, (later, identity))
                continue
            self.forgotten_until = max(self.forgotten_until, run.expires)
            if run.answer is not None:
                self._body_bytes -= len(run.answer.body)
            self.runs.pop(identity)


def digest_request(method: str, target: str, body: bytes) -> str:
    """Digest a request, to notice a key used for another one.

    :param target: path and query.
    """
    head = f'{method} {target}\n'.encode()
    return hashlib.sha256(head + body).hexdigest()
