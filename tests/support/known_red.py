"""Tests that are known to fail, as KNOWN-RED.txt lists them.

An entry begins with a line ``test: NAME``; the lines after it are for readers.
"""

from pathlib import Path

PREFIX = "test:"


def read(path: Path) -> frozenset[str]:
    """Return the names of the listed tests."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)
    )
