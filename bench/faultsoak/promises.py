"""Checks the documented guarantees on the records of a fault soak.

All times are monotonic seconds of the soak process.
"""

import collections
from collections.abc import Iterator

import attrs

from bench.faultsoak.callers import Call, Probe
from bench.faultsoak.fleet import Departure, Exit
from bench.faultsoak.script import Span
from standins.meshserver import Run

# Time limits that follow from the settings of the nodes.
DRAIN_SECONDS = 2.5
ROLLBACK_SECONDS = 0.25
CONTACT_SECONDS = 4.0
# Statuses that guarantee that a request has not run and never will.
_NOT_RUN = frozenset((408, 421, 429, 503))
_OK = range(200, 300)
_NOT_FOUND = 404
# Statuses of the fleet for an unknown outcome; 0 is no response.
_UNKNOWN = frozenset((0, 502, 504))


@attrs.define
class History:
    """All observations of one soak.

    :param versions: time at which the store acknowledged each version.
    :param planned: start and end of the period with planned events only.
    """

    calls: list[Call]
    probes: list[Probe]
    runs: list[Run]
    spans: list[Span]
    departures: list[Departure]
    exits: list[Exit]
    versions: dict[int, float]
    planned: tuple[float, float]


@attrs.frozen
class Violation:
    """A guarantee that was violated."""

    promise: str
    detail: str


def check_history(history: History) -> Iterator[Violation]:
    """Yield all violations of a history."""
    runs: dict[str, list[Run]] = collections.defaultdict(list)
    for run in history.runs:
        runs[run.attempt_id].append(run)
    for call in history.calls:
        yield from _check_call(call, runs[call.attempt_id])
        yield from _check_planned(call, runs[call.attempt_id], history)
    yield from _check_origins(history, runs)
    yield from _check_drain(history)
    yield from _check_versions(history)
    for node_exit in history.exits:
        if node_exit.status not in node_exit.expected:
            yield Violation('exit', repr(node_exit))


def _check_call(call: Call, runs: list[Run]) -> Iterator[Violation]:
    if not call.repeatable and len(runs) > 1:
        yield Violation('at most once', f'{call} ran {len(runs)} times')
    if call.status in _NOT_RUN and not call.repeatable and runs:
        yield Violation('true not run', f'{call} ran: {runs}')
    if call.status not in _OK:
        return
    expected = {f'{run.server_id} ran {call.target}'.encode() for run in runs}
    if not call.sealed or call.answered_id != call.attempt_id:
        yield Violation('own answer', repr(call))
    elif call.content not in expected:
        yield Violation('whole answer', f'{call}, expected {expected}')


def _check_planned(
    call: Call, runs: list[Run], history: History
) -> Iterator[Violation]:
    """Check that planned events alone interrupt no request that ran."""
    start, end = history.planned
    if call.start < start or call.end > end or not runs:
        return
    if call.status in _UNKNOWN:
        yield Violation('planned work cuts nothing', f'{call} ran: {runs}')


def _check_origins(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[Violation]:
    calls_by_id = {call.attempt_id: call for call in history.calls}
    for attempt_id, attempt_runs in runs.items():
        if attempt_id.startswith(('probe-', 'check-')):
            continue
        call = calls_by_id.get(attempt_id)
        for run in attempt_runs:
            observed = (run.method, run.target, run.body)
            if call is None:
                yield Violation('nobody asked', repr(run))
            elif observed != (call.method, call.target, call.body):
                yield Violation('changed request', f'{call}: {run}')


def _check_drain(history: History) -> Iterator[Violation]:
    deadlines = {
        departure.server_id: departure.at + DRAIN_SECONDS
        for departure in history.departures
    }
    for run in history.runs:
        if run.at > deadlines.get(run.server_id, run.at):
            is_delayed = any(
                span.start < run.at and run.at < span.end + CONTACT_SECONDS
                for span in history.spans
                if span.kind in {'hold_up', 'cut_one_way', 'cut_both_ways'}
            )
            if not is_delayed:
                yield Violation('drain', repr(run))


def _check_versions(history: History) -> Iterator[Violation]:
    """Check that no process reverts to an older configuration.

    A version seen less than ``ROLLBACK_SECONDS`` before a probe is not
    required yet.
    """
    observed: dict[int, list[tuple[float, int]]] = collections.defaultdict(list)
    for probe in sorted(history.probes, key=lambda each: each.end):
        required = [
            version
            for at, version in observed[probe.process]
            if at + ROLLBACK_SECONDS < probe.start
        ]
        newest = max(required, default=0)
        if probe.status in _OK and probe.version < newest:
            yield Violation('never back', f'{probe} after {newest}')
        replaced_at = history.versions.get(probe.version + 1, float('inf'))
        is_missing = probe.status == _NOT_FOUND and probe.end < replaced_at
        if is_missing and probe.version == newest:
            yield Violation('never back', f'{probe} after {newest}')
        if probe.status in _OK:
            observed[probe.process].append((probe.end, probe.version))
