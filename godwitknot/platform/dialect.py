"""Codec of header fields, announcements and the configuration."""

import re
import urllib.parse
from collections.abc import Mapping

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.interfaces import Dialect
from godwitknot.mesh.model import (
    CallerLimits,
    Departure,
    Fields,
    FleetConfiguration,
    Heartbeat,
    RequestMetadata,
    ResponseMetadata,
    ServerState,
)
from godwitknot.platform import names
from godwitknot.platform.configuration import decode_configuration
from godwitknot.platform.fieldchecks import (
    Limits,
    check_text,
    parse_document,
    read_address,
    read_integer,
    read_number,
    read_text,
    read_word,
)
from godwitknot.units import UNIX_MS

_MS_PER_SECOND = 1000
_KEY_FIELD = names.ACCOUNT_KEY.lower()
_DEADLINE_MS = re.compile(r'[0-9]{1,15}(?:\.[0-9]{0,15})?')
_COUNT = re.compile('[0-9]{1,9}')
# Frames carry the number of slots as an unsigned 32-bit integer; 0 counts as 1.
_SLOTS = Limits(0, 2**32 - 1)  # noqa: WPS432
_UNIX_MS = Limits(UNIX_MS.start, UNIX_MS.stop - 1)
# Heartbeats are seconds apart.
_SEQUENCE = Limits(0, 10**12)  # noqa: WPS432
# Milliseconds, up to 11 days.
_WARM_UP_MS = Limits(0, 10**9)
_STATES = {'ready': ServerState.READY, 'draining': ServerState.DRAINING}
# Header fields that the node sets itself, in lower case.
_NODE_FIELDS = frozenset(
    name.lower()
    for name in (
        names.DEADLINE,
        names.EXPECT_INSTANCE,
        names.CALLER_SERVICE,
    )
)
# Header fields about client accounts, in lower case.
_ACCOUNT_FIELDS = frozenset(
    name.lower() for name in (names.ACCOUNT_KEY, names.ACCOUNT_NAME)
)


class PlatformDialect(Dialect):
    """Decodes and encodes messages in the platform's formats."""

    def read_request(self, fields: Fields) -> RequestMetadata:
        """Decode the header fields of a caller's request.

        :raises PlatformFormatError: if the deadline is not a decimal number.
        """
        by_name = _index_by_name(fields)
        text = by_name.get(names.DEADLINE.lower())
        left = None if text is None else _parse_deadline(text)
        key = by_name.get(_KEY_FIELD)
        if key is not None and _count(fields, _KEY_FIELD) > 1:
            # It is ambiguous which one applies, and no account has this key.
            key = ''
        return RequestMetadata(
            by_name.get(names.ATTEMPT_ID.lower(), ''), left, key
        )

    def read_response(self, fields: Fields) -> ResponseMetadata:
        """Decode the header fields of a server's response."""
        by_name = _index_by_name(fields)
        # "running,waiting,slots" as the server counts them.
        load = by_name.get(names.SERVER_LOAD.lower(), '').split(',')
        waiting = load[1] if len(load) == 3 else '0'
        return ResponseMetadata(
            attempt_id=by_name.get(names.ATTEMPT_ID.lower(), ''),
            sealed=names.SERVER_SEAL.lower() in by_name,
            not_executed=names.NOT_EXECUTED.lower() in by_name,
            server_id=by_name.get(names.SERVER_ID.lower(), ''),
            waiting=int(waiting) if _COUNT.fullmatch(waiting) else 0,
        )

    def build_server_fields(
        self,
        fields: Fields,
        *,
        seconds_left: float,
        server_id: str,
        caller_service: str,
        account: str = '',
    ) -> Fields:
        """Build the header fields of a request to a server.

        The caller's values of fields that the node sets are discarded.
        """
        server_fields = [
            pair for pair in fields if pair[0].lower() not in _NODE_FIELDS
        ]
        left = max(0, int(seconds_left * _MS_PER_SECOND))
        server_fields.append((names.DEADLINE, str(left)))
        server_fields.append((names.EXPECT_INSTANCE, server_id))
        server_fields.append((names.CALLER_SERVICE, caller_service))
        if account:
            server_fields.append((names.ACCOUNT_NAME, account))
        return server_fields

    def remove_account_fields(self, fields: Fields) -> Fields:
        """Remove the key and name of an account that a caller sent."""
        return [
            pair for pair in fields if pair[0].lower() not in _ACCOUNT_FIELDS
        ]

    def is_readiness_check(self, target: str) -> bool:
        """Return whether a request target is that of the readiness check."""
        return target.partition('?')[0] == names.READY_PATH

    def read_announcement(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> Heartbeat | Departure | None:
        """Decode an announcement of the local server.

        :returns: ``None`` if the request is not an announcement.
        :raises PlatformFormatError: if the announcement is malformed.
        """
        path, _, query = target.partition('?')
        if method != 'POST' or path != names.RPC_PATH:
            return None
        parameters = dict(urllib.parse.parse_qsl(query))
        server_id = parameters.get('of', '')
        call = parameters.get('call')
        if not server_id or call not in {
            names.HEARTBEAT_CALL,
            names.DEREGISTER_CALL,
        }:
            return None
        check_text(server_id, 'of')
        if call == names.DEREGISTER_CALL:
            return Departure(server_id, _decode_departure_born(body))
        try:
            return _decode_heartbeat(server_id, parse_document(body))
        except PlatformFormatError as error:
            raise PlatformFormatError(f'heartbeat: {error}') from error

    def read_configuration(self, source: bytes) -> FleetConfiguration:
        """Decode the operator's configuration.

        :raises PlatformFormatError: if the configuration is malformed.
        """
        try:
            return decode_configuration(source, parse_document(source))
        except PlatformFormatError as error:
            raise PlatformFormatError(f'configuration: {error}') from error


def _index_by_name(fields: Fields) -> dict[str, str]:
    return {name.lower(): text for name, text in fields}


def _count(fields: Fields, name: str) -> int:
    """Return how many header fields have a name, given in lower case."""
    return sum(pair[0].lower() == name for pair in fields)


def _parse_deadline(text: str) -> float:
    """Return the seconds until a caller's deadline."""
    if _DEADLINE_MS.fullmatch(text) is None:
        raise PlatformFormatError(
            f'{names.DEADLINE}: not a number of milliseconds'
        )
    return float(text) / _MS_PER_SECOND


def _decode_departure_born(body: bytes) -> int:
    try:
        return read_integer(parse_document(body), 'born', _UNIX_MS, 0)
    except PlatformFormatError:
        # The body is optional, since the query already names the server.
        return 0


def _decode_heartbeat(server_id: str, fields: Mapping) -> Heartbeat:
    warm_up_ms = read_number(fields, 'cold_left_ms', _WARM_UP_MS, 0)
    return Heartbeat(
        server_id=server_id,
        service=read_text(fields, 'service'),
        address=read_address(fields, 'address'),
        slots=max(1, read_integer(fields, 'slots', _SLOTS)),
        state=read_word(fields, 'state', _STATES),
        born=read_integer(fields, 'born', _UNIX_MS, 0),
        sequence=read_integer(fields, 'seq', _SEQUENCE),
        warm_up_seconds=warm_up_ms / _MS_PER_SECOND,
    )
