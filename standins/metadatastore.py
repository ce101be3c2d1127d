"""Stand-in of the metadata store of the platform, with injected faults."""

import base64
import collections
import json
import random
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import attrs

from standins.floods import send_flood

_MAX_ROWS_PER_READ = 500
_MS_PER_SECOND = 1000
# Each transaction adds a copy; older ones are dropped.
_MAX_COPIES = 2000


@attrs.frozen
class _Copy:
    """The state of the store after a transaction.

    :param at: monotonic seconds.
    """

    at: float
    version: int
    rows: dict[tuple[str, str, str], dict]
    history: tuple[dict, ...]
    dropped_version: int


@attrs.define
class StoreFaults:
    """Faults of the store that are switched on.

    :param down: respond 503 to all requests without applying them.
    :param lose_answers: share of writes that are applied without a response.
    :param slow: delay of each response, in seconds.
    :param refused: client IP numbers whose requests get a response 503.
    :param endless: name of a flood to send instead of any response, until
        the client closes the connection.
    """

    down: bool = False
    lose_answers: float = 0
    slow: float = 0
    refused: set[str] = attrs.field(factory=set)
    endless: str = ''


class MetadataStore:
    """Rows with versions, conditional writes, and feeds of changes."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.faults = StoreFaults()
        self.request_count = 0
        self.epoch = 1
        self.changed = threading.Condition()
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._history: list[dict] = []
        self._dropped_version = 0
        self._version = 0
        self._rng = random.Random(1)
        self._copies: collections.deque[_Copy] = collections.deque(
            maxlen=_MAX_COPIES
        )
        self._add_copy()

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write a row as the operator does.

        :returns: version of the row.
        """
        encoded = base64.b64encode(content).decode()
        row = {'table': table, 'part': '', 'key': key, 'value': encoded}
        return self.transact({'writes': [row]})[1]['row_version']

    def read_value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, ``None`` if it is absent."""
        row = self._rows.get((table, '', key))
        return None if row is None else base64.b64decode(row['value'])

    def drop_history(self) -> None:
        """Drop the change history, so that feeds have to start over."""
        with self.changed:
            self._history.clear()
            self._dropped_version = self._version

    def restore(self, seconds: float) -> None:
        """Go back to the state of some seconds ago and end all open feeds.

        Versions that were given out since then are given out again.
        """
        with self.changed:
            moment = time.monotonic() - seconds
            while len(self._copies) > 1 and self._copies[-1].at > moment:
                self._copies.pop()
            latest = self._copies[-1]
            self._rows = dict(latest.rows)
            self._history = list(latest.history)
            self._version = latest.version
            self._dropped_version = latest.dropped_version
            self.epoch += 1
            self.changed.notify_all()

    def transact(self, change: dict) -> tuple[int, dict]:
        """Apply all writes and deletes if the expected versions match.

        :returns: HTTP status and body; 412 with the conflicting rows if a
            version does not match.
        """
        with self.changed:
            conflicts = [
                entry
                for entry in change.get('expect', ())
                if self._get_version(entry) != entry['row_version']
            ]
            if conflicts:
                rows = [
                    self._rows[_get_row_id(entry)]
                    for entry in conflicts
                    if _get_row_id(entry) in self._rows
                ]
                return 412, {'rows': rows}
            self._version += 1
            for entry in change.get('writes', ()):
                row = {**entry, 'row_version': self._version}
                self._rows[_get_row_id(entry)] = row
                self._history.append(row)
            for entry in change.get('deletes', ()):
                self._rows.pop(_get_row_id(entry), None)
                self._history.append(
                    {
                        **entry,
                        'row_version': self._version,
                        'tombstone': True,
                    }
                )
            self._add_copy()
            self.changed.notify_all()
            return 200, self._add_version_and_time({})

    def read(self, parameters: dict) -> tuple[int, dict]:
        """Read rows of one part of a table, in key order.

        :returns: HTTP status and body.
        """
        start = parameters.get('from', '')
        with self.changed:
            rows = sorted(
                (
                    row
                    for (table, part, key), row in self._rows.items()
                    if (table, part)
                    == (parameters['table'], parameters['part'])
                    and key >= start
                ),
                key=lambda row: row['key'],
            )
            has_more = len(rows) > _MAX_ROWS_PER_READ
            fields = {'rows': rows[:_MAX_ROWS_PER_READ], 'has_more': has_more}
            return 200, self._add_version_and_time(fields)

    def read_feed(self, parameters: dict) -> tuple[int, dict]:
        """Wait for changes of a table after a version.

        :returns: HTTP status and body; 410 if the history no longer goes
            back to that version, or has not reached it.
        :raises ConnectionAbortedError: if the store was restored meanwhile.
        """
        after = int(parameters['after'])
        timeout = int(parameters['wait_ms']) / _MS_PER_SECOND
        with self.changed:
            if not self._dropped_version <= after <= self._version:
                return 410, {}
            epoch = self.epoch
            self.changed.wait_for(
                lambda: (
                    self.epoch != epoch
                    or self._list_changes(parameters['table'], after)
                ),
                timeout,
            )
            if self.epoch != epoch:
                raise ConnectionAbortedError('store restored')
            if after < self._dropped_version:
                return 410, {}
            rows = self._list_changes(parameters['table'], after)
            return 200, self._add_version_and_time({'rows': rows})

    def draw_lost_response(self) -> bool:
        """Return at random whether the response to a write is lost."""
        return self._rng.random() < self.faults.lose_answers

    def _list_changes(self, table: str, after: int) -> list[dict]:
        return [
            row
            for row in self._history
            if row['table'] == table and row['row_version'] > after
        ]

    def _add_copy(self) -> None:
        self._copies.append(
            _Copy(
                time.monotonic(),
                self._version,
                dict(self._rows),
                tuple(self._history),
                self._dropped_version,
            )
        )

    def _get_version(self, entry: dict) -> int:
        return self._rows.get(_get_row_id(entry), {}).get('row_version', 0)

    def _add_version_and_time(self, fields: dict) -> dict:
        now = int(time.monotonic() * _MS_PER_SECOND)
        return {**fields, 'row_version': self._version, 'now_ms': now}


def _get_row_id(entry: dict) -> tuple[str, str, str]:
    return (entry['table'], entry['part'], entry['key'])


class QuietHTTPServer(ThreadingHTTPServer):
    """Threaded HTTP server that ignores connections cut by clients."""

    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Discard the error: injected faults cut connections."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    store: MetadataStore

    def do_GET(self) -> None:
        """Serve reads and feeds."""
        url = urlsplit(self.path)
        parameters = {'part': ''}
        for name, arguments in parse_qs(url.query).items():
            parameters[name] = arguments[0]
        if self.store.faults.endless:
            self._send_flood()
        elif self._delay_and_check_refusal():
            self._respond(503, {})
        elif url.path == '/api/rows-get':
            self._answer(self.store.read, parameters)
        elif url.path == '/api/rows-feed':
            self._answer(self.store.read_feed, parameters)
        else:
            self._respond(404, {})

    def do_POST(self) -> None:
        """Serve transactions."""
        length = int(self.headers.get('Content-Length', 0))
        change = json.loads(self.rfile.read(length))
        if self.store.faults.endless:
            self._send_flood()
            return
        if self._delay_and_check_refusal():
            self._respond(503, {})
            return
        with self.store.changed:
            status, fields = self.store.transact(change)
            epoch = self.store.epoch
        if self.store.draw_lost_response():
            self.close_connection = True
            return
        self._respond(status, fields, epoch)

    def log_message(self, *args: object) -> None:
        """Discard the log line."""

    def _send_flood(self) -> None:
        self.store.request_count += 1
        self.close_connection = True
        send_flood(self, self.store.faults.endless)

    def _delay_and_check_refusal(self) -> bool:
        faults = self.store.faults
        self.store.request_count += 1
        time.sleep(faults.slow)
        return faults.down or self.client_address[0] in faults.refused

    def _answer(
        self, operation: Callable[[dict], tuple[int, dict]], parameters: dict
    ) -> None:
        # The lock is held, so that the response has the epoch in which it
        # was read; feeds release it while they wait.
        with self.store.changed:
            status, fields = operation(parameters)
            epoch = self.store.epoch
        self._respond(status, fields, epoch)

    def _respond(
        self, status: int, fields: dict, epoch: int | None = None
    ) -> None:
        body = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header('Store-Era', str(epoch or self.store.epoch))
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def start_store(store: MetadataStore) -> QuietHTTPServer:
    """Serve a store on a free port of the loopback address."""
    handler = type('Handler', (_Handler,), {'store': store})
    server = QuietHTTPServer(('127.0.0.1', 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
