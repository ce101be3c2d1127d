"""Parsing of INI sections into attrs classes, reporting all faults at once."""

import configparser
import contextlib
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from godwitknot.errors import InvalidFileError, Problem

Section = TypeVar('Section')

# Keys of the metadata of an attribute.
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

    :param parse: converts the text; raises ``ValueError`` if it is invalid.
    :param expected: description of a valid value, for error messages.
    :param default: value if the key is missing; without a default the key is
        required.
    :param secret: whether to keep the value out of messages and ``repr``.
    """
    return attrs.field(
        default=default,
        repr=not secret,
        metadata={_PARSE: parse, _EXPECTED: expected, _SECRET: secret},
    )


def read_file(path: pathlib.Path, failure: type[InvalidFileError]) -> str:
    """Read a UTF-8 file.

    :param failure: type of the error to raise.
    :raises InvalidFileError: of the given type, if the file cannot be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        cause = error.strerror or str(error)
        raise failure([Problem('', str(path), 'a file', cause)]) from error
    except UnicodeDecodeError as error:
        problem = Problem('', str(path), 'UTF-8 text', str(error))
        raise failure([problem]) from error


def _make_parser(*, strict: bool) -> configparser.ConfigParser:
    return configparser.ConfigParser(
        interpolation=None,
        comment_prefixes=('#', ';'),
        inline_comment_prefixes=(';',),
        strict=strict,
    )


def parse_ini(text: str) -> tuple[configparser.ConfigParser, list[Problem]]:
    """Parse INI text.

    A repeated section or key is a fault. The text is still parsed, so that
    the faults of other sections are reported too.

    :returns: the parser and the faults found; the parser has no sections if
        the text is not valid INI.
    """
    parser = _make_parser(strict=True)
    try:
        parser.read_string(text)
    except configparser.DuplicateSectionError as error:
        duplicate = Problem(
            error.section, '', 'one section of this name', 'two'
        )
        return _parse_leniently(text), [duplicate]
    except configparser.DuplicateOptionError as error:
        duplicate = Problem(error.section, error.option, 'one value', 'two')
        return _parse_leniently(text), [duplicate]
    except configparser.Error as error:
        reason = str(error).replace('\n', ' ')
        return _make_parser(strict=True), [Problem('', '', 'valid INI', reason)]
    return parser, []


def _parse_leniently(text: str) -> configparser.ConfigParser:
    parser = _make_parser(strict=False)
    with contextlib.suppress(configparser.Error):
        # A syntax error after the duplicate is reported only once the
        # duplicate is fixed.
        parser.read_string(text)
    return parser


def ini_key(attribute: str) -> str:
    """Return the INI key of an attribute, with hyphens for underscores."""
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
    :param values: texts of the section by key.
    :param problems: list to which faults are appended.
    :param fixed: attributes that are not read from the section.
    :returns: the instance, or ``None`` if the section has faults.
    """
    problem_count = len(problems)
    arguments = dict(fixed)
    known_keys = set()
    for field in attrs.fields(cls):
        if _PARSE not in field.metadata:
            continue
        key = ini_key(field.name)
        known_keys.add(key)
        text = values.get(key)
        if text is not None:
            _parse_value(field, title, text, arguments, problems)
        elif field.default is attrs.NOTHING:
            expected = field.metadata[_EXPECTED]
            problems.append(Problem(title, key, f'{expected} (required)'))
    for key in values:
        if key not in known_keys:
            expected = f'one of: {", ".join(sorted(known_keys))}'
            problems.append(Problem(title, key, expected, key))
    if len(problems) > problem_count:
        return None
    return cls(**arguments)


def _parse_value(
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
