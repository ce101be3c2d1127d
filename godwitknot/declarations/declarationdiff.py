"""Differences between two declarations, by section and key."""

import attrs

from godwitknot.declarations.inifile import parse_ini


@attrs.frozen
class Difference:
    """A section or key that was added, removed or changed.

    :param section: section title.
    :param key: key within the section; empty for the section itself.
    :param old: old value, ``None`` if the key was added.
    :param new: new value, ``None`` if the key was removed.
    """

    section: str
    key: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        """Format as one line that begins with ``+``, ``-`` or ``~``."""
        title = f'[{self.section}] {self.key}'.rstrip()
        if self.old is None:
            return f'+ {title} = {self.new}' if self.key else f'+ {title}'
        if self.new is None:
            return f'- {title} = {self.old}' if self.key else f'- {title}'
        return f'~ {title}: {self.old} -> {self.new}'


def compare_texts(old: str, new: str) -> tuple[Difference, ...]:
    """Compare two declarations.

    Ignores comments, blank lines, indentation and the order of sections and
    keys.

    :param old: INI text, empty for no declaration.
    :param new: INI text.
    :returns: differences, sorted by section in the order in which the
        sections first appear.
    """
    old_values = _read_values(old)
    new_values = _read_values(new)
    paths = list(dict.fromkeys([*old_values, *new_values]))
    sections = list(dict.fromkeys(section for section, _ in paths))
    paths.sort(key=lambda path: sections.index(path[0]))
    return tuple(
        Difference(*path, old_values.get(path), new_values.get(path))
        for path in paths
        if old_values.get(path) != new_values.get(path)
    )


def _read_values(text: str) -> dict[tuple[str, str], str]:
    """Read values by section and key, each on one line."""
    parser, _ = parse_ini(text)
    values = {}
    for section in parser.sections():
        values[section, ''] = ''
        for key in parser[section]:
            lines = parser[section][key].splitlines()
            parts = [' '.join(line.split()) for line in lines]
            values[section, key] = '; '.join(filter(None, parts))
    return values
