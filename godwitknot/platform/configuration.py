"""Decoder of the operator's configuration."""

import re
from collections.abc import Mapping

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.model import (
    CallerLimits,
    FleetConfiguration,
    Route,
    Share,
)
from godwitknot.platform import names
from godwitknot.platform.accounts import decode_accounts, replace_keys
from godwitknot.platform.fieldchecks import (
    PRIORITY,
    Limits,
    check_table,
    check_text,
    read_flag,
    read_integer,
    read_number,
    read_path,
    read_table,
    read_text,
    read_word,
)
from godwitknot.units import GIB

_MS_PER_SECOND = 1000
# Frames carry the version as a signed 64-bit integer.
_VERSION = re.compile('r([0-9]{1,18})')
# Milliseconds, up to 11 days: no request or connection lasts longer.
_DURATION_MS = Limits(1, 10**9)
# Milliseconds; 0 stands for the time limit of the route.
_OBJECTIVE_MS = Limits(0, 10**9)
# Servers that one attempt of a caller may be sent to.
_ATTEMPTS = Limits(1, 10**6)
_WEIGHT = Limits(0, 10**9)
# Bytes, up to 1 GiB: requests are held in memory.
_SIZE_BYTES = Limits(1, GIB)
_MAX_LOGGED_NAME = 40


def decode_configuration(source: bytes, fields: Mapping) -> FleetConfiguration:
    """Decode a parsed configuration.

    :param source: the encoded configuration; the result has a copy in which
        the keys of client accounts are replaced by their digests.
    :raises PlatformFormatError: if a field is missing, of another type or out
        of range; the error names it.
    """
    by_host: dict[str, list[Route]] = {}
    for name, entry in read_table(fields, 'routes').items():
        route = _decode_route(name, entry)
        by_host.setdefault(route.host, []).append(route)
    accounts = decode_accounts(fields)
    if accounts is not None:
        source = replace_keys(fields, accounts)
    return FleetConfiguration(
        version=_decode_version(fields),
        routes={
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in by_host.items()
        },
        health_paths={
            check_text(name, 'services'): read_path(
                check_table(entry, 'services'), 'health_check'
            )
            for name, entry in read_table(fields, 'services').items()
        },
        limits=_decode_limits(read_table(fields, 'limits')),
        source=source,
        accounts=accounts,
    )


def _decode_version(fields: Mapping) -> int:
    version = _VERSION.fullmatch(read_text(fields, 'version'))
    if version is None:
        raise PlatformFormatError('version: not a configuration version')
    return int(version.group(1))


def _decode_limits(fields: Mapping) -> CallerLimits:
    return CallerLimits(
        header_bytes=read_integer(fields, 'max_header_bytes', _SIZE_BYTES),
        body_bytes=read_integer(fields, 'max_body_bytes', _SIZE_BYTES),
        header_seconds=_read_seconds(fields, 'header_timeout_ms'),
        idle_seconds=_read_seconds(fields, 'idle_timeout_ms'),
    )


def _read_seconds(fields: Mapping, name: str) -> float:
    return read_number(fields, name, _DURATION_MS) / _MS_PER_SECOND


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _decode_route(name: str, entry: object) -> Route:
    try:
        return _decode_route_fields(name, check_table(entry, 'entry'))
    except PlatformFormatError as error:
        shortened = name[:_MAX_LOGGED_NAME]
        raise PlatformFormatError(f'route {shortened!r}: {error}') from error


def _decode_route_fields(name: str, entry: Mapping) -> Route:
    # Optional fields without a value count as missing.
    present = {key: each for key, each in entry.items() if each is not None}
    timeout = _read_seconds(present, 'timeout_ms')
    objective = read_number(present, 'target_latency_ms', _OBJECTIVE_MS, 0)
    return Route(
        name=name,
        host=read_text(present, 'host').lower(),
        prefix=read_path(present, 'prefix'),
        kind=read_word(present, 'route_type', names.KINDS),
        shares=_decode_shares(present),
        attempts=read_integer(present, 'attempts', _ATTEMPTS, 1),
        timeout=timeout,
        objective=objective / _MS_PER_SECOND or timeout,
        priority=read_integer(present, 'priority', PRIORITY, 0),
        needs_key=not read_flag(present, names.ROUTE_WITHOUT_KEY),
    )


def _decode_shares(entry: Mapping) -> tuple[Share, ...]:
    split = entry.get('traffic_split', [])
    if not isinstance(split, list):
        raise PlatformFormatError('traffic_split: not a list')
    if not split:
        return (Share(read_text(entry, 'service'), 1),)
    shares = tuple(
        _decode_share(check_table(part, 'traffic_split')) for part in split
    )
    if not any(share.weight for share in shares):
        raise PlatformFormatError('weight: all are 0')
    return shares


def _decode_share(part: Mapping) -> Share:
    return Share(
        read_text(part, 'service'), read_number(part, 'weight', _WEIGHT)
    )
