"""Declarations: services, classes of work and their targets, from INI."""

import enum
import hashlib
import math
import pathlib
import re
import types
from collections.abc import Mapping

import attrs

from godwitknot.declarations.inifile import (
    ini_field,
    parse_ini,
    read_file,
    read_section,
)
from godwitknot.declarations.settings import parse_name, parse_positive
from godwitknot.errors import DeclarationError, Problem
from godwitknot.units import (
    MIB,
    parse_duration,
    parse_flag,
    parse_share,
    parse_size,
)

_MATCH = re.compile(r'^([A-Z]+(?:,[A-Z]+)*) (/\S*)$')
_LATENCY = re.compile(r'^(\S+) within (\S+)$')
_WILDCARD = '*'
_MAX_PRIORITY = 9
_DEFAULT_BODY_LIMIT = 10 * MIB
_DEFAULT_TIMEOUT_SECONDS = 10.0


class Weighing(enum.StrEnum):
    """What a class weighs more: fast detection or few false ejections."""

    DETECTION = 'detection'
    BALANCED = 'balanced'
    CAUTION = 'caution'


class RegionRule(enum.StrEnum):
    """Where requests of a class may be sent."""

    OWN = 'own'
    ANY = 'any'


@attrs.frozen
class Match:
    """One pattern of requests.

    :param methods: HTTP methods, upper case.
    :param path: exact path, or a prefix if ``prefix`` is set.
    :param prefix: whether any path that begins with ``path`` matches.
    """

    methods: frozenset[str]
    path: str
    prefix: bool


@attrs.frozen
class LatencyTarget:
    """A latency quantile.

    :param quantile: share of requests from 0 to 1.
    :param seconds: time within which that share must be answered.
    """

    quantile: float
    seconds: float


@attrs.frozen
class Floor:
    """Least number of servers that must stay in service.

    Exactly one of both is set.

    :param count: servers, or 0.
    :param share: share of the most servers seen, or 0.
    """

    count: int = 0
    share: float = 0

    def count_servers(self, peak_server_count: int) -> int:
        """Give the floor in servers.

        :param peak_server_count: most servers of the service seen so far.
        """
        if self.count:
            return self.count
        return max(1, math.ceil(self.share * peak_server_count))


def parse_matches(text: str) -> tuple[Match, ...]:
    """Read patterns, one a line: ``GET,HEAD /bundles/*``.

    :raises ValueError: if a line is no pattern.
    """
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if not lines:
        raise ValueError(text)
    return tuple(_parse_match(line) for line in lines)


def _parse_match(line: str) -> Match:
    found = _MATCH.match(line)
    if found is None:
        raise ValueError(line)
    path = found.group(2)
    prefix = path.endswith(_WILDCARD)
    path = path.removesuffix(_WILDCARD)
    if _WILDCARD in path or '?' in path:
        raise ValueError(line)
    return Match(frozenset(found.group(1).split(',')), path, prefix)


def parse_latency(text: str) -> LatencyTarget:
    """Read a latency target such as ``95% within 400ms``.

    :raises ValueError: if the text is no latency target.
    """
    found = _LATENCY.match(text)
    if found is None:
        raise ValueError(text)
    quantile = parse_share(found.group(1))
    return LatencyTarget(quantile, parse_duration(found.group(2)))


def parse_floor(text: str) -> Floor:
    """Read a floor: a number of servers or a share such as ``75%``.

    :raises ValueError: if the text is neither.
    """
    if text.endswith('%'):
        share = parse_share(text)
        if share <= 0:
            raise ValueError(text)
        return Floor(share=share)
    return Floor(count=parse_positive(text))


def parse_priority(text: str) -> int:
    """Read a priority from 1 (served first) to 9 (shed first).

    :raises ValueError: for anything else.
    """
    number = parse_positive(text)
    if number > _MAX_PRIORITY:
        raise ValueError(text)
    return number


@attrs.frozen
class FleetSection:
    """The ``[fleet]`` section."""

    owner: str = ini_field(parse_name, 'a name')
    account_header: str = ini_field(parse_name, 'a header name', 'X-Account')


@attrs.frozen
class Service:
    """A ``[service NAME]`` section: servers that do the same work."""

    name: str
    floor: Floor = ini_field(
        parse_floor,
        'a number of servers or a share such as 75%',
    )
    health: str = ini_field(str, 'a path', '/health')


