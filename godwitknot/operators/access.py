"""Operator addresses, token and name that give access to a node."""

import getpass
import pathlib
import re

import attrs

from godwitknot.declarations.inifile import (
    ini_field,
    load_text,
    read_section,
    read_text,
)
from godwitknot.errors import InvalidFileError, UserError
from godwitknot.units import Address, parse_addresses

_SECTION = 'operator'
_NOT_ALLOWED_IN_NAME = re.compile('[^A-Za-z0-9._@+-]')


class AccessError(UserError):
    """The address or token of a node is missing or not accepted."""

    exit_code = 2


def parse_nodes(text: str) -> tuple[Address, ...]:
    """Parse one or more operator addresses.

    :raises ValueError: if there is none, or one is malformed.
    """
    addresses = parse_addresses(text)
    if not addresses:
        raise ValueError(text)
    return addresses


@attrs.frozen
class Access:
    """The ``[operator]`` section of an access file.

    :param address: operator addresses, tried in order until a node answers.
    :param name: who makes changes; the login name if empty.
    """

    address: tuple[Address, ...] = ini_field(
        parse_nodes,
        'operator addresses, as 10.0.0.1:8102, 10.0.0.2:8102',
        (),
    )
    token: str = ini_field(str, 'the operator token', '', secret=True)
    name: str = ini_field(str, 'who makes changes', '')


def load_access(path: pathlib.Path) -> Access:
    """Read an access file.

    :raises InvalidFileError: with every problem in the file.
    """
    text = load_text(path, InvalidFileError)
    parser, problems = read_text(text)
    values = dict(parser[_SECTION]) if _SECTION in parser else {}
    access = read_section(Access, _SECTION, values, problems)
    if problems or access is None:
        raise InvalidFileError(problems)
    return access


def resolve_access(
    address: str,
    token: str,
    name: str,
    path: pathlib.Path | None,
) -> Access:
    """Merge options or environment variables with an access file.

    :param address: comma-separated addresses; empty to use the file's.
    :param token: empty to use the file's.
    :param name: empty to use the file's, else the login name.
    :raises AccessError: if no address or token is known.
    """
    access = load_access(path) if path else Access()
    if address:
        try:
            access = attrs.evolve(access, address=parse_nodes(address))
        except ValueError as error:
            message = f'{address!r} is no address such as 10.0.0.1:8102'
            raise AccessError(message) from error
    if token:
        access = attrs.evolve(access, token=token)
    access = attrs.evolve(access, name=name or access.name or _login_name())
    if not access.address:
        raise AccessError(
            'no node is known: give --operator, GODWITKNOT_OPERATOR or '
            'an access file'
        )
    if not access.token:
        raise AccessError(
            'no token is known: give --token, GODWITKNOT_TOKEN or '
            'an access file'
        )
    return access


def _login_name() -> str:
    try:
        return _NOT_ALLOWED_IN_NAME.sub('-', getpass.getuser())
    except (KeyError, OSError) as error:
        # A container may run under a user id that has no login name.
        raise AccessError('no name is known: give --name') from error
