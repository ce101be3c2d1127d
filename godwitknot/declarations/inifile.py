"""Reading of INI sections into attrs classes, with all faults at once."""

import configparser
import contextlib
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from godwitknot.errors import InvalidFileError, Problem

Section = TypeVar('Section')

_PARSE = 'parse'
_EXPECTED = 'expected'
_SECRET = 'secret'


def ini_field(
    parse: Callable[[str], Any],
    expected: str,
    default: Any = attrs.NOTHING,
    *,
    secret: bool = False,
) -> Any:
    """Declare an attribute that is read from an INI key.

    :param parse: converts the text; raises ``ValueError`` on a bad one.
    :param expected: what a valid value looks like, for messages.
    :param default: value if the key is missing; required if left out.
    :param secret: keep the value out of messages and ``repr``.
    """
    return attrs.field(
        default=default,
        repr=not secret,
        metadata={_PARSE: parse, _EXPECTED: expected, _SECRET: secret},
    )


def read_file(path: pathlib.Path, failure: type[InvalidFileError]) -> str:
    """Read a file.

    :param failure: type of the error to raise.
    :raises InvalidFileError: of that type, if it cannot be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        why = error.strerror or str(error)
        raise failure([Problem('', str(path), 'a file', why)]) from error
    except UnicodeDecodeError as error:
        reason = Problem('', str(path), 'UTF-8 text', str(error))
        raise failure([reason]) from error


def _make_parser(*, strict: bool) -> configparser.ConfigParser:
    return configparser.ConfigParser(
        interpolation=None,
        comment_prefixes=('#', ';'),
        inline_comment_prefixes=(';',),
        strict=strict,
    )


def parse_ini(text: str) -> tuple[configparser.ConfigParser, list[Problem]]:
    """Parse INI text.

    A section or key that stands twice is a fault, and the rest is read all
    the same, so that it hides no other fault.

    :returns: the parser, without sections if the text is no INI, and the
        faults.
    """
    parser = _make_parser(strict=True)
    try:
        parser.read_string(text)
    except configparser.DuplicateSectionError as error:
        twice = Problem(error.section, '', 'one section of this name', 'two')
        return _read_leniently(text), [twice]
    except configparser.DuplicateOptionError as error:
        twice = Problem(error.section, error.option, 'one value', 'two')
        return _read_leniently(text), [twice]
    except configparser.Error as error:
        reason = str(error).replace('\n', ' ')
        return _make_parser(strict=True), [Problem('', '', 'valid INI', reason)]
    return parser, []


def _read_leniently(text: str) -> configparser.ConfigParser:
    parser = _make_parser(strict=False)
    with contextlib.suppress(configparser.Error):
        # A fault of the syntax behind the repeated section is named once
        # that one is mended.
        parser.read_string(text)
    return parser


def ini_key(attribute: str) -> str:
    """Give the INI spelling of an attribute: hyphens for underscores."""
    return attribute.replace('_', '-')


def read_section(
    cls: type[Section],
    title: str,
    values: Mapping[str, str],
    problems: list[Problem],
    **fixed: Any,
) -> Section | None:
    """Build an attrs instance from one section.

    :param cls: attrs class whose fields use :func:`ini_field`.
    :param title: section title, for messages.
    :param values: keys and texts of the section.
    :param problems: faults found are appended here.
    :param fixed: attributes that do not come from the section.
    :returns: the instance, or ``None`` if the section has faults.
    """
    before = len(problems)
    arguments = dict(fixed)
    known = set()
    for field in attrs.fields(cls):
        if _PARSE not in field.metadata:
            continue
        key = ini_key(field.name)
        known.add(key)
        text = values.get(key)
        if text is not None:
            _read_key(field, title, text, arguments, problems)
        elif field.default is attrs.NOTHING:
            expected = field.metadata[_EXPECTED]
            problems.append(Problem(title, key, f'{expected} (required)'))
    for key in values:
        if key not in known:
            expected = f'one of: {", ".join(sorted(known))}'
            problems.append(Problem(title, key, expected, key))
    if len(problems) > before:
        return None
    return cls(**arguments)


def _read_key(
    field: Any,
    title: str,
    text: str,
    arguments: dict[str, Any],
    problems: list[Problem],
) -> None:
    try:
        arguments[field.name] = field.metadata[_PARSE](text)
    except ValueError:
        expected = field.metadata[_EXPECTED]
        key = ini_key(field.name)
        got = '(hidden)' if field.metadata[_SECRET] else text or '(empty)'
        problems.append(Problem(title, key, expected, got))
