"""Printing of documents as JSON or as tables."""

import json
from collections.abc import Iterator, Sequence
from typing import Any, TextIO

from mothshunt.cli.model import CommandFailure

FORMAT_JSON = "json"
FORMAT_TABLE = "table"


def print_document(document: Any, output: str, stream: TextIO) -> None:
    """Print a document.

    :param document: JSON document.
    :param output: ``json`` or ``table``.
    :param stream: Where to.
    """
    if output == FORMAT_JSON:
        print(json.dumps(document, indent=2), file=stream)
        return
    for line in table_lines(document):
        print(line, file=stream)


def print_failure(failure: CommandFailure, output: str, stream: TextIO) -> None:
    """Print why a command did not succeed.

    :param failure: What went wrong.
    :param output: ``json`` or ``table``.
    :param stream: Where to.
    """
    if output == FORMAT_JSON:
        document = {"error": failure.text, **failure.document}
        print(json.dumps(document, indent=2), file=stream)
        return
    print(f"mothshunt: {failure.text}", file=stream)
    for fault in failure.document.get("faults", ()):
        line = f"  {fault['path']}: {fault['code']} {fault['name']}: {fault['detail']}"
        print(line, file=stream)


def table_lines(document: Any) -> Iterator[str]:
    """Yield a document as lines: its values as pairs, its lists as tables.

    :param document: JSON document.
    """
    if not isinstance(document, dict):
        yield _cell(document)
        return
    leaves = list(_leaves(document, ""))
    pairs = [(name, value) for name, value in leaves if not _is_table(value)]
    width = max((len(name) for name, _ in pairs), default=0)
    for name, value in pairs:
        yield f"{name.ljust(width)}  {_cell(value)}".rstrip()
    for name, value in leaves:
        if not _is_table(value):
            continue
        if len(leaves) > 1:
            yield ""
            yield f"{name}:"
        yield from _rows(value)


def _leaves(document: dict[str, Any], prefix: str) -> Iterator[tuple[str, Any]]:
    for key, value in document.items():
        name = f"{prefix}{key}".replace("_", " ")
        if isinstance(value, dict):
            yield from _leaves(value, f"{name}: ")
        elif value not in (None, ""):
            yield name, value


def _is_table(value: Any) -> bool:
    if not isinstance(value, list) or not value:
        return False
    return all(isinstance(row, dict) for row in value)


def _rows(rows: Sequence[dict[str, Any]]) -> Iterator[str]:
    columns = [
        column
        for column in rows[0]
        if any(row.get(column) not in (None, "") for row in rows)
    ]
    cells = [[_cell(row.get(column)) for column in columns] for row in rows]
    header = [column.replace("_", " ") for column in columns]
    widths = [max(map(len, column)) for column in zip(header, *cells, strict=True)]
    for line in (header, *cells):
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield "  ".join(padded).rstrip()


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}"
    if isinstance(value, list):
        return ", ".join(_cell(part) for part in value) or "-"
    if isinstance(value, dict):
        return "=".join(_cell(part) for part in value.values())
    # Texts of other operators must not be able to steer the terminal.
    return "".join(c if c.isprintable() else "?" for c in str(value))
