"""Request parsing and responses for the WSGI applications of a node."""

import http
import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any
from urllib.parse import quote

from godwitknot.errors import ProtocolError
from godwitknot.outcomes import Code, RefusalError
from godwitknot.web import headers
from godwitknot.web.exchange import BODILESS_STATUSES
from godwitknot.web.relay import RelayResponse

INTERNAL_PATH_PREFIX = '/.godwitknot/'
# An HTTP/1.0 caller cannot detect that a response without a length was
# truncated, so such a response is buffered up to this size before sending.
_MAX_HTTP10_BUFFER_BYTES = 1048576

Environ = Mapping[str, Any]
StartResponse = Callable[..., Any]


def read_target(environ: Environ) -> str:
    """Return path and query as sent in the request line.

    :param environ: WSGI environment.
    """
    uri = environ.get('REQUEST_URI', '')
    if uri.startswith('/'):
        return uri
    path = quote(environ['PATH_INFO'], encoding='latin-1')
    query = environ.get('QUERY_STRING')
    return f'{path}?{query}' if query else path


def read_length(environ: Environ) -> int | None:
    """Return the length of the request body, ``None`` if it is chunked."""
    if environ.get('wsgi.input_terminated'):
        return None
    return int(environ.get('CONTENT_LENGTH') or 0)


def format_status_line(status: int, reason: str = '') -> str:
    """Return the status string for ``start_response``.

    :param reason: reason phrase; if empty, the standard phrase is used.
    """
    if not reason:
        is_registered = status in http.HTTPStatus.__members__.values()
        reason = http.HTTPStatus(status).phrase if is_registered else 'Unknown'
    return f'{status} {reason}'


def respond_json(
    start_response: StartResponse,
    status: int,
    document: object,
    extra: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Respond with a JSON document.

    :param extra: additional header fields.
    """
    content = json.dumps(document, sort_keys=True).encode()
    fields = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(content))),
        *extra,
    ]
    start_response(format_status_line(status), fields)
    return [content]


def respond_refusal(
    start_response: StartResponse,
    refusal: RefusalError,
    request_id: str,
    extra: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Respond with a refusal.

    The code and the outcome are in the header fields and in the JSON body.

    :param extra: additional header fields.
    """
    fields = [
        (headers.REQUEST_ID, request_id),
        (headers.OUTCOME, str(refusal.outcome)),
        (headers.CODE, str(refusal.code)),
        *extra,
    ]
    if refusal.retry_after is not None:
        fields.append((headers.RETRY_AFTER, str(refusal.retry_after)))
    document = {
        'code': str(refusal.code),
        'outcome': str(refusal.outcome),
        'request': request_id,
        'detail': refusal.detail,
    }
    return respond_json(start_response, refusal.status, document, fields)


class ResponseStream:
    """Iterates over a response body and releases the response at the end."""

    def __init__(self, response: RelayResponse) -> None:
        """Wrap a relayed response."""
        self._response = response

    def __iter__(self) -> Iterator[bytes]:
        """Return the chunks; an error while reading aborts the transfer."""
        return self._response.chunks

    def close(self) -> None:
        """Release the response's resources; called by the WSGI server."""
        self._response.close()


def respond_relayed(
    start_response: StartResponse,
    response: RelayResponse,
    extra: Iterable[tuple[str, str]],
    *,
    http10: bool = False,
) -> Iterable[bytes]:
    """Respond with a relayed response.

    :param extra: additional header fields.
    :param http10: the caller uses HTTP/1.0 and cannot read chunked bodies.
    :raises RefusalError: if the response to an HTTP/1.0 caller has no length
        and is truncated or too large to buffer.
    """
    fields = [*response.headers, *extra]
    length = response.length
    if length is None and http10 and response.status not in BODILESS_STATUSES:
        content = _buffer_body(response)
        response.chunks = iter([content])
        length = len(content)
    if length is not None:
        fields.append(('Content-Length', str(length)))
    start_response(format_status_line(response.status, response.reason), fields)
    return ResponseStream(response)


def _buffer_body(response: RelayResponse) -> bytes:
    parts = []
    total = 0
    try:
        for chunk in response.chunks:
            parts.append(chunk)
            total += len(chunk)
            if total > _MAX_HTTP10_BUFFER_BYTES:
                response.close()
                raise RefusalError(Code.LENGTH_REQUIRED, response.outcome)
    except ProtocolError as error:
        response.close()
        raise RefusalError(Code.BAD_ANSWER, response.outcome) from error
    return b''.join(parts)
