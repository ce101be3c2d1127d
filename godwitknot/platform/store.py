"""Calls of the platform's metadata store."""

import base64
import json
import urllib.parse
from collections.abc import Mapping

from godwitknot.errors import (
    ConnectionCutError,
    ConnectionFailedError,
    HistoryLostError,
    LostAnswerError,
    ProtocolError,
    RowChangedError,
    StoreDownError,
    StoreError,
)
from godwitknot.mesh.httpclient import HttpClient
from godwitknot.mesh.interfaces import MetadataStore, Page, Row
from godwitknot.mesh.model import HttpRequest, HttpResponse
from godwitknot.platform import names
from godwitknot.units import Address

_MILLISECONDS = 1000
_OK = 200
_GONE = 410
_CONDITION_FAILED = 412
# Statuses that state that nothing was done.
_REFUSED = frozenset((429, 503))
# Most rows that one response holds.
_PAGE_ROWS = 500
# The store answers in 4 ms; 70 times slower is a trouble that it knows.
_CALL_SECONDS = 2.0


class PlatformStore(MetadataStore):
    """The store behind its published HTTP calls."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        """Take the HTTP client.

        :param address: of the store.
        """
        self._client = client
        self._address = address

    async def read_table(self, table: str) -> Page:
        """Give all rows of a table, page by page."""
        rows: list[Row] = []
        start = ''
        while True:
            page, more = await self._read_rows(table, start)
            rows.extend(page.rows)
            if not more or not page.rows:
                return Page(tuple(rows), page.version)
            # The range starts at this key, so the next key follows it.
            start = f'{page.rows[-1].key}\0'

    async def read_configuration(self) -> Page:
        """Give the row of the operator's configuration."""
        page, _ = await self._read_rows(
            names.OPERATOR_TABLE, names.CONFIGURATION_KEY
        )
        return _only_configuration(page)

    async def watch_table(self, table: str, after: int, wait: float) -> Page:
        """Wait for changes of a table."""
        asked = {
            'table': table,
            'after': after,
            'wait_ms': int(wait * _MILLISECONDS),
        }
        answer = await self._get('/api/rows-feed', asked, wait)
        if answer.status == _GONE:
            raise HistoryLostError(f'history of {table} after {after}')
        return _decode_page(_check(answer))

    async def watch_configuration(self, after: int, wait: float) -> Page:
        """Wait for a change of the operator's configuration."""
        page = await self.watch_table(names.OPERATOR_TABLE, after, wait)
        return _only_configuration(page)

    async def write_row(
        self,
        table: str,
        key: str,
        content: bytes,
        expected: int,
    ) -> int:
        """Write a row if it still has the expected version."""
        place = {'table': table, 'part': '', 'key': key}
        encoded = base64.b64encode(content).decode()
        change = {
            'expect': [{**place, 'row_version': expected}],
            'writes': [{**place, 'value': encoded}],
            'deletes': [],
        }
        body = json.dumps(change).encode()
        fields = [('Content-Type', 'application/json')]
        message = HttpRequest('POST', '/api/rows-tx', fields, body)
        try:
            answer = await self._client.call(
                self._address, message, _CALL_SECONDS
            )
        except ConnectionFailedError as error:
            raise StoreDownError(str(error)) from error
        except (ConnectionCutError, ProtocolError, TimeoutError) as error:
            raise LostAnswerError(repr(error)) from error
        if answer.status == _CONDITION_FAILED:
            found = _decode_rows(_parse(answer.body))
            raise RowChangedError(found[0].version if found else 0)
        if answer.status in _REFUSED:
            raise StoreDownError(f'store answered {answer.status}')
        return int(_check(answer)['row_version'])

    async def _read_rows(self, table: str, start: str) -> tuple[Page, bool]:
        asked = {'table': table, 'part': '', 'limit': _PAGE_ROWS}
        if start:
            asked['from'] = start
        fields = _check(await self._get('/api/rows-get', asked, 0))
        return _decode_page(fields), bool(fields.get('has_more'))

    async def _get(
        self, path: str, asked: Mapping, wait: float
    ) -> HttpResponse:
        query = urllib.parse.urlencode(asked)
        message = HttpRequest('GET', f'{path}?{query}', [], b'')
        try:
            return await self._client.call(
                self._address, message, wait + _CALL_SECONDS
            )
        except (ConnectionFailedError, ConnectionCutError) as error:
            raise StoreDownError(str(error)) from error
        except (ProtocolError, TimeoutError) as error:
            raise StoreDownError(repr(error)) from error


def _check(answer: HttpResponse) -> Mapping:
    if answer.status != _OK:
        raise StoreDownError(f'store answered {answer.status}')
    return _parse(answer.body)


def _parse(body: bytes) -> Mapping:
    try:
        fields = json.loads(body)
    except ValueError as error:
        raise StoreError('response of the store is no JSON') from error
    if not isinstance(fields, dict):
        raise StoreError('response of the store is no object')
    return fields


def _decode_page(fields: Mapping) -> Page:
    try:
        return Page(_decode_rows(fields), int(fields['row_version']))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreError(f'response of the store: {error!r}') from error


def _decode_rows(fields: Mapping) -> tuple[Row, ...]:
    return tuple(
        _decode_row(row) for row in fields.get('rows', ()) if 'key' in row
    )


def _decode_row(row: Mapping) -> Row:
    encoded = row.get('value')
    dropped = row.get('tombstone') or encoded is None
    content = None if dropped else _decode_value(encoded)
    return Row(row['key'], content, int(row['row_version']))


def _decode_value(encoded: str) -> bytes:
    try:
        return base64.b64decode(encoded, validate=True)
    except (ValueError, TypeError):
        # Readers log rows that they cannot decode, and empty is one.
        return b''


def _only_configuration(page: Page) -> Page:
    rows = [row for row in page.rows if row.key == names.CONFIGURATION_KEY]
    return Page(tuple(rows), page.version)
