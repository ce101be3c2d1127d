"""Header rules of the proxy: what is passed on and what is not."""

from collections.abc import Iterable, Mapping

INTERNAL_PREFIX = 'x-godwitknot-'
ATTEMPT = 'X-Godwitknot-Attempt'
REQUEST = 'X-Godwitknot-Request'
CLASS = 'X-Godwitknot-Class'
DEADLINE_MS = 'X-Godwitknot-Deadline-Ms'
SERVER = 'X-Godwitknot-Server'
INCARNATION = 'X-Godwitknot-Incarnation'
ACCOUNT = 'X-Godwitknot-Account'
MAC = 'X-Godwitknot-Mac'
LAST_RESORT = 'X-Godwitknot-Last-Resort'
# SHA-256 of the body of a call between nodes that is no relayed request.
BODY_DIGEST = 'X-Godwitknot-Digest'
# Issued key that carries a transferred right: on the request to its new
# owner, and on the refusal by the old one.
MOVED_KEY = 'X-Godwitknot-Moved-Key'
OUTCOME = 'X-Godwitknot-Outcome'
CODE = 'X-Godwitknot-Code'
LOAD = 'X-Godwitknot-Load'
SERVER_MS = 'X-Godwitknot-Server-Ms'
REQUEST_ID = 'X-Request-Id'
RETRY_AFTER = 'Retry-After'
IDEMPOTENCY_KEY = 'Idempotency-Key'
# Time left in milliseconds; callers may send it, backend servers get it.
TIME_LEFT = 'X-Deadline-Ms'
# A backend server that sheds a request says so with this header and 503.
NOT_RUN = 'X-Not-Run'

_NOT_PASSED_ON = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
_ENVIRON_PREFIX = 'HTTP_'

HeaderFields = list[tuple[str, str]]


def read_environ_headers(environ: Mapping[str, object]) -> HeaderFields:
    """Give the header fields of a WSGI request.

    :param environ: WSGI environment.
    :returns: names in title case, with values.
    """
    pairs = []
    for key, text in environ.items():
        if key.startswith(_ENVIRON_PREFIX):
            name = key.removeprefix(_ENVIRON_PREFIX)
            pairs.append((name.replace('_', '-').title(), str(text)))
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        pairs.append(('Content-Type', str(content_type)))
    return pairs


def strip_hop_by_hop(pairs: Iterable[tuple[str, str]]) -> HeaderFields:
    """Leave out the fields that belong to one connection.

    These are the fixed ones and those that ``Connection`` names. The length
    is left out too, since each hop frames its own message.

    :param pairs: header fields of a request or an answer.
    """
    dropped = set(_NOT_PASSED_ON)
    kept = []
    for name, text in pairs:
        lowered = name.lower()
        if lowered == 'connection':
            dropped.update(part.strip().lower() for part in text.split(','))
        elif lowered not in _NOT_PASSED_ON:
            kept.append((name, text))
    if len(dropped) == len(_NOT_PASSED_ON):
        return kept
    return [(name, text) for name, text in kept if name.lower() not in dropped]


def strip_internal(pairs: Iterable[tuple[str, str]]) -> HeaderFields:
    """Leave out this project's own fields, which callers must not set."""
    return [
        (name, text)
        for name, text in pairs
        if not name.lower().startswith(INTERNAL_PREFIX)
    ]


def find_header(pairs: Iterable[tuple[str, str]], wanted: str) -> str:
    """Give the first value of a field, or an empty text.

    :param wanted: field name in any case.
    """
    lowered = wanted.lower()
    for name, text in pairs:
        if name.lower() == lowered:
            return text
    return ''
