"""The way of one request across nodes, read from their logs."""

import collections
import json
from collections.abc import Iterable

import attrs

from godwitknot.errors import MissingRequestError, UnknownRequestError
from godwitknot.operators.operations import Explanation

# What ailed a server shows in its log up to a few seconds earlier.
_BEFORE_SECONDS = 3.0
# Lines on nodes and servers that are held until it is known which matter.
_MOST_HELD = 200_000
_BELIEFS = frozenset(
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
        'trial failed',
    ),
)
_NEEDED = frozenset(('time', 'node', 'event'))
_HEAD = _NEEDED | {'request'}


@attrs.frozen
class LogLine:
    """One line of a node's log.

    :param time: seconds since the epoch, on the node's clock.
    :param request: id that it is about, may be empty.
    :param detail: the other fields as text.
    """

    time: float
    node: str
    event: str
    request: str
    detail: str
    peer: str = ''


@attrs.define
class _Selection:
    """Lines of one request and on servers, and counts of the others.

    :param skipped: texts that are no log lines.
    :param beliefs: lines on nodes and servers, held or not.
    """

    request: str
    own: list[LogLine] = attrs.field(factory=list)
    held: collections.deque[LogLine] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MOST_HELD)
    )
    skipped: int = 0
    beliefs: int = 0

    def take(self, text: str) -> None:
        """Keep a line that may matter; of too many, the latest read."""
        line = read_line(text)
        if line is None:
            self.skipped += 1
        elif line.request == self.request:
            self.own.append(line)
        elif line.event in _BELIEFS:
            self.beliefs += 1
            self.held.append(line)

    def count_omissions(self) -> dict[str, str]:
        """Give how many lines were left out unseen, by reason."""
        counts = {
            'lines that are no log lines': self.skipped,
            'lines on servers beyond the limit, left out': (
                self.beliefs - len(self.held)
            ),
        }
        return {reason: str(count) for reason, count in counts.items() if count}


def trace_request(texts: Iterable[str], request: str) -> Explanation:
    """Give the lines on a request in order, with what its nodes went through.

    Lines of other requests are left out, but for runs that failed beside it.

    :param texts: log lines of any nodes in any order; other text is skipped
        and counted. Of more than 200,000 lines on nodes and servers, the
        earlier ones are left out and counted.
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
        selection.take(text)
    own = selection.own
    if not own:
        raise UnknownRequestError(f'no line is about request {request}')
    own.sort(key=_get_time)
    start = own[0].time
    beside = _choose_beside(own, selection.held)
    told = sorted([*own, *beside], key=_get_time)
    return Explanation(
        request,
        tuple(_format_line(line, start, request) for line in told),
        selection.count_omissions(),
    )


def read_line(text: str) -> LogLine | None:
    """Read a line; ``None`` if it is none of a node."""
    try:
        entry = json.loads(text)
    except ValueError:
        # Text of other programs, or a line that is still being written.
        return None
    if not isinstance(entry, dict) or not entry.keys() >= _NEEDED:
        return None
    if not isinstance(entry['time'], (int, float)):
        return None
    detail = ', '.join(
        f'{name}={told}' for name, told in entry.items() if name not in _HEAD
    )
    return LogLine(
        entry['time'],
        entry['node'],
        entry['event'],
        entry.get('request', ''),
        detail,
        entry.get('peer', ''),
    )


def _choose_beside(
    own: list[LogLine], held: Iterable[LogLine]
) -> list[LogLine]:
    nodes = {line.node for line in own} | {line.peer for line in own}
    first = own[0].time - _BEFORE_SECONDS
    last = own[-1].time
    return [
        line
        for line in held
        if first <= line.time <= last and _concerns(line, nodes)
    ]


def _concerns(line: LogLine, nodes: set[str]) -> bool:
    # Crashes of other servers are told to every node.
    return line.node in nodes and (not line.peer or line.peer in nodes)


def _format_line(line: LogLine, start: float, request: str) -> str:
    mark = ' ' if line.request == request else '|'
    moment = f'{line.time - start:+9.3f} s'
    return f'{mark} {moment}  {line.node}  {line.event}: {line.detail}'


def _get_time(line: LogLine) -> float:
    return line.time
