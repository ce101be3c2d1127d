"""HTTP clients of the platform's table service and object store."""

import json
import types
import uuid
from collections.abc import Sequence
from http import HTTPStatus
from urllib.parse import quote, urlencode

import attrs
import urllib3

from godwitknot.errors import (
    ConflictError,
    LostAnswerError,
    MissingObjectError,
    StoreDownError,
    StoreError,
)
from godwitknot.storage.store import ObjectStore, Row, TableService, Write
from godwitknot.units import Address

# Column that names the write that made the present version of a row.
WRITE_ID = 'write_id'
_SETTLE_ATTEMPTS = 3
_CONNECTIONS = 16
_JSON_HEADERS = (('Content-Type', 'application/json'),)
# Any other status leaves open whether a write took effect.
_FAILURES = types.MappingProxyType(
    {
        HTTPStatus.CONFLICT: ConflictError,
        HTTPStatus.NOT_FOUND: MissingObjectError,
        HTTPStatus.SERVICE_UNAVAILABLE: StoreDownError,
    }
)
# Raised before a byte of the request has left.
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


@attrs.frozen
class _Call:
    """One request to the platform; ``changes`` if it writes."""

    method: str
    path: str
    body: bytes | None = None
    changes: bool = False


class _BrokenReadError(StoreDownError):
    """The connection broke during a read."""


class _PlatformClient:
    """Sends requests and types every failure; repeats reads only."""

    def __init__(self, address: Address, timeout: float) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            address.host,
            address.port,
            maxsize=_CONNECTIONS,
            timeout=urllib3.Timeout(connect=timeout, read=timeout),
            retries=False,
        )

    def call(self, call: _Call) -> urllib3.BaseHTTPResponse:
        """Send a request; a read whose connection broke is sent once more.

        The service may close an idle connection just as it is reused.
        """
        if call.changes:
            return self._send(call)
        try:
            return self._send(call)
        except _BrokenReadError:
            return self._send(call)

    def _send(self, call: _Call) -> urllib3.BaseHTTPResponse:
        try:
            response = self._pool.request(
                call.method,
                call.path,
                body=call.body,
                headers=dict(_JSON_HEADERS),
                redirect=False,
                retries=False,
            )
        except _NOT_SENT as refused:
            raise StoreDownError(f'{call.path}: not connected') from refused
        except (urllib3.exceptions.HTTPError, OSError) as broken:
            raise _explain_silence(call, broken) from broken
        return self._check(call, response)

    def _check(
        self, call: _Call, response: urllib3.BaseHTTPResponse
    ) -> urllib3.BaseHTTPResponse:
        status = response.status
        if status == HTTPStatus.OK:
            return response
        failure = _FAILURES.get(status, LostAnswerError)
        if failure is LostAnswerError and not call.changes:
            failure = StoreDownError
        raise failure(f'{call.path}: status {status}')


def _explain_silence(call: _Call, broken: Exception) -> StoreError:
    if call.changes:
        return LostAnswerError(f'{call.path}: no answer')
    if isinstance(broken, urllib3.exceptions.ProtocolError):
        return _BrokenReadError(f'{call.path}: cut off')
    return StoreDownError(f'{call.path}: no answer')


class HttpTableService(TableService):
    """The table service over HTTP."""

    def __init__(self, address: Address, timeout: float) -> None:
        """Prepare connections; none is opened yet.

        :param timeout: seconds for connecting and for each read.
        """
        self._client = _PlatformClient(address, timeout)

    def read(self, key: str) -> Row:
        """Read a row; see :class:`TableService`."""
        query = urlencode({'key': key})
        response = self._client.call(_Call('GET', f'/tables/row?{query}'))
        return Row(**_parse(response))

    def scan(self, prefix: str) -> Sequence[Row]:
        """Read all rows of a prefix; see :class:`TableService`."""
        query = urlencode({'prefix': prefix})
        response = self._client.call(_Call('GET', f'/tables/scan?{query}'))
        return [Row(**found) for found in _parse(response)['rows']]

    def write(self, writes: Sequence[Write]) -> None:
        """Apply all writes or none; see :class:`TableService`."""
        document = {'writes': [attrs.asdict(write) for write in writes]}
        body = json.dumps(document).encode()
        self._client.call(_Call('POST', '/tables/write', body, changes=True))


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, address: Address, timeout: float) -> None:
        """Prepare connections; none is opened yet.

        :param timeout: seconds for connecting and for each read.
        """
        self._client = _PlatformClient(address, timeout)

    def put(self, name: str, content: bytes) -> None:
        """Store an object; see :class:`ObjectStore`."""
        path = f'/objects/{quote(name)}'
        self._client.call(_Call('PUT', path, content, changes=True))

    def get(self, name: str) -> bytes:
        """Fetch an object; see :class:`ObjectStore`."""
        path = f'/objects/{quote(name)}'
        return self._client.call(_Call('GET', path)).data


def make_write(key: str, expected: int, columns: dict[str, object]) -> Write:
    """Build a write whose row carries its write id.

    :param columns: new content; the column :data:`WRITE_ID` is added.
    """
    write_id = uuid.uuid4().hex
    return Write(key, expected, {**columns, WRITE_ID: write_id}, write_id)


def write_and_confirm(tables: TableService, write: Write) -> None:
    """Apply one write of :func:`make_write` and learn whether it took effect.

    A lost answer is settled by reading the row. Where the row has not
    changed, the write may still be on its way, so it is sent again with
    the same id, which the service applies once.

    :raises ConflictError: if it certainly did not take effect.
    :raises StoreDownError: if it certainly has not been sent.
    :raises LostAnswerError: if its effect cannot be learned now.
    """
    try:
        return tables.write([write])
    except LostAnswerError as first:
        lost = first
    for _ in range(_SETTLE_ATTEMPTS):
        if _was_applied(tables, write, lost):
            return None
        try:
            return tables.write([write])
        except StoreDownError as down:
            raise lost from down
        except LostAnswerError as again:
            lost = again
    raise lost


def _was_applied(
    tables: TableService, write: Write, lost: LostAnswerError
) -> bool:
    try:
        row = tables.read(write.key)
    except StoreDownError as down:
        raise lost from down
    if row.columns.get(WRITE_ID) == write.write_id:
        return True
    # The version that this write would have made belongs to another one.
    if row.version == write.expected + 1:
        raise ConflictError(f'{write.key}: changed by another write')
    return False


def _parse(response: urllib3.BaseHTTPResponse) -> dict[str, object]:
    try:
        return json.loads(response.data)
    except ValueError as error:
        raise StoreDownError('answer is not JSON') from error
