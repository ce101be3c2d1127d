"""The relay protocol between an ingress and a sidecar, over HTTP.

Each request carries a MAC under the fleet key. It covers every field that
decides how the request is run, so that only nodes of the fleet can use the
peer port.
"""

from collections.abc import Mapping

from godwitknot.clock import Clock
from godwitknot.errors import ProtocolError, VerificationError
from godwitknot.keys import FleetKeys
from godwitknot.outcomes import Code, Outcome, RefusalError
from godwitknot.web import headers
from godwitknot.web.relay import (
    RelayRequest,
    RelayResponse,
    RequestBody,
    parse_tag,
)

_MILLISECONDS = 1000
_SIGNED_FIELDS = (
    headers.ATTEMPT,
    headers.REQUEST,
    headers.CLASS,
    headers.DEADLINE_MS,
    headers.SERVER,
    headers.INCARNATION,
    headers.ACCOUNT,
    headers.LAST_RESORT,
    headers.IDEMPOTENCY_KEY,
    headers.MOVED_KEY,
    headers.BODY_DIGEST,
)
_SERVICE_SEPARATOR = '/'


def sign_fields(
    keys: FleetKeys,
    method: str,
    target: str,
    fields: Mapping[str, str],
) -> str:
    """Return the value of the MAC header.

    :param fields: header fields; those that are not signed are ignored.
    """
    payload = _build_signed_payload(method, target, fields)
    return f'{keys.current}:{keys.sign(payload).hex()}'


def verify_fields(
    keys: FleetKeys,
    method: str,
    target: str,
    fields: Mapping[str, str],
) -> None:
    """Verify the MAC header.

    :param fields: all header fields, names in title case.
    :raises VerificationError: if it is missing or wrong.
    """
    key_id, separator, text = fields.get(headers.MAC, '').partition(':')
    try:
        mac = bytes.fromhex(text)
    except ValueError:
        mac = b''
    if not separator:
        raise VerificationError('message authentication code missing')
    keys.verify(key_id, _build_signed_payload(method, target, fields), mac)


def _build_signed_payload(
    method: str,
    target: str,
    fields: Mapping[str, str],
) -> bytes:
    parts = [method, target]
    parts.extend(fields.get(name, '') for name in _SIGNED_FIELDS)
    # Header values contain no line breaks, so the joined text is unambiguous.
    return '\n'.join(parts).encode('utf-8', 'surrogateescape')


def encode_request(
    request: RelayRequest,
    keys: FleetKeys,
    clock: Clock,
) -> headers.HeaderFields:
    """Return the signed header fields of a relayed request."""
    seconds_left = max(0, request.deadline - clock.now())
    fields = {
        headers.ATTEMPT: request.attempt_id,
        headers.REQUEST: request.request_id,
        headers.CLASS: str(request.tag),
        headers.DEADLINE_MS: str(int(seconds_left * _MILLISECONDS)),
        headers.SERVER: f'{request.service}/{request.server}',
        headers.INCARNATION: str(request.incarnation),
        headers.ACCOUNT: request.account,
        headers.IDEMPOTENCY_KEY: request.key,
        headers.MOVED_KEY: request.moved_key,
    }
    if request.last_resort:
        fields[headers.LAST_RESORT] = 'yes'
    mac = sign_fields(keys, request.method, request.target, fields)
    fields[headers.MAC] = mac
    forwarded = [
        (name, text)
        for name, text in request.headers
        if name.lower() != headers.IDEMPOTENCY_KEY.lower()
    ]
    return forwarded + [(name, text) for name, text in fields.items() if text]


def decode_request(
    method: str,
    target: str,
    fields: Mapping[str, str],
    body: RequestBody,
    clock: Clock,
) -> RelayRequest:
    """Decode a relayed request whose MAC has been verified.

    :param fields: all header fields, names in title case.
    :raises ProtocolError: if a field is malformed.
    """
    attempt_id = fields.get(headers.ATTEMPT, '')
    service, _, server = fields.get(headers.SERVER, '').partition(
        _SERVICE_SEPARATOR,
    )
    try:
        seconds_left = int(fields[headers.DEADLINE_MS]) / _MILLISECONDS
        incarnation = int(fields[headers.INCARNATION])
    except (KeyError, ValueError) as error:
        raise ProtocolError('malformed relay header') from error
    if not (attempt_id and server):
        raise ProtocolError('relay header missing')
    return RelayRequest(
        method=method,
        target=target,
        headers=headers.strip_internal(
            headers.strip_hop_by_hop(fields.items())
        ),
        body=body,
        attempt_id=attempt_id,
        request_id=fields.get(headers.REQUEST, ''),
        tag=parse_tag(fields.get(headers.CLASS, '')),
        service=service,
        server=server,
        incarnation=incarnation,
        account=fields.get(headers.ACCOUNT, ''),
        deadline=clock.now() + seconds_left,
        key=fields.get(headers.IDEMPOTENCY_KEY, ''),
        last_resort=bool(fields.get(headers.LAST_RESORT)),
        moved_key=fields.get(headers.MOVED_KEY, ''),
    )


def encode_response(
    attempt_id: str, response: RelayResponse
) -> headers.HeaderFields:
    """Return the header fields of a relayed response."""
    fields = [
        (headers.ATTEMPT, attempt_id),
        (headers.OUTCOME, str(response.outcome)),
        (headers.SERVER_MS, str(int(response.server_seconds * _MILLISECONDS))),
    ]
    if response.load is not None:
        fields.append((headers.LOAD, str(response.load)))
    return fields


def decode_refusal(fields: Mapping[str, str]) -> RefusalError | None:
    """Return the refusal that a response carries, or ``None``.

    :param fields: header fields; the names may have any case.
    :raises ProtocolError: if a field of the refusal is malformed or unknown.
    """
    code = fields.get(headers.CODE, '')
    if not code:
        return None
    retry_after = fields.get(headers.RETRY_AFTER)
    try:
        return RefusalError(
            Code(code),
            Outcome(fields.get(headers.OUTCOME, '')),
            int(retry_after) if retry_after else None,
            relayed=True,
            moved_key=fields.get(headers.MOVED_KEY, ''),
        )
    except ValueError as error:
        raise ProtocolError('malformed refusal') from error
