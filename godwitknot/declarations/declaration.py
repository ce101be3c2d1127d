"""Declarations of services, classes of work and their targets, from INI."""

import enum
import hashlib
import math
import pathlib
import re
import types
from collections.abc import Mapping

import attrs

from godwitknot.declarations.accounts import Account, check_duplicate_keys
from godwitknot.declarations.inifile import (
    ini_field,
    parse_ini,
    read_file,
    read_section,
)
from godwitknot.declarations.settings import (
    parse_name,
    parse_positive,
    parse_priority,
)
from godwitknot.errors import DeclarationError, Problem
from godwitknot.units import (
    MIB,
    parse_duration,
    parse_flag,
    parse_share,
    parse_size,
)

_MATCH_FORMAT = re.compile(r'^([A-Z]+(?:,[A-Z]+)*) (/\S*)$')
_LATENCY_FORMAT = re.compile(r'^(\S+) within (\S+)$')
_WILDCARD = '*'
_DEFAULT_BODY_LIMIT = 10 * MIB
_DEFAULT_TIMEOUT_SECONDS = 10.0


class Weighing(enum.StrEnum):
    """Trade-off of a class between fast detection and few false ejections."""

    DETECTION = 'detection'
    BALANCED = 'balanced'
    CAUTION = 'caution'


class RegionRule(enum.StrEnum):
    """Regions to which requests of a class may be sent."""

    OWN = 'own'
    ANY = 'any'


@attrs.frozen
class Match:
    """Pattern that matches requests by method and path.

    :param methods: HTTP methods, upper case.
    :param path: exact path, or a prefix if ``prefix`` is set.
    :param prefix: whether all paths that begin with ``path`` match.
    """

    methods: frozenset[str]
    path: str
    prefix: bool


@attrs.frozen
class LatencyTarget:
    """Latency target: a quantile and its limit.

    :param quantile: share of requests from 0 to 1.
    :param seconds: time within which that share must be answered.
    """

    quantile: float
    seconds: float


@attrs.frozen
class Floor:
    """Minimum number of servers that must stay in service.

    Exactly one of the two attributes is set.

    :param count: number of servers, or 0.
    :param share: share of the peak number of servers, or 0.
    """

    count: int = 0
    share: float = 0

    def count_servers(self, peak_server_count: int) -> int:
        """Return the floor as a number of servers.

        :param peak_server_count: peak number of servers of the service.
        """
        if self.count:
            return self.count
        return max(1, math.ceil(self.share * peak_server_count))


def parse_matches(text: str) -> tuple[Match, ...]:
    """Parse request patterns, one per line, such as ``GET,HEAD /bundles/*``.

    :raises ValueError: if there is no pattern or a line is not a pattern.
    """
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if not lines:
        raise ValueError(text)
    return tuple(_parse_match(line) for line in lines)


def _parse_match(line: str) -> Match:
    found = _MATCH_FORMAT.match(line)
    if found is None:
        raise ValueError(line)
    path = found.group(2)
    prefix = path.endswith(_WILDCARD)
    path = path.removesuffix(_WILDCARD)
    if _WILDCARD in path or '?' in path:
        raise ValueError(line)
    return Match(frozenset(found.group(1).split(',')), path, prefix)


def parse_latency(text: str) -> LatencyTarget:
    """Parse a latency target such as ``95% within 400ms``.

    :raises ValueError: if the text is not a latency target.
    """
    found = _LATENCY_FORMAT.match(text)
    if found is None:
        raise ValueError(text)
    quantile = parse_share(found.group(1))
    return LatencyTarget(quantile, parse_duration(found.group(2)))


def parse_floor(text: str) -> Floor:
    """Parse a floor: a number of servers or a share such as ``75%``.

    :raises ValueError: if the text is neither.
    """
    if text.endswith('%'):
        share = parse_share(text)
        if share <= 0:
            raise ValueError(text)
        return Floor(share=share)
    return Floor(count=parse_positive(text))


@attrs.frozen
class FleetSection:
    """The ``[fleet]`` section."""

    owner: str = ini_field(parse_name, 'a name')
    account_header: str = ini_field(parse_name, 'a header name', 'X-Account')


@attrs.frozen
class Service:
    """A ``[service NAME]`` section: interchangeable servers."""

    name: str
    floor: Floor = ini_field(
        parse_floor,
        'a number of servers or a share such as 75%',
    )
    health: str = ini_field(str, 'a path', '/health')


