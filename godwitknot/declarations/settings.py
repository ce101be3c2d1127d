"""Settings of one node, read from an INI file and validated at startup."""

import enum
import pathlib
import re
from collections.abc import Mapping

import attrs

from godwitknot.declarations.inifile import (
    ini_field,
    parse_ini,
    read_file,
    read_section,
)
from godwitknot.errors import Problem, SettingsError
from godwitknot.units import (
    Address,
    parse_address,
    parse_addresses,
    parse_duration,
)

_NAME = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
_MAX_PRIORITY = 9
_MIN_KEY_BYTES = 16
_MIN_TOKEN_CHARACTERS = 16
_SERVER_PREFIX = 'server '
_CURRENT_KEY = 'current'
_MAX_FLEET_KEYS = 2
_DEFAULT_POLL_SECONDS = 5.0
_DEFAULT_STORE_TIMEOUT_SECONDS = 2.0
_DEFAULT_SLOTS = 4


def parse_name(text: str) -> str:
    """Validate the name of a node, server, service or class.

    :raises ValueError: if it has characters other than letters, digits,
        dot, hyphen and underscore, or over 63 characters.
    """
    if not _NAME.match(text):
        raise ValueError(text)
    return text


def parse_positive(text: str) -> int:
    """Parse a positive integer.

    :raises ValueError: if the text is not a positive integer.
    """
    number = int(text)
    if number < 1:
        raise ValueError(text)
    return number


def parse_priority(text: str) -> int:
    """Parse a priority from 1 (served first) to 9 (shed first).

    :raises ValueError: if the text is not a number in this range.
    """
    number = parse_positive(text)
    if number > _MAX_PRIORITY:
        raise ValueError(text)
    return number


def parse_token(text: str) -> str:
    """Validate an operator token.

    :raises ValueError: if the token is too short. The message leaves the
        token out, because it is a secret.
    """
    if len(text) < _MIN_TOKEN_CHARACTERS:
        raise ValueError('token')
    return text


def parse_log_format(text: str) -> str:
    """Validate a log format.

    :raises ValueError: if it is neither ``text`` nor ``json``.
    """
    if text not in {'text', 'json'}:
        raise ValueError(text)
    return text


_ADDRESS_FORMAT = 'IP number and port, as 10.0.0.1:8100'


class PolicyName(enum.StrEnum):
    """Outlier detection policies of a node."""

    SEQUENTIAL = 'sequential'
    CONSECUTIVE_ERRORS = 'consecutive-errors'
    ROUND_ROBIN = 'round-robin'


@attrs.frozen
class NodeSection:
    """The ``[node]`` section; see docs/configuration.md."""

    id: str = ini_field(parse_name, 'a name')
    region: str = ini_field(parse_name, 'a name')
    failure_domain: str = ini_field(parse_name, 'a name')
    ingress: Address = ini_field(parse_address, _ADDRESS_FORMAT)
    peer: Address = ini_field(parse_address, _ADDRESS_FORMAT)
    operator: Address = ini_field(parse_address, _ADDRESS_FORMAT)
    operator_token: str = ini_field(
        parse_token,
        'at least 16 characters',
        secret=True,
    )
    seeds: tuple[Address, ...] = ini_field(
        parse_addresses,
        'peer addresses separated by commas',
        (),
    )
    statsd: Address | None = ini_field(parse_address, _ADDRESS_FORMAT, None)
    log_format: str = ini_field(parse_log_format, 'text or json', 'text')
    poll_interval: float = ini_field(
        parse_duration,
        'a duration such as 5s',
        _DEFAULT_POLL_SECONDS,
    )
    outlier_policy: PolicyName = ini_field(
        PolicyName,
        'sequential, consecutive-errors or round-robin',
        PolicyName.SEQUENTIAL,
    )


@attrs.frozen
class StoreSection:
    """The ``[store]`` section: addresses of the platform's services."""

    tables: Address = ini_field(parse_address, _ADDRESS_FORMAT)
    objects: Address = ini_field(parse_address, _ADDRESS_FORMAT)
    timeout: float = ini_field(
        parse_duration, 'a duration such as 2s', _DEFAULT_STORE_TIMEOUT_SECONDS
    )


@attrs.frozen
class ServerSection:
    """A ``[server NAME]`` section: one backend server of this instance."""

    name: str
    service: str = ini_field(parse_name, 'a name')
    address: Address = ini_field(parse_address, _ADDRESS_FORMAT)
    slots: int = ini_field(
        parse_positive, 'a whole number from 1', _DEFAULT_SLOTS
    )


@attrs.frozen
class NodeSettings:
    """All settings of a node.

    :param current_key: id of the fleet key that signs.
    :param keys: fleet keys by id; all of them verify.
    """

    node: NodeSection
    store: StoreSection
    servers: tuple[ServerSection, ...]
    current_key: str
    keys: Mapping[str, bytes] = attrs.field(repr=False)


def parse_settings(text: str) -> NodeSettings:
    """Parse node settings.

    :param text: INI text.
    :raises SettingsError: with every fault in the text.
    """
    parser, problems = parse_ini(text)
    if problems and not parser.sections():
        raise SettingsError(problems)
    sections = {title: dict(parser[title]) for title in parser.sections()}
    node = read_section(NodeSection, 'node', sections.pop('node', {}), problems)
    store = read_section(
        StoreSection, 'store', sections.pop('store', {}), problems
    )
    current, keys = _parse_keys(sections.pop('keys', {}), problems)
    servers = _parse_servers(sections, problems)
    if problems or node is None or store is None:
        raise SettingsError(problems)
    return NodeSettings(node, store, servers, current, keys)


def load_settings(path: pathlib.Path) -> NodeSettings:
    """Read node settings from a file.

    :raises SettingsError: with every fault in the file, or if the file cannot
        be read.
    """
    return parse_settings(read_file(path, SettingsError))


def _parse_keys(
    values: dict[str, str],
    problems: list[Problem],
) -> tuple[str, dict[str, bytes]]:
    current = values.pop(_CURRENT_KEY, '')
    keys = {}
    for key_id, text in values.items():
        try:
            keys[key_id] = bytes.fromhex(text)
        except ValueError:
            keys[key_id] = b''
        # The value is a secret, so the message leaves it out.
        if len(keys[key_id]) < _MIN_KEY_BYTES:
            expected = 'at least 32 hexadecimal digits'
            problems.append(Problem('keys', key_id, expected))
    if current not in keys:
        expected = 'the id of a key in this section'
        problems.append(Problem('keys', _CURRENT_KEY, expected, current))
    if len(keys) > _MAX_FLEET_KEYS:
        expected = 'one key, or two during a rotation'
        problems.append(Problem('keys', '', expected, str(len(keys))))
    return current, keys


def _parse_servers(
    sections: dict[str, dict[str, str]],
    problems: list[Problem],
) -> tuple[ServerSection, ...]:
    servers = []
    for title, values in sections.items():
        name = title.removeprefix(_SERVER_PREFIX)
        if name == title:
            expected = 'one of [node], [store], [keys], [server NAME]'
            problems.append(Problem(title, '', expected))
            continue
        if not _NAME.match(name):
            problems.append(Problem(title, '', 'a server name', name))
            continue
        server = read_section(ServerSection, title, values, problems, name=name)
        servers.append(server)
    return tuple(filter(None, servers))
