"""Only the platform package uses the names of the platform's protocol."""

import pathlib

import pytest

from godwitknot.platform import names

# Prefix of the project's own header fields between nodes, one of which
# resembles a header field of the platform.
INTERNAL_PREFIX = 'x-godwitknot-'
PACKAGE = pathlib.Path(names.__file__).parents[1]
WORDS = [
    text
    for name, text in names.__dict__.items()
    if name.isupper() and isinstance(text, str) and len(text) > len('config')
]
WORDS += ['rows-', 'row_version', 'route_type', 'traffic_split', 'app_addr']


def _read_without_internal_fields(path):
    return path.read_text().lower().replace(INTERNAL_PREFIX, '')


@pytest.mark.parametrize('word', WORDS)
def test_word_of_the_wire_stays_in_the_folder(word):
    """Guards against renamed protocol fields that affect other packages."""
    offenders = [
        path.name
        for path in PACKAGE.rglob('*.py')
        if path.parent.name != 'platform'
        and word.lower() in _read_without_internal_fields(path)
    ]
    assert not offenders
