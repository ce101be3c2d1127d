"""Names of header fields, and rules for which ones are forwarded."""

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
# SHA-256 of the body of a request between nodes that relays no caller's
# request.
BODY_DIGEST = 'X-Godwitknot-Digest'
# Issued key to which the right of another key was transferred: on the
# request to its new owner, and on the refusal by the old one.
MOVED_KEY = 'X-Godwitknot-Moved-Key'
OUTCOME = 'X-Godwitknot-Outcome'
CODE = 'X-Godwitknot-Code'
LOAD = 'X-Godwitknot-Load'
SERVER_MS = 'X-Godwitknot-Server-Ms'
REQUEST_ID = 'X-Request-Id'
RETRY_AFTER = 'Retry-After'
IDEMPOTENCY_KEY = 'Idempotency-Key'
# Milliseconds until the deadline. Callers may send it, and backend servers
# receive it.
TIME_LEFT = 'X-Deadline-Ms'
# A backend server that sheds a request sets this header on a 503 response.
NOT_RUN = 'X-Not-Run'

_HOP_BY_HOP = frozenset(
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
    """Return the header fields of a WSGI request.

    :param environ: WSGI environment.
    :returns: names in title case, with values.
    """
    fields = []
    for key, text in environ.items():
        if key.startswith(_ENVIRON_PREFIX):
            name = key.removeprefix(_ENVIRON_PREFIX)
            fields.append((name.replace('_', '-').title(), str(text)))
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        fields.append(('Content-Type', str(content_type)))
    return fields


def strip_hop_by_hop(fields: Iterable[tuple[str, str]]) -> HeaderFields:
    """Return the end-to-end fields, without the hop-by-hop ones.

    Hop-by-hop fields are a fixed set and those that ``Connection`` names.
    The length is removed too, since each hop frames its own message.

    :param fields: header fields of a request or a response.
    """
    excluded = set(_HOP_BY_HOP)
    forwarded = []
    for name, text in fields:
        lowered = name.lower()
        if lowered == 'connection':
            excluded.update(token.strip().lower() for token in text.split(','))
        elif lowered not in _HOP_BY_HOP:
            forwarded.append((name, text))
    if len(excluded) == len(_HOP_BY_HOP):
        return forwarded
    return [
        (name, text) for name, text in forwarded if name.lower() not in excluded
    ]


def strip_internal(fields: Iterable[tuple[str, str]]) -> HeaderFields:
    """Return the fields without godwitknot's own, which callers must not set.

    :param fields: header fields of a request or a response.
    """
    return [
        (name, text)
        for name, text in fields
        if not name.lower().startswith(INTERNAL_PREFIX)
    ]


def find_header(fields: Iterable[tuple[str, str]], field_name: str) -> str:
    """Return the first value of a field, or an empty string.

    :param field_name: field name in any case.
    """
    lowered = field_name.lower()
    for name, text in fields:
        if name.lower() == lowered:
            return text
    return ''
