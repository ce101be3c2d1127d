"""Records observations of a fleet and checks them against its guarantees.

All times are wall-clock seconds of one machine.
"""

import collections
import json
from collections.abc import Callable, Iterator

import attrs

# Bounds the time from the lease check of a send to its start at the server.
_SEND_SLACK_SECONDS = 0.5


@attrs.frozen
class CallRecord:
    """A request as observed by its caller.

    :param request_id: unique to this send; a resend gets another one.
    :param key: idempotency key, shared by resends; empty if none.
    :param outcome: as reported by the fleet, empty without a response.
    :param echo: body of a complete server response, else ``None``.
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
    """An execution as observed by the backend server."""

    server: str
    at: float
    request_id: str
    key: str
    body: str


@attrs.frozen
class ClaimRecord:
    """A claim at the time that the table service applied it."""

    key: str
    at: float


@attrs.frozen
class ApplyRecord:
    """A configuration change by an operator.

    :param version: that was accepted, 0 if the change was not.
    :param digest: of the content that the operator sent.
    """

    start: float
    end: float
    version: int
    digest: str


@attrs.frozen
class VersionRecord:
    """The active configuration of a node process.

    :param process: node id and process id.
    """

    process: str
    at: float
    version: int
    digest: str


@attrs.frozen
class DrainRecord:
    """A drain that was confirmed to the operator.

    :param at: time of the confirmation.
    """

    server: str
    at: float


@attrs.frozen
class CapacityRecord:
    """Number of servers in service, according to the directory."""

    service: str
    at: float
    in_service: int
    floor: int


@attrs.define
class History:
    """All observations of one run of a fleet.

    :param lease: duration of a claim's lease, seconds.
    """

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
        """Number of observations in this history."""
        return sum(
            len(part)
            for part in attrs.astuple(self, recurse=False)
            if isinstance(part, list)
        )


@attrs.frozen
class Violation:
    """A guarantee that a history violates."""

    promise: str
    detail: str

    def __str__(self) -> str:
        """Format as one line."""
        return f'{self.promise}: {self.detail}'


def check_at_most_once(history: History) -> Iterator[Violation]:
    """Check that each key ran at most once."""
    counts = collections.Counter(run.key for run in history.runs if run.key)
    for key, count in counts.items():
        if count > 1:
            servers = [run.server for run in history.runs if run.key == key]
            yield Violation('at most once', f'{key} ran on {servers}')


def check_not_run(history: History) -> Iterator[Violation]:
    """Check that calls reported as ``not-run`` did not run.

    Their key must not have run before them either.
    """
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
    """Check that responses are complete and belong to the call or its key."""
    executed_requests = {run.request_id for run in history.runs}
    first_echo_by_key: dict[str, str] = {}
    for call in history.calls:
        if call.echo is None:
            continue
        mismatch = _describe_mismatch(call, executed_requests)
        if mismatch:
            yield Violation('own and whole answer', mismatch)
        elif (
            call.key
            and first_echo_by_key.setdefault(call.key, call.echo) != call.echo
        ):
            yield Violation('own and whole answer', f'{call.key}: two answers')


def _describe_mismatch(call: CallRecord, executed_requests: set[str]) -> str:
    try:
        echo = json.loads(call.echo or '')
    except ValueError:
        return f'{call.request_id}: not whole'
    is_matching = echo['key'] == call.key if call.key else True
    if not call.key:
        is_matching = echo['request'] == call.request_id
    if not is_matching or echo['body'] != call.body:
        return f'{call.request_id}: got the answer to {echo["request"]}'
    if echo['request'] not in executed_requests:
        return f'{call.request_id}: answer of a request that never ran'
    return ''


def check_leases(history: History) -> Iterator[Violation]:
    """Check that no request runs after the lease of its claim."""
    claimed_at_by_key: dict[str, float] = {}
    for claim in history.claims:
        claimed_at_by_key[claim.key] = max(
            claimed_at_by_key.get(claim.key, 0), claim.at
        )
    for run in history.runs:
        claimed_at = claimed_at_by_key.get(run.key)
        if claimed_at is None:
            continue
        overrun_seconds = run.at - claimed_at - history.lease
        if overrun_seconds > _SEND_SLACK_SECONDS:
            yield Violation(
                'lease', f'{run.key} ran {overrun_seconds:.2f} s late'
            )


def check_reverts(history: History) -> Iterator[Violation]:
    """Check that the version at a node process never decreases."""
    latest: dict[str, VersionRecord] = {}
    for observed in sorted(history.versions, key=lambda record: record.at):
        before = latest.get(observed.process)
        if before is not None and observed.version < before.version:
            detail = (
                f'{observed.process}: {before.version} to {observed.version}'
            )
            yield Violation('never reverts', detail)
        latest[observed.process] = observed


def check_changes(history: History) -> Iterator[Violation]:
    """Check that accepted changes are linearizable.

    Versions are unique, have one content, and follow real time.
    """
    accepted = [apply for apply in history.applies if apply.version]
    digests: dict[int, str] = {}
    for apply in accepted:
        if apply.version in digests:
            detail = f'version {apply.version} was accepted twice'
            yield Violation('linearizable changes', detail)
        digests[apply.version] = apply.digest
    for observed in history.versions:
        if digests.get(observed.version, observed.digest) != observed.digest:
            detail = f'{observed.process}: other content of {observed.version}'
            yield Violation('linearizable changes', detail)
    yield from _check_order(accepted)


def _check_order(accepted: list[ApplyRecord]) -> Iterator[Violation]:
    for earlier in accepted:
        for later in accepted:
            is_reversed = later.version < earlier.version
            if earlier.end < later.start and is_reversed:
                detail = f'{later.version} was accepted after {earlier.version}'
                yield Violation('linearizable changes', detail)


def check_drains(history: History) -> Iterator[Violation]:
    """Check that a drained server runs no call begun after the drain.

    The drain counts from its confirmation to the operator.
    """
    starts = {call.request_id: call.start for call in history.calls}
    for drain in history.drains:
        for run in history.runs:
            start = starts.get(run.request_id, 0)
            if run.server == drain.server and start > drain.at:
                detail = f'{run.request_id} ran on {run.server}'
                yield Violation('no new work after a drain', detail)


def check_floors(history: History) -> Iterator[Violation]:
    """Check that the servers in service never fall below the floor."""
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
    """Check a history against all guarantees.

    :returns: every violation found.
    """
    return [found for check in CHECKS for found in check(history)]
