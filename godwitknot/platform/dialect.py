"""Header fields, heartbeats and the operator's configuration."""

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

_MILLISECONDS = 1000
_VERSION_MARK = 'r'
_STATES = {'ready': ServerState.READY, 'draining': ServerState.DRAINING}
# Fields that the system sets itself, in lower case.
_OWN = frozenset(
    name.lower()
    for name in (
        names.TIME_LEFT,
        names.EXPECT_INSTANCE,
        names.CALLER_SERVICE,
    )
)


class PlatformDialect(Dialect):
    """Reads and writes what callers, servers and operators exchange."""

    def read_request(self, fields: Fields) -> RequestMetadata:
        """Give what a caller's header fields say.

        :raises PlatformFormatError: if the time left is no number.
        """
        found = _lower(fields)
        text = found.get(names.TIME_LEFT.lower())
        try:
            left = None if text is None else float(text) / _MILLISECONDS
        except ValueError as error:
            raise PlatformFormatError('malformed time left') from error
        return RequestMetadata(found.get(names.ATTEMPT_ID.lower(), ''), left)

    def read_response(self, fields: Fields) -> ResponseMetadata:
        """Give what a server's header fields say."""
        found = _lower(fields)
        # "running,waiting,slots" as the server counts them.
        load = found.get(names.SERVER_LOAD.lower(), '').split(',')
        waiting = load[1] if len(load) == 3 else '0'
        return ResponseMetadata(
            attempt_id=found.get(names.ATTEMPT_ID.lower(), ''),
            sealed=names.SEAL.lower() in found,
            not_executed=names.NOT_EXECUTED.lower() in found,
            server_id=found.get(names.SERVER_ID.lower(), ''),
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
        """Give the header fields for a server."""
        passed = [pair for pair in fields if pair[0].lower() not in _OWN]
        left = max(0, int(seconds_left * _MILLISECONDS))
        passed.append((names.TIME_LEFT, str(left)))
        passed.append((names.EXPECT_INSTANCE, server_id))
        passed.append((names.CALLER_SERVICE, caller_service))
        return passed

    def is_readiness_check(self, target: str) -> bool:
        """Tell whether a request asks for the node's readiness."""
        return target.partition('?')[0] == names.READY_PATH

    def read_announcement(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> Heartbeat | Departure | None:
        """Decode a call of the local server.

        :raises PlatformFormatError: if it names no server to use.
        """
        path, _, query = target.partition('?')
        if method != 'POST' or path != names.RPC_PATH:
            return None
        asked = dict(urllib.parse.parse_qsl(query))
        server_id = asked.get('of', '')
        call = asked.get('call')
        if not server_id or call not in {
            names.HEARTBEAT_CALL,
            names.LEAVE_CALL,
        }:
            return None
        if call == names.LEAVE_CALL:
            return Departure(server_id, _read_departure(body))
        try:
            return _decode_heartbeat(server_id, _parse(body))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformFormatError(f'heartbeat: {error!r}') from error

    def read_configuration(self, source: bytes) -> FleetConfiguration:
        """Decode the operator's configuration.

        :raises PlatformFormatError: if it cannot be read.
        """
        try:
            return _decode_configuration(source, _parse(source))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformFormatError(f'configuration: {error!r}') from error


def _lower(fields: Fields) -> dict[str, str]:
    return {name.lower(): text for name, text in fields}


def _parse(body: bytes) -> Mapping:
    document = json.loads(body)
    if not isinstance(document, dict):
        raise PlatformFormatError('body is no object')
    return document


def _read_departure(body: bytes) -> int:
    try:
        return _whole(json.loads(body).get('born', 0))
    except (ValueError, TypeError, AttributeError):
        # The body is optional here, and the path already names the server.
        return 0


def _whole(number: object) -> int:
    """Check a whole number.

    :raises TypeError: for any other type, truth values included.
    """
    if type(number) is not int:
        raise TypeError(number)
    return number


def _decode_heartbeat(server_id: str, fields: Mapping) -> Heartbeat:
    cold = fields.get('cold_left_ms', 0)
    if isinstance(cold, bool) or not isinstance(cold, int | float):
        raise TypeError(cold)
    service = fields['service']
    if not isinstance(service, str):
        raise TypeError(service)
    return Heartbeat(
        server_id=server_id,
        service=service,
        address=parse_address(fields['address']),
        slots=max(1, _whole(fields['slots'])),
        state=_STATES[fields['state']],
        born=_whole(fields.get('born', 0)),
        sequence=_whole(fields['seq']),
        warm_up_seconds=float(cold) / _MILLISECONDS,
    )


def _decode_configuration(
    source: bytes,
    fields: Mapping,
) -> FleetConfiguration:
    version = fields['version']
    if not version.startswith(_VERSION_MARK):
        raise ValueError(version)
    by_host: dict[str, list[Route]] = {}
    for name, entry in fields['routes'].items():
        route = _decode_route(name, entry)
        by_host.setdefault(route.host, []).append(route)
    limits = fields['limits']
    return FleetConfiguration(
        version=int(version.removeprefix(_VERSION_MARK)),
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
            header_seconds=limits['header_timeout_ms'] / _MILLISECONDS,
            idle_seconds=limits['idle_timeout_ms'] / _MILLISECONDS,
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
    timeout = entry['timeout_ms'] / _MILLISECONDS
    return Route(
        name=name,
        host=entry['host'].lower(),
        prefix=entry['prefix'],
        kind=names.KINDS[entry['route_type']],
        shares=tuple(shares),
        attempts=int(entry.get('attempts') or 1),
        timeout=timeout,
        objective=(entry.get('target_latency_ms') or 0) / _MILLISECONDS
        or timeout,
        priority=int(entry.get('priority') or 0),
    )
