"""Client of the platform's metadata store."""

import base64
import contextlib
import json
import re
import urllib.parse
from collections.abc import Callable, Mapping, Sequence

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
from godwitknot.mesh.interfaces import (
    MetadataStore,
    Page,
    Row,
    WriteReceipt,
)
from godwitknot.mesh.model import HttpRequest, HttpResponse
from godwitknot.mesh.transfers import Transfer
from godwitknot.platform import names
from godwitknot.units import Address, parse_count

_MS_PER_SECOND = 1000
_OK = 200
_GONE = 410
_CONDITION_FAILED = 412
# Statuses that guarantee that the store did not execute the call.
_NOT_EXECUTED_STATUSES = frozenset((429, 503))
# Maximum number of rows in one response.
_PAGE_ROWS = 500
# A fleet whose nodes were all of a release that does not delete the rows of
# replaced instances has written 400,000 a year.
_MAX_TABLE_ROWS = 400000
# The store's limit of a key.
_MAX_KEY_BYTES = 200
# Versions count transactions, in 64 bits.
_VERSIONS = range(2**63)  # noqa: WPS432
# The store usually responds in 4 ms, but can be 70 times slower under a fault.
_CALL_TIMEOUT_SECONDS = 2.0
# For reads, which may be large. 140 nodes that share a link of 30 Mbit/s
# receive a configuration of 0.5 MB each within 20 s.
_MAX_READ_SECONDS = 30.0
_UNREADABLE = Row('', b'', 0)
_SURROGATE = re.compile('[\ud800-\udfff]')


