"""Settings file that the platform writes for each node."""

import os
from collections.abc import Mapping

import attrs
import yaml

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.model import Bounds, Placement, QuotaBounds
from godwitknot.platform import names
from godwitknot.platform.fieldchecks import (
    Limits,
    check_table,
    check_text,
    read_address,
    read_number,
    read_table,
)

_DAY_SECONDS = 86400
_MS_PER_SECOND = 1000
# Milliseconds, up to a day.
_DURATION_MS = Limits(1, _DAY_SECONDS * _MS_PER_SECOND)
# Seconds from SIGTERM to SIGKILL, up to a day.
_GRACE_SECONDS = Limits(0, _DAY_SECONDS)
# Retries for each first attempt.
_RETRY_RATIO = Limits(0, 1000)
# Seconds, from a tenth to a day.
_WINDOW_SECONDS = Limits(0.1, _DAY_SECONDS)
# Retries of a service in one window.
_RETRY_SLACK = Limits(0, 10**9)
# Millions of bytes.
_MEMORY_MB = Limits(1, 10**7)
_MB = 1000000
_LINK_MBPS = Limits(1, 10**7)
# Bytes a second.
_MBPS_BYTES = 125000
# Share of a quota that may be exceeded.
_QUOTA_OVERAGE = Limits(0, 10)
# Scalars such as dates and numbers are converted while a file is parsed.
_YAML_ERRORS = (
    yaml.YAMLError,
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    ArithmeticError,
    RecursionError,
)


def settings_path() -> str:
    """Return the path of the settings file.

    :raises PlatformFormatError: if the environment variable is not set.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE, '')
    if not path:
        raise PlatformFormatError(f'{names.SETTINGS_VARIABLE} is not set')
    return path


def read_placement(text: str) -> Placement:
    """Decode a settings file; unknown fields are ignored.

    :param text: in YAML.
    :raises PlatformFormatError: if a required field is missing, malformed or
        out of range.
    """
    try:
        document = yaml.load(text, Loader=yaml.CSafeLoader)
    except _YAML_ERRORS as error:
        raise PlatformFormatError('settings: not readable YAML') from error
    try:
        return _decode_placement(check_table(document, 'file'))
    except PlatformFormatError as error:
        raise PlatformFormatError(f'settings: {error}') from error


def _decode_placement(fields: Mapping) -> Placement:
    listen = read_table(fields, 'listen')
    return Placement(
        node=_read_name(fields, 'node_id'),
        host=_read_name(fields, 'ip'),
        zone=_read_name(fields, 'zone'),
        region=_read_name(fields, 'region'),
        # Receives requests of callers and of the local server.
        ingress=read_address(listen, 'outbound'),
        # Receives requests of other nodes for the local server.
        relay=read_address(listen, 'inbound'),
        readiness=read_address(listen, 'ready'),
        # Receives heartbeats and departures of the local server.
        announcements=read_address(listen, 'control'),
        server=read_address(fields, 'app_addr'),
        service=_read_name(fields, 'service'),
        store=read_address(read_table(fields, 'platform'), 'address'),
        bounds=_decode_bounds(fields.get('bounds')),
        memory_bytes=_decode_memory(fields.get('limits')),
        first_start=fields.get('first_start') is True,
    )


def _decode_memory(limits: object) -> int:
    """Return the limit of the process in bytes, 0 if it cannot be read.

    A node serves without it, so that it is no reason to fail.
    """
    try:
        table = check_table(limits, 'limits')
        return int(read_number(table, 'memory_mb', _MEMORY_MB) * _MB)
    except PlatformFormatError:
        return 0


def _decode_bounds(entries: object) -> Bounds:
    if not isinstance(entries, list):
        raise PlatformFormatError('bounds: not a list')
    pairs = [entry for entry in entries if isinstance(entry, str)]
    fields = dict(pair.split('=', 1) for pair in pairs if '=' in pair)
    return Bounds(
        stop_grace_seconds=_parse_bound(fields, 'grace_s', _GRACE_SECONDS),
        retry_ratio=_parse_bound(fields, 'retry_budget_ratio', _RETRY_RATIO),
        retry_window_seconds=_parse_bound(
            fields, 'budget_window_s', _WINDOW_SECONDS
        ),
        retry_slack=_parse_bound(fields, 'budget_slack', _RETRY_SLACK),
        quota=_decode_quota_bounds(fields),
        revoke_seconds=_parse_revocation(fields),
        strict_revoke=_parse_flag(fields, 'strict_revoke'),
        region_link_bytes=_parse_link(fields),
    )


def _decode_quota_bounds(fields: Mapping) -> QuotaBounds:
    """Decode bounds that settings without client accounts leave out."""
    bounds = QuotaBounds()
    limits_by_name = {
        'window': ('quota_window_s', _WINDOW_SECONDS),
        'overage': ('quota_overage', _QUOTA_OVERAGE),
        'slack': ('quota_slack', _RETRY_SLACK),
    }
    given = {
        name: _parse_bound(fields, bound, limits)
        for name, (bound, limits) in limits_by_name.items()
        if bound in fields
    }
    return attrs.evolve(bounds, **given)


def _parse_revocation(fields: Mapping) -> float | None:
    """Return the time bound of revocations, which older settings lack."""
    if 'revoke_ms' not in fields:
        return None
    return _parse_bound(fields, 'revoke_ms', _DURATION_MS) / _MS_PER_SECOND


def _parse_link(fields: Mapping) -> float:
    """Return the bound on bytes between regions, 0 if there is none."""
    if 'region_link_mbps' not in fields:
        return 0
    return _parse_bound(fields, 'region_link_mbps', _LINK_MBPS) * _MBPS_BYTES


def _parse_flag(fields: Mapping, name: str) -> bool:
    word = fields.get(name, 'false').strip().lower()
    if word not in {'true', 'false'}:
        raise PlatformFormatError(f'{name}: not true or false')
    return word == 'true'


def _parse_bound(fields: Mapping, name: str, limits: Limits) -> float:
    try:
        number = float(fields.get(name, ''))
    except ValueError as error:
        raise PlatformFormatError(f'{name}: not a number') from error
    return read_number({name: number}, name, limits)


def _read_name(fields: Mapping, name: str) -> str:
    """Return a name that YAML may take for another scalar."""
    name_or_number = fields.get(name)
    if isinstance(name_or_number, bool | int | float):
        name_or_number = str(name_or_number)
    return check_text(name_or_number, name)
