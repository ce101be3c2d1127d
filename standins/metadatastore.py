"""Stand-in of the platform's metadata store, with faults to inject."""

import base64
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import attrs

from standins.floods import send_flood

_MOST_ROWS = 500
_MILLISECONDS = 1000


@attrs.define
class StoreFaults:
    """What the store does wrong.

    :param down: answer 503 and do nothing.
    :param lose_answers: share of writes that are done and not answered.
    :param slow: seconds before each answer.
    :param refused: caller's addresses that are turned away.
    :param endless: send this flood until the caller closes.
    """

    down: bool = False
    lose_answers: float = 0
    slow: float = 0
    refused: set[str] = attrs.field(factory=set)
    endless: str = ''


class MetadataStore:
    """Rows with versions, conditional writes, and feeds of changes."""

    def __init__(self) -> None:
        """Start empty."""
        self.faults = StoreFaults()
        self.request_count = 0
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._history: list[dict] = []
        self._dropped_version = 0
        self._version = 0
        self._changed = threading.Condition()
        self._rng = random.Random(1)

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write a row as the operator does."""
        encoded = base64.b64encode(content).decode()
        row = {'table': table, 'part': '', 'key': key, 'value': encoded}
        return self.transact({'writes': [row]})[1]['row_version']

    def read_value(self, table: str, key: str) -> bytes | None:
        """Give the value of a row."""
        row = self._rows.get((table, '', key))
        return None if row is None else base64.b64decode(row['value'])

    def drop_history(self) -> None:
        """Drop the history, so that feeds have to start anew."""
        with self._changed:
            self._history.clear()
            self._dropped_version = self._version

    def transact(self, change: dict) -> tuple[int, dict]:
        """Apply a conditional change.

        :returns: status and body.
        """
        with self._changed:
            failed = [
                entry
                for entry in change.get('expect', ())
                if self._version_of(entry) != entry['row_version']
            ]
            if failed:
                rows = [
                    self._rows[_key(entry)]
                    for entry in failed
                    if _key(entry) in self._rows
                ]
                return 412, {'rows': rows}
            self._version += 1
            for entry in change.get('writes', ()):
                row = {**entry, 'row_version': self._version}
                self._rows[_key(entry)] = row
                self._history.append(row)
            for entry in change.get('deletes', ()):
                self._rows.pop(_key(entry), None)
                self._history.append(
                    {
                        **entry,
                        'row_version': self._version,
                        'tombstone': True,
                    }
                )
            self._changed.notify_all()
            return 200, self._stamp({})

    def read(self, asked: dict) -> tuple[int, dict]:
        """Give rows of a table in the order of their keys."""
        start = asked.get('from', '')
        with self._changed:
            rows = sorted(
                (
                    row
                    for (table, part, key), row in self._rows.items()
                    if (table, part) == (asked['table'], asked['part'])
                    and key >= start
                ),
                key=lambda row: row['key'],
            )
            more = len(rows) > _MOST_ROWS
            fields = {'rows': rows[:_MOST_ROWS], 'has_more': more}
            return 200, self._stamp(fields)

    def read_feed(self, asked: dict) -> tuple[int, dict]:
        """Wait for changes of a table."""
        after = int(asked['after'])
        wait = int(asked['wait_ms']) / _MILLISECONDS
        with self._changed:
            if after < self._dropped_version:
                return 410, {}
            self._changed.wait_for(
                lambda: self._since(asked['table'], after), wait
            )
            if after < self._dropped_version:
                return 410, {}
            rows = self._since(asked['table'], after)
            return 200, self._stamp({'rows': rows})

    def draw_lost_response(self) -> bool:
        """Tell whether the next answer of a write is lost."""
        return self._rng.random() < self.faults.lose_answers

    def _since(self, table: str, after: int) -> list[dict]:
        return [
            row
            for row in self._history
            if row['table'] == table and row['row_version'] > after
        ]

    def _version_of(self, entry: dict) -> int:
        return self._rows.get(_key(entry), {}).get('row_version', 0)

    def _stamp(self, fields: dict) -> dict:
        now = int(time.monotonic() * _MILLISECONDS)
        return {**fields, 'row_version': self._version, 'now_ms': now}


def _key(entry: dict) -> tuple[str, str, str]:
    return (entry['table'], entry['part'], entry['key'])


class QuietHTTPServer(ThreadingHTTPServer):
    """Serves each connection in a thread; callers may leave at any time."""

    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Print nothing: faults cut connections on purpose."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    store: MetadataStore

    def do_GET(self) -> None:
        """Serve reads and feeds."""
        parts = urlsplit(self.path)
        asked = {'part': ''}
        for name, texts in parse_qs(parts.query).items():
            asked[name] = texts[0]
        if self.store.faults.endless:
            self._flood()
        elif self._is_refused():
            self._reply(503, {})
        elif parts.path == '/api/rows-get':
            self._reply(*self.store.read(asked))
        elif parts.path == '/api/rows-feed':
            self._reply(*self.store.read_feed(asked))
        else:
            self._reply(404, {})

    def do_POST(self) -> None:
        """Serve transactions."""
        length = int(self.headers.get('Content-Length', 0))
        change = json.loads(self.rfile.read(length))
        if self.store.faults.endless:
            self._flood()
            return
        if self._is_refused():
            self._reply(503, {})
            return
        status, fields = self.store.transact(change)
        if self.store.draw_lost_response():
            self.close_connection = True
            return
        self._reply(status, fields)

    def log_message(self, *args: object) -> None:
        """Print nothing."""

    def _flood(self) -> None:
        self.store.request_count += 1
        self.close_connection = True
        send_flood(self, self.store.faults.endless)

    def _is_refused(self) -> bool:
        faults = self.store.faults
        self.store.request_count += 1
        time.sleep(faults.slow)
        return faults.down or self.client_address[0] in faults.refused

    def _reply(self, status: int, fields: dict) -> None:
        body = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def start_store(store: MetadataStore) -> QuietHTTPServer:
    """Serve a store on a free port of the loopback address."""
    handler = type('Handler', (_Handler,), {'store': store})
    server = QuietHTTPServer(('127.0.0.1', 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
