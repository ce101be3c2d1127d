"""The version header of a declaration file.

``godwitknot configuration`` writes this comment line and ``godwitknot apply``
reads it, to detect changes that were made in between.
"""

import pathlib
import re

_VERSION_HEADER = re.compile(r'\A# version (\d+)\n')


def add_version(text: str, version: int) -> str:
    """Return the text with a version header in front."""
    return f'# version {version}\n{text}'


def strip_version(text: str) -> str:
    """Return the text without its version header."""
    return _VERSION_HEADER.sub('', text)


def find_version(text: str) -> int | None:
    """Return the version in the header, ``None`` without a header."""
    found = _VERSION_HEADER.match(text)
    return int(found.group(1)) if found else None


def update_version(file: pathlib.Path, text: str, version: int) -> None:
    """Update the version header of a file if it has one.

    :param text: current content of the file.
    :param version: new version.
    """
    current = find_version(text)
    if current is None or current == version:
        return
    updated = add_version(strip_version(text), version)
    file.write_text(updated, encoding='utf-8')
