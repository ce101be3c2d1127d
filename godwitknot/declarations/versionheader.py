"""The version line of a declaration file.

``godwitknot configuration`` writes this line and ``godwitknot apply`` reads
it, so that a change that somebody made in between is noticed.
"""

import pathlib
import re

_VERSION_LINE = re.compile(r'\A# version (\d+)\n')


def add_version(text: str, version: int) -> str:
    """Give a text with a version line in front."""
    return f'# version {version}\n{text}'


def strip_version(text: str) -> str:
    """Give a text without its version line."""
    return _VERSION_LINE.sub('', text)


def find_version(text: str) -> int | None:
    """Give the version in the first line, ``None`` if there is none."""
    found = _VERSION_LINE.match(text)
    return int(found.group(1)) if found else None


def update_version(file: pathlib.Path, text: str, version: int) -> None:
    """Write the new version into a file that has a version line.

    :param text: content of the file.
    """
    known = find_version(text)
    if known is None or known == version:
        return
    updated = add_version(strip_version(text), version)
    file.write_text(updated, encoding='utf-8')
