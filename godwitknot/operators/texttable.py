"""Plain text in aligned columns, the same on a terminal and in a pipe."""

from collections.abc import Sequence

_GAP = '  '


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Align rows of equal length; the last column is not padded.

    :param rows: texts, the headings first.
    :returns: one line a row.
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ]
        lines.append(_GAP.join(cells).rstrip())
    return '\n'.join(lines)
