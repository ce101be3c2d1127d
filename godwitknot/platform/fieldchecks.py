"""Checked reads of the fields of a document.

Documents may come from any writer: each field is checked for its type and its
range, and an error names the field but does not repeat what was in it.
"""

import json
import typing
from collections.abc import Mapping

import attrs

from godwitknot.errors import PlatformFormatError
from godwitknot.units import Address, is_header_text, parse_address

# The store's limit of the texts that identify a row.
_MAX_TEXT_LENGTH = 200


@attrs.frozen
class Limits:
    """Range of a number; both ends are included."""

    lowest: float
    highest: float


# Frames carry priorities as signed 32-bit integers.
PRIORITY = Limits(0, 2147483647)  # noqa: WPS432


def parse_document(body: bytes) -> Mapping:
    """Parse a JSON object.

    :raises PlatformFormatError: if the body is anything else.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise PlatformFormatError('body is not readable JSON') from error
    return check_table(document, 'body')


def check_table(content: object, name: str) -> Mapping:
    """Return a JSON object unchanged.

    :param name: of the field, for the error.
    :raises PlatformFormatError: for any other type.
    """
    if not isinstance(content, dict):
        raise PlatformFormatError(f'{name}: not an object')
    return content


def read_table(fields: Mapping, name: str) -> Mapping:
    """Return a field that is a JSON object.

    :raises PlatformFormatError: if it is missing or of another type.
    """
    return check_table(fields.get(name), name)


def read_integer(
    fields: Mapping,
    name: str,
    limits: Limits,
    default: int | None = None,
) -> int:
    """Return an integer field.

    :param default: value of a missing field; ``None`` makes it required.
    :raises PlatformFormatError: if it is missing, of another type or out of
        range.
    """
    number = fields.get(name, default)
    if type(number) is not int:
        raise PlatformFormatError(f'{name}: not an integer')
    return _check_range(number, name, limits)


def read_number(
    fields: Mapping,
    name: str,
    limits: Limits,
    default: float | None = None,
) -> float:
    """Return a field that is an integer or a fraction.

    :param default: value of a missing field; ``None`` makes it required.
    :raises PlatformFormatError: if it is missing, of another type or out of
        range.
    """
    number = fields.get(name, default)
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise PlatformFormatError(f'{name}: not a number')
    return float(_check_range(number, name, limits))


def read_flag(fields: Mapping, name: str) -> bool:
    """Return a field that is true or false; a missing one is false.

    :raises PlatformFormatError: if it is of another type.
    """
    flag = fields.get(name, False)
    if not isinstance(flag, bool):
        raise PlatformFormatError(f'{name}: not true or false')
    return flag


def read_text(fields: Mapping, name: str) -> str:
    """Return a field that is a name.

    :raises PlatformFormatError: if it is missing or not a name.
    """
    return check_text(fields.get(name), name)


def check_text(text: object, name: str) -> str:
    """Return a name unchanged.

    Names are sent in header fields, so they have to be expressible there.

    :param name: of the field, for the error.
    :raises PlatformFormatError: if it is not a text, is empty or too long, or
        could not be sent as a header field.
    """
    if not isinstance(text, str):
        raise PlatformFormatError(f'{name}: not a text')
    if not text or len(text) > _MAX_TEXT_LENGTH:
        raise PlatformFormatError(f'{name}: empty or too long')
    printable = text.isprintable() and text == text.strip()
    if not (printable and is_header_text(text)):
        raise PlatformFormatError(f'{name}: characters that are not allowed')
    return text


def read_path(fields: Mapping, name: str) -> str:
    """Return a field that is the path of a request.

    :raises PlatformFormatError: if it is missing or not a path.
    """
    path = fields.get(name)
    if not isinstance(path, str) or not path.startswith('/'):
        raise PlatformFormatError(f'{name}: not a path')
    if not (path.isascii() and path.isprintable()) or ' ' in path:
        raise PlatformFormatError(f'{name}: characters that are not allowed')
    return path


def read_word(
    fields: Mapping,
    name: str,
    words: Mapping[str, typing.Any],
) -> typing.Any:
    """Return what a word stands for.

    :param words: the known words.
    :raises PlatformFormatError: if the field is missing or another word.
    """
    word = fields.get(name)
    if not isinstance(word, str) or word not in words:
        raise PlatformFormatError(f'{name}: unknown word')
    return words[word]


def read_address(fields: Mapping, name: str) -> Address:
    """Return a field that is ``host:port``.

    :raises PlatformFormatError: if it is missing or not an address.
    """
    text = fields.get(name)
    if not isinstance(text, str):
        raise PlatformFormatError(f'{name}: not a text')
    try:
        return parse_address(text)
    except ValueError as error:
        raise PlatformFormatError(f'{name}: not an address') from error


def _check_range(
    number: float,
    name: str,
    limits: Limits,
) -> float:
    # Not-a-number fails this comparison, too.
    if not limits.lowest <= number <= limits.highest:
        raise PlatformFormatError(
            f'{name}: not from {limits.lowest} to {limits.highest}'
        )
    return number
