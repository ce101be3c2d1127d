"""Tables of aligned plain text, the same on a terminal and in a pipe."""

from collections.abc import Sequence

_COLUMN_GAP = '  '


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Align the columns of rows of equal length; the last is not padded.

    :param rows: cells of each row, the headings first.
    :returns: one line per row.
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ]
        lines.append(_COLUMN_GAP.join(cells).rstrip())
    return '\n'.join(lines)
