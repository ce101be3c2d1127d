"""Codec of header fields, announcements and the configuration."""

import json
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
    Route,
    ServerState,
    Share,
)
from godwitknot.platform import names
from godwitknot.units import parse_address

_MS_PER_SECOND = 1000
_VERSION_PREFIX = 'r'
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


class PlatformDialect(Dialect):
    """Decodes and encodes messages in the platform's formats."""

    def read_request(self, fields: Fields) -> RequestMetadata:
        """Decode the header fields of a caller's request.

        :raises PlatformFormatError: if the deadline is not a number.
        """
        by_name = _index_by_name(fields)
        text = by_name.get(names.DEADLINE.lower())
        try:
            left = None if text is None else float(text) / _MS_PER_SECOND
        except ValueError as error:
            raise PlatformFormatError('deadline is not a number') from error
        return RequestMetadata(by_name.get(names.ATTEMPT_ID.lower(), ''), left)

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
            waiting=int(waiting) if waiting.isdigit() else 0,
        )

    def build_server_fields(
        self,
        fields: Fields,
        *,
        seconds_left: float,
        server_id: str,
        caller_service: str,
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
        return server_fields

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
        :raises PlatformFormatError: if the heartbeat is malformed.
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
        if call == names.DEREGISTER_CALL:
            return Departure(server_id, _decode_departure_born(body))
        try:
            return _decode_heartbeat(server_id, _parse(body))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformFormatError(f'heartbeat: {error!r}') from error

    def read_configuration(self, source: bytes) -> FleetConfiguration:
        """Decode the operator's configuration.

        :raises PlatformFormatError: if the configuration is malformed.
        """
        try:
            return _decode_configuration(source, _parse(source))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformFormatError(f'configuration: {error!r}') from error


def _index_by_name(fields: Fields) -> dict[str, str]:
    return {name.lower(): text for name, text in fields}


def _parse(body: bytes) -> Mapping:
    document = json.loads(body)
    if not isinstance(document, dict):
        raise PlatformFormatError('body is not a JSON object')
    return document


def _decode_departure_born(body: bytes) -> int:
    try:
        return _check_integer(json.loads(body).get('born', 0))
    except (ValueError, TypeError, AttributeError):
        # The body is optional, since the query already names the server.
        return 0


def _check_integer(number: object) -> int:
    """Return an integer unchanged.

    :raises TypeError: for any other type, including bool.
    """
    if type(number) is not int:
        raise TypeError(number)
    return number


def _decode_heartbeat(server_id: str, fields: Mapping) -> Heartbeat:
    warm_up_ms = fields.get('cold_left_ms', 0)
    if isinstance(warm_up_ms, bool) or not isinstance(warm_up_ms, int | float):
        raise TypeError(warm_up_ms)
    service = fields['service']
    if not isinstance(service, str):
        raise TypeError(service)
    return Heartbeat(
        server_id=server_id,
        service=service,
        address=parse_address(fields['address']),
        slots=max(1, _check_integer(fields['slots'])),
        state=_STATES[fields['state']],
        born=_check_integer(fields.get('born', 0)),
        sequence=_check_integer(fields['seq']),
        warm_up_seconds=float(warm_up_ms) / _MS_PER_SECOND,
    )


def _decode_configuration(
    source: bytes,
    fields: Mapping,
) -> FleetConfiguration:
    version = fields['version']
    if not version.startswith(_VERSION_PREFIX):
        raise ValueError(version)
    by_host: dict[str, list[Route]] = {}
    for name, entry in fields['routes'].items():
        route = _decode_route(name, entry)
        by_host.setdefault(route.host, []).append(route)
    limits = fields['limits']
    return FleetConfiguration(
        version=int(version.removeprefix(_VERSION_PREFIX)),
        routes={
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in by_host.items()
        },
        health_paths={
            name: entry['health_check']
            for name, entry in fields['services'].items()
        },
        limits=CallerLimits(
            header_bytes=int(limits['max_header_bytes']),
            body_bytes=int(limits['max_body_bytes']),
            header_seconds=limits['header_timeout_ms'] / _MS_PER_SECOND,
            idle_seconds=limits['idle_timeout_ms'] / _MS_PER_SECOND,
        ),
        source=source,
    )


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _decode_route(name: str, entry: Mapping) -> Route:
    split = entry.get('traffic_split')
    if split:
        shares = [Share(part['service'], part['weight']) for part in split]
    else:
        shares = [Share(entry['service'], 1)]
    timeout = entry['timeout_ms'] / _MS_PER_SECOND
    return Route(
        name=name,
        host=entry['host'].lower(),
        prefix=entry['prefix'],
        kind=names.KINDS[entry['route_type']],
        shares=tuple(shares),
        attempts=int(entry.get('attempts') or 1),
        timeout=timeout,
        objective=(entry.get('target_latency_ms') or 0) / _MS_PER_SECOND
        or timeout,
        priority=int(entry.get('priority') or 0),
    )
