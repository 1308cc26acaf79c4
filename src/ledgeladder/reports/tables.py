"""Plain text tables for terminals."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

COLUMN_GAP: Final = "  "
"""Separator between two columns."""


def format_table(title: str, headers: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Format a table, with numeric columns aligned right and text columns aligned left.

    Args:
        title: Line above the table.
        headers: Names of the columns.
        rows: Cells; each row has one for each column.

    Returns:
        Lines of text; the title and `(none)` if there are no rows.

    >>> format_table("Boxes", ["box", "lines"], [["a-1", 12]])
    ['Boxes', 'box  lines', 'a-1     12']
    """
    if not rows:
        return [title, "(none)"]
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max(len(header), *(len(row[index]) for row in cells))
        for index, header in enumerate(headers)
    ]
    is_number = [
        all(isinstance(row[index], int | float) for row in rows) for index in range(len(headers))
    ]

    def format_row(row: Sequence[str]) -> str:
        padded = [
            cell.rjust(width) if is_right else cell.ljust(width)
            for cell, width, is_right in zip(row, widths, is_number, strict=True)
        ]
        return COLUMN_GAP.join(padded).rstrip()

    return [title, format_row(headers), *map(format_row, cells)]


def _format_cell(cell: object) -> str:
    return f"{cell:.3f}" if isinstance(cell, float) else str(cell)