@attrs.frozen
class WorkClass:
    """A ``[class NAME]`` section: requests that share targets."""

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
    """A ``[migration NAME]`` section: moves part of a class to a service."""

    name: str
    work_class: str = ini_field(parse_name, 'the name of a class')
    to: str = ini_field(parse_name, 'the name of a service')
    match: tuple[Match, ...] = ini_field(
        parse_matches,
        'lines such as POST /bookings/north/*',
    )


@attrs.frozen
class Declaration:
    """A validated declaration of the fleet.

    :param text: INI text from which it was parsed.
    """

    fleet: FleetSection
    services: Mapping[str, Service]
    classes: Mapping[str, WorkClass]
    migrations: tuple[Migration, ...]
    accounts: Mapping[str, Account]
    text: str = attrs.field(repr=False)

    @property
    def digest(self) -> str:
        """SHA-256 of the text, hexadecimal."""
        return hashlib.sha256(self.text.encode()).hexdigest()

    def list_used_services(self) -> frozenset[str]:
        """Return the services that a class or migration sends work to."""
        used = {work.service for work in self.classes.values()}
        return frozenset(used | {migration.to for migration in self.migrations})


_SECTION_CLASSES = types.MappingProxyType(
    {
        'service': Service,
        'class': WorkClass,
        'migration': Migration,
        'account': Account,
    },
)

# By kind of section: keys that refer to another section, and the kind of
# section that they refer to.
_REFERENCES = types.MappingProxyType(
    {
        'class': {'service': 'service'},
        'migration': {'work-class': 'class', 'to': 'service'},
    },
)


def parse_declaration(text: str) -> Declaration:
    """Parse and validate a declaration.

    :param text: INI text.
    :raises DeclarationError: with every fault in the text.
    """
    parser, problems = parse_ini(text)
    if problems and not parser.sections():
        raise DeclarationError(problems)
    sections = {title: dict(parser[title]) for title in parser.sections()}
    fleet = read_section(
        FleetSection, 'fleet', sections.pop('fleet', {}), problems
    )
    parsed: dict[str, dict] = {kind: {} for kind in _SECTION_CLASSES}
    for title, values in sections.items():
        kind, _, name = title.partition(' ')
        if kind not in _SECTION_CLASSES or not name:
            expected = (
                '[fleet], [service N], [class N], [migration N] or [account N]'
            )
            problems.append(Problem(title, '', expected))
            continue
        parsed[kind][name] = read_section(
            _SECTION_CLASSES[kind], title, values, problems, name=name
        )
    _check_references(sections, parsed, problems)
    _check_overlaps(parsed['class'], problems)
    check_duplicate_keys(parsed['account'], problems)
    if problems or fleet is None:
        raise DeclarationError(problems)
    return Declaration(
        fleet,
        parsed['service'],
        parsed['class'],
        tuple(parsed['migration'].values()),
        parsed['account'],
        text,
    )


def load_declaration(path: pathlib.Path) -> Declaration:
    """Read a declaration from a file.

    :raises DeclarationError: with every fault in the file, or if the file
        cannot be read.
    """
    return parse_declaration(read_file(path, DeclarationError))


def _check_references(
    sections: Mapping[str, Mapping[str, str]],
    parsed: Mapping[str, Mapping[str, object]],
    problems: list[Problem],
) -> None:
    """Check references to services and classes.

    Includes the references of sections with other faults, so that all faults
    are reported at once.
    """
    if not parsed['class']:
        problems.append(Problem('', '', 'at least one [class NAME] section'))
    for title, values in sections.items():
        kind = title.partition(' ')[0]
        for key, referenced_kind in _REFERENCES.get(kind, {}).items():
            name = values.get(key)
            if name is None or name in parsed[referenced_kind]:
                continue
            declared = ', '.join(parsed[referenced_kind]) or 'none is declared'
            expected = f'a declared {referenced_kind} ({declared})'
            problems.append(Problem(title, key, expected, name))


def _check_overlaps(
    classes: Mapping[str, WorkClass | None],
    problems: list[Problem],
) -> None:
    """Check that no two classes have the same pattern."""
    owners: dict[tuple[str, str, bool], str] = {}
    for work in filter(None, classes.values()):
        for match in work.match:
            for method in sorted(match.methods):
                pattern = (method, match.path, match.prefix)
                other = owners.setdefault(pattern, work.name)
                if other != work.name:
                    expected = f'a pattern not used by class {other}'
                    got = f'{method} {match.path}'
                    title = f'class {work.name}'
                    problems.append(Problem(title, 'match', expected, got))
