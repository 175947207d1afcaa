"""Pieces of Markdown."""

from collections.abc import Iterable


def table_row(cells: Iterable[str]) -> str:
    """Return one row of a table.

    :param cells: Texts of its cells, with reST literals.
    """
    texts = (cell.replace("``", "`").replace("|", "\\|") for cell in cells)
    return f"| {' | '.join(texts)} |"
