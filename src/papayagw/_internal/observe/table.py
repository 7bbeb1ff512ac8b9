"""Plain-text tables."""

from collections.abc import Sequence


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a table; numeric columns are right-aligned.

    Parameters
    ----------
    header : sequence of str
        The column names.
    rows : sequence of sequence of object
        The cells of each row, one for each column.
    """
    texts = [[str(cell) for cell in row] for row in rows]
    columns = list(zip(header, *texts, strict=True))
    widths = [max(len(cell) for cell in column) for column in columns]
    numeric = [all(map(_is_number, column[1:])) for column in columns]
    return [
        "  ".join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, numeric, strict=True)
        ).rstrip()
        for row in (list(header), *texts)
    ]


def _is_number(cell: str) -> bool:
    """Return whether a cell is a number, empty or a dash."""
    return cell in ("", "-") or cell[0].isdigit()
