"""Settings file that the platform writes for each node."""

import os
from collections.abc import Mapping

import yaml

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.model import Bounds, Placement
from godwitknot.platform import names
from godwitknot.units import Address, parse_address


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
    :raises PlatformFormatError: if a required field is missing or malformed.
    """
    try:
        return _decode_placement(yaml.load(text, Loader=yaml.CSafeLoader))
    except (yaml.YAMLError, KeyError, TypeError, ValueError) as error:
        raise PlatformFormatError(f'settings: {error!r}') from error


def _decode_placement(fields: Mapping) -> Placement:
    listen = fields['listen']
    bounds = dict(pair.split('=', 1) for pair in fields['bounds'])
    return Placement(
        node=str(fields['node_id']),
        host=str(fields['ip']),
        zone=str(fields['zone']),
        region=str(fields['region']),
        # Receives requests of callers and of the local server.
        ingress=_decode_address(listen['outbound']),
        # Receives requests of other nodes for the local server.
        relay=_decode_address(listen['inbound']),
        readiness=_decode_address(listen['ready']),
        # Receives heartbeats and departures of the local server.
        announcements=_decode_address(listen['control']),
        server=_decode_address(fields['app_addr']),
        service=str(fields['service']),
        store=_decode_address(fields['platform']['address']),
        bounds=Bounds(
            stop_grace_seconds=float(bounds['grace_s']),
            retry_ratio=float(bounds['retry_budget_ratio']),
            retry_window_seconds=float(bounds['budget_window_s']),
            retry_slack=float(bounds['budget_slack']),
        ),
    )


def _decode_address(text: object) -> Address:
    return parse_address(str(text))
