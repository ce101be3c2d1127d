"""Only the platform folder knows the platform's names."""

import pathlib

import pytest

from godwitknot.platform import names

# Own fields of the hop between nodes start with this; one of them resembles
# a field of the platform.
OWN_PREFIX = 'x-godwitknot-'
PACKAGE = pathlib.Path(names.__file__).parents[1]
WORDS = [
    text
    for name, text in names.__dict__.items()
    if name.isupper() and isinstance(text, str) and len(text) > len('config')
]
WORDS += ['rows-', 'row_version', 'route_type', 'traffic_split', 'app_addr']


def _read_without_own_fields(path):
    return path.read_text().lower().replace(OWN_PREFIX, '')


@pytest.mark.parametrize('word', WORDS)
def test_word_of_the_wire_stays_in_the_folder(word):
    """Wire names drawn anew must change nothing outside the folder."""
    strangers = [
        path.name
        for path in PACKAGE.rglob('*.py')
        if path.parent.name != 'platform'
        and word.lower() in _read_without_own_fields(path)
    ]
    assert not strangers
