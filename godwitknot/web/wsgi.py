"""Small helpers for the WSGI applications of a node."""

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
# An HTTP/1.0 caller cannot see that an answer without a length was cut, so
# such an answer is read to its end first.
_HTTP10_BUFFER_BYTES = 1048576

Environ = Mapping[str, Any]
StartResponse = Callable[..., Any]


def read_target(environ: Environ) -> str:
    """Give path and query as they stood in the request line.

    :param environ: WSGI environment.
    """
    uri = environ.get('REQUEST_URI', '')
    if uri.startswith('/'):
        return uri
    path = quote(environ['PATH_INFO'], encoding='latin-1')
    query = environ.get('QUERY_STRING')
    return f'{path}?{query}' if query else path


def read_length(environ: Environ) -> int | None:
    """Give the length of the request body, ``None`` if it is chunked."""
    if environ.get('wsgi.input_terminated'):
        return None
    return int(environ.get('CONTENT_LENGTH') or 0)


def status_line(status: int, reason: str = '') -> str:
    """Give the status as WSGI wants it.

    :param reason: reason phrase; the standard one if empty.
    """
    if not reason:
        known = status in http.HTTPStatus.__members__.values()
        reason = http.HTTPStatus(status).phrase if known else 'Unknown'
    return f'{status} {reason}'


def respond_json(
    start_response: StartResponse,
    status: int,
    document: object,
    extra: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answer with a JSON document.

    :param extra: further header fields.
    """
    content = json.dumps(document, sort_keys=True).encode()
    fields = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(content))),
        *extra,
    ]
    start_response(status_line(status), fields)
    return [content]


def respond_refusal(
    start_response: StartResponse,
    refusal: RefusalError,
    request_id: str,
    extra: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answer with a typed refusal.

    The header fields and the JSON body both tell the code and the outcome.
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
    """Iterates over the body of an answer and releases it at the end."""

    def __init__(self, answer: RelayResponse) -> None:
        """Take over an answer."""
        self._answer = answer

    def __iter__(self) -> Iterator[bytes]:
        """Give the chunks; an error breaks the transfer off."""
        return self._answer.chunks

    def close(self) -> None:
        """Release what the answer holds; the server calls it."""
        self._answer.close()


def respond_relayed(
    start_response: StartResponse,
    answer: RelayResponse,
    extra: Iterable[tuple[str, str]],
    *,
    http10: bool = False,
) -> Iterable[bytes]:
    """Answer with a relayed answer.

    :param extra: further header fields.
    :param http10: the caller cannot read chunked bodies.
    :raises RefusalError: if the answer cannot be told safely.
    """
    fields = [*answer.headers, *extra]
    length = answer.length
    if length is None and http10 and answer.status not in BODILESS_STATUSES:
        content = _read_whole(answer)
        answer.chunks = iter([content])
        length = len(content)
    if length is not None:
        fields.append(('Content-Length', str(length)))
    start_response(status_line(answer.status, answer.reason), fields)
    return ResponseStream(answer)


def _read_whole(answer: RelayResponse) -> bytes:
    parts = []
    total = 0
    try:
        for chunk in answer.chunks:
            parts.append(chunk)
            total += len(chunk)
            if total > _HTTP10_BUFFER_BYTES:
                answer.close()
                raise RefusalError(Code.LENGTH_REQUIRED, answer.outcome)
    except ProtocolError as error:
        answer.close()
        raise RefusalError(Code.BAD_ANSWER, answer.outcome) from error
    return b''.join(parts)
