"""Traces one request across nodes by the logs of these nodes."""

import collections
import json
from collections.abc import Iterable

import attrs

from godwitknot.errors import MissingRequestError, UnknownRequestError
from godwitknot.operators.operations import Explanation

# The log may show a server's problem a few seconds before the request.
_LOOKBACK_SECONDS = 3.0
# Lines on nodes and servers that are buffered until the request's nodes and
# times are known.
_MAX_BUFFERED_LINES = 200_000
# Seconds since 1970; later times are not shown as a difference of seconds.
_MAX_TIME_SECONDS = 10**10
_STATE_EVENTS = frozenset(
    (
        'configuration adopted',
        'health check failed',
        'node started',
        'node stopped',
        'node stopping',
        'run failed',
        'server crashed',
        'server ejected',
        'server reinstated',
        'server state',
        'settings reloaded',
        'store lost',
        'store regained',
        'store restored',
        'trial failed',
    ),
)
_REQUIRED_FIELDS = frozenset(('time', 'node', 'event'))
_HEAD_FIELDS = _REQUIRED_FIELDS | {'request'}


@attrs.frozen
class LogLine:
    """One line of a node's log.

    :param time: seconds since the epoch, on the node's clock.
    :param request: id of the request that it is about, may be empty.
    :param detail: the other fields as text.
    :param peer: other node that it is about, may be empty.
    """

    time: float
    node: str
    event: str
    request: str
    detail: str
    peer: str = ''


@attrs.define
class _Selection:
    """Lines of one request and on nodes and servers, and what was left out.

    :param request_lines: lines about the request.
    :param state_lines: lines on nodes and servers, up to a maximum.
    :param skipped: number of texts that are no log lines.
    :param state_line_count: number of these lines, dropped ones included.
    """

    request: str
    request_lines: list[LogLine] = attrs.field(factory=list)
    state_lines: collections.deque[LogLine] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_BUFFERED_LINES)
    )
    skipped: int = 0
    state_line_count: int = 0

    def add(self, text: str) -> None:
        """Add a line; beyond the limit, the earliest one read is dropped."""
        line = parse_line(text)
        if line is None:
            self.skipped += 1
        elif line.request == self.request:
            self.request_lines.append(line)
        elif line.event in _STATE_EVENTS:
            self.state_line_count += 1
            self.state_lines.append(line)

    def count_omissions(self) -> dict[str, str]:
        """Return how many lines were left out, by reason."""
        counts = {
            'lines that are no log lines': self.skipped,
            'lines on servers beyond the limit, left out': (
                self.state_line_count - len(self.state_lines)
            ),
        }
        return {reason: str(count) for reason, count in counts.items() if count}


def trace_request(texts: Iterable[str], request: str) -> Explanation:
    """List the log lines of a request in order of time.

    Lines on the state of its nodes and servers at that time are listed as
    well. Of other requests, only failed runs are.

    :param texts: log lines of any nodes in any order; other text is skipped
        and counted. Of more than 200,000 lines on nodes and servers, the
        ones read first are left out and counted.
    :raises MissingRequestError: if the id is empty.
    :raises UnknownRequestError: if no line is about the request.
    """
    if not request:
        raise MissingRequestError(
            '--log needs the id of a request: '
            'godwitknot explain REQUEST-ID --log FILE'
        )
    selection = _Selection(request)
    for text in texts:
        selection.add(text)
    request_lines = selection.request_lines
    if not request_lines:
        raise UnknownRequestError(f'no line is about request {request}')
    request_lines.sort(key=_get_time)
    start = request_lines[0].time
    related = _select_related(request_lines, selection.state_lines)
    trace = sorted([*request_lines, *related], key=_get_time)
    return Explanation(
        request,
        tuple(_format_line(line, start, request) for line in trace),
        selection.count_omissions(),
    )


def parse_line(text: str) -> LogLine | None:
    """Parse a log line of a node; ``None`` for any other text."""
    try:
        entry = json.loads(text)
    except (ValueError, RecursionError):
        # Output of another program, or a line that is still being written.
        return None
    if not isinstance(entry, dict) or not entry.keys() >= _REQUIRED_FIELDS:
        return None
    if not isinstance(entry['time'], (int, float)):
        return None
    # Not-a-number fails this comparison, too.
    if not abs(entry['time']) < _MAX_TIME_SECONDS:
        return None
    detail = ', '.join(
        f'{name}={field_value}'
        for name, field_value in entry.items()
        if name not in _HEAD_FIELDS
    )
    return LogLine(
        entry['time'],
        entry['node'],
        entry['event'],
        entry.get('request', ''),
        detail,
        entry.get('peer', ''),
    )


def _select_related(
    request_lines: list[LogLine], state_lines: Iterable[LogLine]
) -> list[LogLine]:
    nodes = {line.node for line in request_lines} | {
        line.peer for line in request_lines
    }
    first = request_lines[0].time - _LOOKBACK_SECONDS
    last = request_lines[-1].time
    return [
        line
        for line in state_lines
        if first <= line.time <= last and _is_about(line, nodes)
    ]


def _is_about(line: LogLine, nodes: set[str]) -> bool:
    # Every node logs the crashes of servers at any other node.
    return line.node in nodes and (not line.peer or line.peer in nodes)


def _format_line(line: LogLine, start: float, request: str) -> str:
    mark = ' ' if line.request == request else '|'
    offset = f'{line.time - start:+9.3f} s'
    return f'{mark} {offset}  {line.node}  {line.event}: {line.detail}'


def _get_time(line: LogLine) -> float:
    return line.time
