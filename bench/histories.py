"""Records what a fleet did and checks the record against its promises.

All times are wall-clock seconds of one machine.
"""

import collections
import json
from collections.abc import Callable, Iterator

import attrs

# A send that passed the lease check reaches the server within this time.
_SEND_SLACK_SECONDS = 0.5


@attrs.frozen
class CallRecord:
    """A caller's request as the caller saw it.

    :param request_id: unique for each call.
    :param key: idempotency key, the same for resends; empty if none.
    :param outcome: as told by the fleet, empty if no answer came.
    :param echo: body of a complete answer by a server, else ``None``.
    """

    request_id: str
    key: str
    body: str
    start: float
    end: float
    status: int = 0
    outcome: str = ''
    code: str = ''
    echo: str | None = None


@attrs.frozen
class RunRecord:
    """An execution as the backend server saw it."""

    server: str
    at: float
    request_id: str
    key: str
    body: str


@attrs.frozen
class ClaimRecord:
    """A claim as the table service applied it."""

    key: str
    at: float


@attrs.frozen
class ApplyRecord:
    """An operator's change; ``version`` is 0 if it was not accepted.

    :param digest: of the content that the operator sent.
    """

    start: float
    end: float
    version: int
    digest: str


@attrs.frozen
class VersionRecord:
    """Configuration in force at a node process.

    :param process: node id and process id.
    """

    process: str
    at: float
    version: int
    digest: str


@attrs.frozen
class DrainRecord:
    """A server whose drain was reported to the operator."""

    server: str
    at: float


@attrs.frozen
class CapacityRecord:
    """Servers of a service that were in service, as the directory says."""

    service: str
    at: float
    in_service: int
    floor: int


@attrs.define
class History:
    """Everything that was observed in one run of a fleet."""

    calls: list[CallRecord] = attrs.field(factory=list)
    runs: list[RunRecord] = attrs.field(factory=list)
    claims: list[ClaimRecord] = attrs.field(factory=list)
    applies: list[ApplyRecord] = attrs.field(factory=list)
    versions: list[VersionRecord] = attrs.field(factory=list)
    drains: list[DrainRecord] = attrs.field(factory=list)
    capacities: list[CapacityRecord] = attrs.field(factory=list)
    lease: float = 10

    @property
    def operations(self) -> int:
        """Number of observations that were checked."""
        return sum(
            len(part)
            for part in attrs.astuple(self, recurse=False)
            if isinstance(part, list)
        )


@attrs.frozen
class Violation:
    """A promise that a history breaks."""

    promise: str
    detail: str

    def __str__(self) -> str:
        """Format as one line."""
        return f'{self.promise}: {self.detail}'


def check_at_most_once(history: History) -> Iterator[Violation]:
    """Each key ran at most once."""
    counts = collections.Counter(run.key for run in history.runs if run.key)
    for key, count in counts.items():
        if count > 1:
            servers = [run.server for run in history.runs if run.key == key]
            yield Violation('at most once', f'{key} ran on {servers}')


def check_not_run(history: History) -> Iterator[Violation]:
    """A call that was told "not run" did not run, nor had its key before."""
    by_request = {run.request_id: run for run in history.runs}
    by_key = {run.key: run for run in history.runs if run.key}
    for call in history.calls:
        if call.outcome != 'not-run':
            continue
        if call.request_id in by_request:
            yield Violation(
                'true not run', f'{call.request_id} ran: {call.code}'
            )
        earlier = by_key.get(call.key)
        if earlier is not None and earlier.at < call.start:
            detail = f'{call.request_id} had run before: {call.code}'
            yield Violation('true not run', detail)


def check_answers(history: History) -> Iterator[Violation]:
    """An answer is whole, and belongs to the call or to its key."""
    ran = {run.request_id for run in history.runs}
    first: dict[str, str] = {}
    for call in history.calls:
        if call.echo is None:
            continue
        problem = _find_problem(call, ran)
        if problem:
            yield Violation('own and whole answer', problem)
        elif call.key and first.setdefault(call.key, call.echo) != call.echo:
            yield Violation('own and whole answer', f'{call.key}: two answers')


def _find_problem(call: CallRecord, ran: set[str]) -> str:
    try:
        echo = json.loads(call.echo or '')
    except ValueError:
        return f'{call.request_id}: not whole'
    own = echo['key'] == call.key if call.key else True
    if not call.key:
        own = echo['request'] == call.request_id
    if not own or echo['body'] != call.body:
        return f'{call.request_id}: got the answer to {echo["request"]}'
    if echo['request'] not in ran:
        return f'{call.request_id}: answer of a request that never ran'
    return ''


def check_leases(history: History) -> Iterator[Violation]:
    """No request is sent after the lease of its claim."""
    claimed: dict[str, float] = {}
    for claim in history.claims:
        claimed[claim.key] = max(claimed.get(claim.key, 0), claim.at)
    for run in history.runs:
        since = claimed.get(run.key)
        if since is None:
            continue
        late = run.at - since - history.lease
        if late > _SEND_SLACK_SECONDS:
            yield Violation('lease', f'{run.key} ran {late:.2f} s late')


def check_reverts(history: History) -> Iterator[Violation]:
    """The version at a node process never decreases."""
    latest: dict[str, VersionRecord] = {}
    for seen in sorted(history.versions, key=lambda record: record.at):
        before = latest.get(seen.process)
        if before is not None and seen.version < before.version:
            detail = f'{seen.process}: {before.version} to {seen.version}'
            yield Violation('never reverts', detail)
        latest[seen.process] = seen


def check_changes(history: History) -> Iterator[Violation]:
    """Accepted changes have one order that agrees with real time."""
    accepted = [apply for apply in history.applies if apply.version]
    digests: dict[int, str] = {}
    for apply in accepted:
        if apply.version in digests:
            detail = f'version {apply.version} was accepted twice'
            yield Violation('linearizable changes', detail)
        digests[apply.version] = apply.digest
    for seen in history.versions:
        if digests.get(seen.version, seen.digest) != seen.digest:
            detail = f'{seen.process}: other content of {seen.version}'
            yield Violation('linearizable changes', detail)
    yield from _check_order(accepted)


def _check_order(accepted: list[ApplyRecord]) -> Iterator[Violation]:
    for earlier in accepted:
        for later in accepted:
            wrong = later.version < earlier.version
            if earlier.end < later.start and wrong:
                detail = f'{later.version} was accepted after {earlier.version}'
                yield Violation('linearizable changes', detail)


def check_drains(history: History) -> Iterator[Violation]:
    """A call that began after a drain was reported is not run there."""
    starts = {call.request_id: call.start for call in history.calls}
    for drain in history.drains:
        for run in history.runs:
            start = starts.get(run.request_id, 0)
            if run.server == drain.server and start > drain.at:
                detail = f'{run.request_id} ran on {run.server}'
                yield Violation('no new work after a drain', detail)


def check_floors(history: History) -> Iterator[Violation]:
    """The servers in service never fall below the floor."""
    for sample in history.capacities:
        if sample.in_service < sample.floor:
            detail = f'{sample.service}: {sample.in_service} < {sample.floor}'
            yield Violation('floor', detail)


CHECKS: tuple[Callable[[History], Iterator[Violation]], ...] = (
    check_at_most_once,
    check_not_run,
    check_answers,
    check_leases,
    check_reverts,
    check_changes,
    check_drains,
    check_floors,
)


def check_history(history: History) -> list[Violation]:
    """Run all checks.

    :returns: every violation found.
    """
    return [found for check in CHECKS for found in check(history)]
