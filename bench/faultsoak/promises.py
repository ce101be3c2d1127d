"""The promises of our pages, checked on what callers and servers saw.

All times are on the monotonic clock of the soak process.
"""

import collections
from collections.abc import Iterator

import attrs

from bench.faultsoak.callers import Call, Probe
from bench.faultsoak.fleet import Departure, Exit
from bench.faultsoak.script import Span
from standins.meshserver import Run

# Bounds of the settings that the nodes get.
DRAIN_SECONDS = 2.5
ROLLBACK_SECONDS = 0.25
CONTACT_SECONDS = 4.0
# Statuses that promise that a request has not run and never will.
_NOT_RUN = frozenset((408, 421, 429, 503))
_OK = range(200, 300)
_NOT_FOUND = 404
# The fleet's own statuses for an unknown outcome.
_UNKNOWN = frozenset((0, 502, 504))


@attrs.define
class History:
    """All that was seen in one soak.

    :param versions: when the store acknowledged each version.
    :param planned: span in which only planned events were caused.
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
    """A promise that was not kept."""

    promise: str
    detail: str


def check_history(history: History) -> Iterator[Violation]:
    """Give all violations."""
    runs: dict[str, list[Run]] = collections.defaultdict(list)
    for run in history.runs:
        runs[run.attempt_id].append(run)
    for call in history.calls:
        yield from _check_call(call, runs[call.attempt_id])
        yield from _check_planned(call, runs[call.attempt_id], history)
    yield from _check_asked(history, runs)
    yield from _check_drain(history)
    yield from _check_versions(history)
    for ended in history.exits:
        if ended.status not in ended.expected:
            yield Violation('exit', repr(ended))


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
    """Check that planned events alone cut no request that was passed on."""
    start, end = history.planned
    if call.start < start or call.end > end or not runs:
        return
    if call.status in _UNKNOWN:
        yield Violation('planned work cuts nothing', f'{call} ran: {runs}')


def _check_asked(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[Violation]:
    asked = {call.attempt_id: call for call in history.calls}
    for attempt_id, found in runs.items():
        if attempt_id.startswith(('probe-', 'check-')):
            continue
        call = asked.get(attempt_id)
        for run in found:
            seen = (run.method, run.target, run.body)
            if call is None:
                yield Violation('nobody asked', repr(run))
            elif seen != (call.method, call.target, call.body):
                yield Violation('changed request', f'{call}: {run}')


def _check_drain(history: History) -> Iterator[Violation]:
    last = {
        departure.server_id: departure.at + DRAIN_SECONDS
        for departure in history.departures
    }
    for run in history.runs:
        if run.at > last.get(run.server_id, run.at):
            held = any(
                span.start < run.at and run.at < span.end + CONTACT_SECONDS
                for span in history.spans
                if span.kind in {'hold_up', 'cut_one_way', 'cut_both_ways'}
            )
            if not held:
                yield Violation('drain', repr(run))


def _check_versions(history: History) -> Iterator[Violation]:
    """Check that no process goes back to an older configuration."""
    seen: dict[int, list[tuple[float, int]]] = collections.defaultdict(list)
    for probe in sorted(history.probes, key=lambda each: each.end):
        known = [
            version
            for at, version in seen[probe.process]
            if at + ROLLBACK_SECONDS < probe.start
        ]
        newest = max(known, default=0)
        if probe.status in _OK and probe.version < newest:
            yield Violation('never back', f'{probe} after {newest}')
        replaced = history.versions.get(probe.version + 1, float('inf'))
        gone = probe.status == _NOT_FOUND and probe.end < replaced
        if gone and probe.version == newest:
            yield Violation('never back', f'{probe} after {newest}')
        if probe.status in _OK:
            seen[probe.process].append((probe.end, probe.version))