@attrs.frozen
class WorkClass:
    """A ``[class NAME]`` section: requests with one target."""

    name: str
    service: str = ini_field(parse_name, 'a name')
    match: tuple[Match, ...] = ini_field(
        parse_matches,
        'lines such as GET,HEAD /bundles/*',
    )
    success: float = ini_field(parse_share, 'a share such as 99.9%')
    latency: LatencyTarget = ini_field(
        parse_latency,
        'a target such as 95% within 400ms',
    )
    timeout: float = ini_field(
        parse_duration, 'a duration such as 5s', _DEFAULT_TIMEOUT_SECONDS
    )
    never_repeat: bool = ini_field(parse_flag, 'yes or no', default=False)
    weigh: Weighing = ini_field(
        Weighing,
        'detection, balanced or caution',
        Weighing.BALANCED,
    )
    priority: int = ini_field(parse_priority, 'a number from 1 to 9', 5)
    regions: RegionRule = ini_field(
        RegionRule,
        'own or any',
        RegionRule.ANY,
    )
    body_limit: int = ini_field(
        parse_size,
        'a size such as 10MiB',
        _DEFAULT_BODY_LIMIT,
    )


@attrs.frozen
class Migration:
    """A ``[migration NAME]`` section: part of a class moves to a service."""

    name: str
    work_class: str = ini_field(parse_name, 'the name of a class')
    to: str = ini_field(parse_name, 'the name of a service')
    match: tuple[Match, ...] = ini_field(
        parse_matches,
        'lines such as POST /bookings/north/*',
    )


@attrs.frozen
class Declaration:
    """Everything an operator declares, checked as a whole.

    :param text: the INI text as it was applied.
    """

    fleet: FleetSection
    services: Mapping[str, Service]
    classes: Mapping[str, WorkClass]
    migrations: tuple[Migration, ...]
    text: str = attrs.field(repr=False)

    @property
    def digest(self) -> str:
        """SHA-256 of the text, hexadecimal."""
        return hashlib.sha256(self.text.encode()).hexdigest()

    def list_used_services(self) -> frozenset[str]:
        """Give the services that some class or migration sends work to."""
        used = {work.service for work in self.classes.values()}
        return frozenset(used | {move.to for move in self.migrations})


_SECTIONS = types.MappingProxyType(
    {'service': Service, 'class': WorkClass, 'migration': Migration},
)

# Keys that name another section, and its kind.
_REFERENCES = types.MappingProxyType(
    {
        'class': {'service': 'service'},
        'migration': {'work-class': 'class', 'to': 'service'},
    },
)


def parse_declaration(text: str) -> Declaration:
    """Read a declaration.

    :param text: INI text.
    :raises DeclarationError: with every fault in the file.
    """
    parser, problems = parse_ini(text)
    if problems and not parser.sections():
        raise DeclarationError(problems)
    sections = {title: dict(parser[title]) for title in parser.sections()}
    fleet = read_section(
        FleetSection, 'fleet', sections.pop('fleet', {}), problems
    )
    found: dict[str, dict] = {kind: {} for kind in _SECTIONS}
    for title, values in sections.items():
        kind, _, name = title.partition(' ')
        if kind not in _SECTIONS or not name:
            expected = '[fleet], [service N], [class N] or [migration N]'
            problems.append(Problem(title, '', expected))
            continue
        found[kind][name] = read_section(
            _SECTIONS[kind], title, values, problems, name=name
        )
    _check_references(sections, found, problems)
    _check_overlaps(found['class'], problems)
    if problems or fleet is None:
        raise DeclarationError(problems)
    return Declaration(
        fleet,
        found['service'],
        found['class'],
        tuple(found['migration'].values()),
        text,
    )


def load_declaration(path: pathlib.Path) -> Declaration:
    """Read a declaration from a file.

    :raises DeclarationError: with every fault, also if it cannot be read.
    """
    return parse_declaration(read_file(path, DeclarationError))


def _check_references(
    sections: Mapping[str, Mapping[str, str]],
    found: Mapping[str, Mapping[str, object]],
    problems: list[Problem],
) -> None:
    """Check names of services and classes, also in sections with faults."""
    if not found['class']:
        problems.append(Problem('', '', 'at least one [class NAME] section'))
    for title, values in sections.items():
        kind = title.partition(' ')[0]
        for key, meant in _REFERENCES.get(kind, {}).items():
            name = values.get(key)
            if name is None or name in found[meant]:
                continue
            known = ', '.join(found[meant]) or 'none is declared'
            expected = f'a declared {meant} ({known})'
            problems.append(Problem(title, key, expected, name))


def _check_overlaps(
    classes: Mapping[str, WorkClass | None],
    problems: list[Problem],
) -> None:
    owners: dict[tuple[str, str, bool], str] = {}
    for work in filter(None, classes.values()):
        for match in work.match:
            for method in sorted(match.methods):
                place = (method, match.path, match.prefix)
                other = owners.setdefault(place, work.name)
                if other != work.name:
                    expected = f'a pattern not used by class {other}'
                    got = f'{method} {match.path}'
                    title = f'class {work.name}'
                    problems.append(Problem(title, 'match', expected, got))