class PlatformStore(MetadataStore):
    """The metadata store, accessed over its published HTTP API."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        """Create a client of a store.

        :param client: HTTP client for all calls.
        :param address: of the store.
        """
        super().__init__()
        self._client = client
        self._address = address

    async def read_table(
        self, table: str, is_needed: Callable[[Row], bool] | None = None
    ) -> Page:
        """Return the rows of a table, read in pages.

        :param is_needed: returns whether a row is kept; all are by default.
        :raises StoreError: if the read failed.
        """
        rows: list[Row] = []
        epochs: set[int] = set()
        count = 0
        start = ''
        while True:
            page, start = await self.read_page(table, start)
            rows.extend(
                filter(is_needed, page.rows) if is_needed else page.rows
            )
            epochs.add(page.epoch)
            count += len(page.rows)
            if not start:
                # The lowest epoch tells callers that the store was restored
                # between two pages.
                return Page(tuple(rows), page.version, min(epochs))
            if count > _MAX_TABLE_ROWS:
                raise StoreError(f'the pages of {table} do not end')

    async def read_page(self, table: str, start: str) -> tuple[Page, str]:
        """Return some rows of a table, in the order of their keys.

        :param start: smallest key, empty for the first page.
        :returns: the page, and the start of the next one; empty at the end.
        :raises StoreError: if the read failed.
        """
        page, more = await self._read_rows(table, start)
        if not more or not page.rows:
            return page, ''
        # Keys that cannot be read are empty.
        last_key = max(row.key for row in page.rows)
        if last_key < start:
            raise StoreError(f'the pages of {table} do not end')
        # The start of the range is inclusive: this is the smallest key after
        # the last one.
        return page, f'{last_key}\0'

    async def read_configuration(self) -> Page:
        """Return a page with the operator's configuration, if there is one.

        :raises StoreError: if the read failed.
        """
        page, _ = await self._read_rows(
            names.OPERATOR_TABLE, names.CONFIGURATION_KEY
        )
        return _select_configuration(page)

    async def watch_table(self, table: str, after: int, wait: float) -> Page:
        """Wait for changes of a table.

        :param after: version whose later changes are returned.
        :param wait: seconds after which an empty page is returned.
        :raises HistoryLostError: if the store no longer has all changes
            since ``after``.
        :raises StoreError: if the read failed.
        """
        parameters = {
            'table': table,
            'after': after,
            'wait_ms': int(wait * _MS_PER_SECOND),
        }
        response = await self._get('/api/rows-feed', parameters, wait)
        if response.status == _GONE:
            raise HistoryLostError(f'no history of {table} after {after}')
        return _decode_page(response)

    async def watch_configuration(self, after: int, wait: float) -> Page:
        """Wait for a change of the operator's configuration.

        :param after: version whose later changes are returned.
        :param wait: seconds after which an empty page is returned.
        :raises HistoryLostError: if the store no longer has all changes
            since ``after``.
        :raises StoreError: if the read failed.
        """
        page = await self.watch_table(names.OPERATOR_TABLE, after, wait)
        return _select_configuration(page)

    async def write_row(
        self,
        table: str,
        key: str,
        content: bytes,
        expected: int,
    ) -> WriteReceipt:
        """Write a row if it still has the expected version.

        :param expected: version of the row, 0 if the row must not exist.
        :returns: the new version and its epoch.
        :raises RowChangedError: if the row has another version.
        :raises StoreDownError: if the row was not written.
        :raises LostAnswerError: if the row may have been written.
        """
        row_id = _make_row_id(table, key)
        encoded = base64.b64encode(content).decode()
        response = await self._transact(
            [{**row_id, 'row_version': expected}],
            writes=[{**row_id, 'value': encoded}],
        )
        if response.status == _CONDITION_FAILED:
            current = _decode_rows(_parse(response.body))
            versions = [row.version for row in current if row.key == key]
            raise RowChangedError(versions[0] if versions else 0)
        version = _decode_version(_check(response))
        return WriteReceipt(version, _decode_epoch(response))

    async def delete_rows(
        self, table: str, versions: Mapping[str, int]
    ) -> None:
        """Delete rows if all of them still have their expected versions.

        :param versions: expected version by key, at most 50.
        :raises RowChangedError: if a row has another version or is absent;
            none is deleted.
        :raises StoreDownError: if no row was deleted.
        :raises LostAnswerError: if the rows may have been deleted.
        """
        row_ids = {key: _make_row_id(table, key) for key in versions}
        response = await self._transact(
            [
                {**row_ids[key], 'row_version': version}
                for key, version in versions.items()
            ],
            deletes=list(row_ids.values()),
        )
        if response.status == _CONDITION_FAILED:
            raise RowChangedError(0)
        _check(response)

    async def _transact(
        self,
        expect: Sequence[Mapping],
        writes: Sequence[Mapping] = (),
        deletes: Sequence[Mapping] = (),
    ) -> HttpResponse:
        transaction = {'expect': expect, 'writes': writes, 'deletes': deletes}
        body = json.dumps(transaction).encode()
        fields = [('Content-Type', 'application/json')]
        request = HttpRequest('POST', '/api/rows-tx', fields, body)
        try:
            response = await self._client.call(
                self._address, request, _CALL_TIMEOUT_SECONDS
            )
        except ConnectionFailedError as error:
            raise StoreDownError(str(error)) from error
        except (ConnectionCutError, ProtocolError, TimeoutError) as error:
            raise LostAnswerError(repr(error)) from error
        self._report_epoch(response)
        if response.status in _NOT_EXECUTED_STATUSES:
            raise StoreDownError(f'store returned status {response.status}')
        return response

    async def _read_rows(self, table: str, start: str) -> tuple[Page, bool]:
        parameters = {'table': table, 'part': '', 'limit': _PAGE_ROWS}
        if start:
            parameters['from'] = start
        response = await self._get('/api/rows-get', parameters, 0)
        has_more = bool(_check(response).get('has_more'))
        return _decode_page(response), has_more

    async def _get(
        self,
        path: str,
        parameters: Mapping,
        wait: float,
    ) -> HttpResponse:
        query = urllib.parse.urlencode(parameters)
        request = HttpRequest('GET', f'{path}?{query}', [], b'')
        transfer = Transfer(
            wait + _CALL_TIMEOUT_SECONDS,
            silence_seconds=_CALL_TIMEOUT_SECONDS,
            max_seconds=_MAX_READ_SECONDS,
        )
        try:
            response = await self._client.fetch(
                self._address, request, transfer
            )
        except (ConnectionFailedError, ConnectionCutError) as error:
            raise StoreDownError(str(error), transfer.received_bytes) from error
        except (ProtocolError, TimeoutError) as error:
            raise StoreDownError(
                repr(error), transfer.received_bytes
            ) from error
        self._report_epoch(response)
        return response

    def _report_epoch(self, response: HttpResponse) -> None:
        epoch = _decode_epoch(response)
        for listener in self.epoch_listeners:
            listener(epoch)


def _make_row_id(table: str, key: str) -> dict[str, str]:
    return {'table': table, 'part': '', 'key': key}


def _decode_epoch(response: HttpResponse) -> int:
    """Return the epoch of a response, 0 if it has none that can be read."""
    for name, text in response.fields:
        if name.lower() == names.STORE_EPOCH.lower():
            with contextlib.suppress(ValueError):
                return parse_count(text)
    return 0


def _check(response: HttpResponse) -> Mapping:
    if response.status != _OK:
        raise StoreDownError(f'store returned status {response.status}')
    return _parse(response.body)


def _parse(body: bytes) -> Mapping:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise StoreError('store response is not JSON') from error
    if not isinstance(fields, dict):
        raise StoreError('store response is not a JSON object')
    return fields


def _decode_page(response: HttpResponse) -> Page:
    fields = _check(response)
    return Page(
        _decode_rows(fields), _decode_version(fields), _decode_epoch(response)
    )


def _decode_version(fields: Mapping) -> int:
    """Return the version of a response or a row.

    :raises StoreError: if it is missing, of another type or out of range.
    """
    version = fields.get('row_version')
    if type(version) is not int or version not in _VERSIONS:
        raise StoreError('malformed store response: row_version')
    return version


def _decode_rows(fields: Mapping) -> tuple[Row, ...]:
    rows = fields.get('rows', [])
    if not isinstance(rows, list):
        raise StoreError('malformed store response: rows')
    return tuple(_decode_row(row) for row in rows)


def _decode_row(row: object) -> Row:
    """Decode a row; what cannot be decoded is empty.

    Callers cannot decode an empty key or empty content, and log such rows.
    """
    if not isinstance(row, dict):
        return _UNREADABLE
    try:
        version = _decode_version(row)
    except StoreError:
        return _UNREADABLE
    key = _decode_key(row.get('key'))
    encoded = row.get('value')
    deleted = row.get('tombstone') or encoded is None
    content = None if deleted and key else _decode_value(encoded)
    return Row(key, content, version)


def _decode_key(key: object) -> str:
    """Return a key, empty if a request could not contain it."""
    if not isinstance(key, str):
        return ''
    size = len(key.encode(errors='surrogatepass'))
    if size > _MAX_KEY_BYTES or _SURROGATE.search(key):
        return ''
    return key


def _decode_value(encoded: str) -> bytes:
    try:
        return base64.b64decode(encoded, validate=True)
    except (ValueError, TypeError):
        return b''


def _select_configuration(page: Page) -> Page:
    rows = [row for row in page.rows if row.key == names.CONFIGURATION_KEY]
    return Page(tuple(rows), page.version, page.epoch)
