"""Settings of a process, as the platform writes them."""

import os
from collections.abc import Mapping

import yaml

from godwitknot.errors import PlatformFormatError
from godwitknot.mesh.model import Bounds, Placement
from godwitknot.platform import names
from godwitknot.units import Address, parse_address


def settings_path() -> str:
    """Give the path of the settings file.

    :raises PlatformFormatError: if the variable is not set.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE, '')
    if not path:
        raise PlatformFormatError(f'{names.SETTINGS_VARIABLE} is not set')
    return path


def read_placement(text: str) -> Placement:
    """Decode a settings file; unknown fields are ignored.

    :raises PlatformFormatError: if a field that is needed is wrong.
    """
    try:
        return _decode(yaml.load(text, Loader=yaml.CSafeLoader))
    except (yaml.YAMLError, KeyError, TypeError, ValueError) as error:
        raise PlatformFormatError(f'settings: {error!r}') from error


def _decode(fields: Mapping) -> Placement:
    listen = fields['listen']
    bounds = dict(pair.split('=', 1) for pair in fields['bounds'])
    return Placement(
        node=str(fields['node_id']),
        host=str(fields['ip']),
        zone=str(fields['zone']),
        region=str(fields['region']),
        # Callers and the local server send here ("outbound").
        ingress=_address(listen['outbound']),
        # Other nodes send requests for the local server here ("inbound").
        relay=_address(listen['inbound']),
        readiness=_address(listen['ready']),
        # The local server announces itself here ("control").
        announcements=_address(listen['control']),
        server=_address(fields['app_addr']),
        service=str(fields['service']),
        store=_address(fields['platform']['address']),
        bounds=Bounds(
            stop_grace_seconds=float(bounds['grace_s']),
            retry_ratio=float(bounds['retry_budget_ratio']),
            retry_window_seconds=float(bounds['budget_window_s']),
            retry_slack=float(bounds['budget_slack']),
        ),
    )


def _address(text: object) -> Address:
    return parse_address(str(text))
