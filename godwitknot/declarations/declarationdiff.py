"""Differences between two declarations, by section and key."""

import attrs

from godwitknot.declarations.inifile import parse_ini


@attrs.frozen
class Difference:
    """One key that differs.

    :param section: section title.
    :param key: key within the section; empty for the section itself.
    :param old: text before, ``None`` if the key is new.
    :param new: text after, ``None`` if the key is removed.
    """

    section: str
    key: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        """Format as one line that begins with ``+``, ``-`` or ``~``."""
        place = f'[{self.section}] {self.key}'.rstrip()
        if self.old is None:
            return f'+ {place} = {self.new}' if self.key else f'+ {place}'
        if self.new is None:
            return f'- {place} = {self.old}' if self.key else f'- {place}'
        return f'~ {place}: {self.old} -> {self.new}'


def compare_texts(old: str, new: str) -> tuple[Difference, ...]:
    """Compare two declarations.

    Comments, blank lines, indentation and the order of sections and keys
    do not count.

    :param old: INI text, empty for no declaration.
    :param new: INI text.
    :returns: differences in the order of the sections of both texts.
    """
    before = _read_keys(old)
    after = _read_keys(new)
    places = list(dict.fromkeys([*before, *after]))
    sections = list(dict.fromkeys(section for section, _ in places))
    places.sort(key=lambda place: sections.index(place[0]))
    return tuple(
        Difference(*place, before.get(place), after.get(place))
        for place in places
        if before.get(place) != after.get(place)
    )


def _read_keys(text: str) -> dict[tuple[str, str], str]:
    parser, _ = parse_ini(text)
    keys = {}
    for section in parser.sections():
        keys[section, ''] = ''
        for key in parser[section]:
            lines = parser[section][key].splitlines()
            parts = [' '.join(line.split()) for line in lines]
            keys[section, key] = '; '.join(filter(None, parts))
    return keys
