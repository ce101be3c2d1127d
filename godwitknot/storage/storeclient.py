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
from godwitknot.strictresponses import StrictConnectionPool
from godwitknot.units import Address

# Column with the id of the write that created the current version of a row.
WRITE_ID = 'write_id'
_CONFIRM_ATTEMPTS = 3
_MAX_POOLED_CONNECTIONS = 16
_JSON_HEADERS = (('Content-Type', 'application/json'),)
# With any other status it is unknown whether a write took effect.
_STATUS_ERRORS = types.MappingProxyType(
    {
        HTTPStatus.CONFLICT: ConflictError,
        HTTPStatus.NOT_FOUND: MissingObjectError,
        HTTPStatus.SERVICE_UNAVAILABLE: StoreDownError,
    }
)
# Raised before any byte of the request is sent.
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


@attrs.frozen
class _Call:
    """One request to the platform.

    :param is_write: whether the request may change stored data.
    """

    method: str
    path: str
    body: bytes | None = None
    is_write: bool = False


class _BrokenReadError(StoreDownError):
    """The connection broke during a read."""


class _PlatformClient:
    """Sends requests and translates failures; retries only reads."""

    def __init__(self, address: Address, timeout: float) -> None:
        self._pool = StrictConnectionPool(
            address.host,
            address.port,
            maxsize=_MAX_POOLED_CONNECTIONS,
            timeout=urllib3.Timeout(connect=timeout, read=timeout),
            retries=False,
        )

    def call(self, call: _Call) -> urllib3.BaseHTTPResponse:
        """Send a request; retry a read once if its connection broke.

        The service may close an idle connection at the moment it is reused.
        """
        if call.is_write:
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
        except _NOT_SENT_ERRORS as failure:
            raise StoreDownError(f'{call.path}: cannot connect') from failure
        except (urllib3.exceptions.HTTPError, OSError) as cause:
            raise _translate_error(call, cause) from cause
        return self._check_status(call, response)

    def _check_status(
        self, call: _Call, response: urllib3.BaseHTTPResponse
    ) -> urllib3.BaseHTTPResponse:
        status = response.status
        if status == HTTPStatus.OK:
            return response
        error_type = _STATUS_ERRORS.get(status, LostAnswerError)
        if error_type is LostAnswerError and not call.is_write:
            error_type = StoreDownError
        raise error_type(f'{call.path}: status {status}')


def _translate_error(call: _Call, cause: Exception) -> StoreError:
    if call.is_write:
        return LostAnswerError(f'{call.path}: no response')
    if isinstance(cause, urllib3.exceptions.ProtocolError):
        return _BrokenReadError(f'{call.path}: connection broken')
    return StoreDownError(f'{call.path}: no response')


class HttpTableService(TableService):
    """The table service over HTTP."""

    def __init__(self, address: Address, timeout: float) -> None:
        """Create a client; connections are opened on first use.

        :param timeout: seconds for connecting and for each read.
        """
        self._client = _PlatformClient(address, timeout)

    def read(self, key: str) -> Row:
        """Read a row; see :class:`TableService`."""
        query = urlencode({'key': key})
        response = self._client.call(_Call('GET', f'/tables/row?{query}'))
        return Row(**_parse(response))

    def scan(self, prefix: str) -> Sequence[Row]:
        """Read all rows with a key prefix; see :class:`TableService`."""
        query = urlencode({'prefix': prefix})
        response = self._client.call(_Call('GET', f'/tables/scan?{query}'))
        return [Row(**fields) for fields in _parse(response)['rows']]

    def write(self, writes: Sequence[Write]) -> None:
        """Apply all writes or none of them; see :class:`TableService`."""
        document = {'writes': [attrs.asdict(write) for write in writes]}
        body = json.dumps(document).encode()
        self._client.call(_Call('POST', '/tables/write', body, is_write=True))


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, address: Address, timeout: float) -> None:
        """Create a client; connections are opened on first use.

        :param timeout: seconds for connecting and for each read.
        """
        self._client = _PlatformClient(address, timeout)

    def put(self, name: str, content: bytes) -> None:
        """Store an object; see :class:`ObjectStore`."""
        path = f'/objects/{quote(name)}'
        self._client.call(_Call('PUT', path, content, is_write=True))

    def get(self, name: str) -> bytes:
        """Fetch an object; see :class:`ObjectStore`."""
        path = f'/objects/{quote(name)}'
        return self._client.call(_Call('GET', path)).data


def make_write(key: str, expected: int, columns: dict[str, object]) -> Write:
    """Build a write that stores its own id in the row.

    :param expected: version that the row must have.
    :param columns: new content; the column :data:`WRITE_ID` is added.
    """
    write_id = uuid.uuid4().hex
    return Write(key, expected, {**columns, WRITE_ID: write_id}, write_id)


def write_and_confirm(tables: TableService, write: Write) -> None:
    """Apply a write of :func:`make_write` and confirm that it took effect.

    After a lost response, reads the row to find out. If the row has not
    changed, the write may still be in transit, so it is sent again with the
    same id, which the service applies once.

    :raises ConflictError: if the write certainly did not take effect.
    :raises StoreDownError: if the write certainly was not sent.
    :raises LostAnswerError: if it is unknown whether the write took effect.
    """
    try:
        return tables.write([write])
    except LostAnswerError as first_loss:
        lost = first_loss
    for _ in range(_CONFIRM_ATTEMPTS):
        if _was_applied(tables, write, lost):
            return None
        try:
            return tables.write([write])
        except StoreDownError as outage:
            raise lost from outage
        except LostAnswerError as next_loss:
            lost = next_loss
    raise lost


def _was_applied(
    tables: TableService, write: Write, lost: LostAnswerError
) -> bool:
    try:
        row = tables.read(write.key)
    except StoreDownError as outage:
        raise lost from outage
    if row.columns.get(WRITE_ID) == write.write_id:
        return True
    # Another write created the version that this write would have created.
    if row.version == write.expected + 1:
        raise ConflictError(f'{write.key}: changed by another write')
    return False


def _parse(response: urllib3.BaseHTTPResponse) -> dict[str, object]:
    try:
        return json.loads(response.data)
    except (ValueError, RecursionError) as error:
        raise StoreDownError('the response is not JSON') from error
