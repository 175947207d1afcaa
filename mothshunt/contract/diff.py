"""Differences between two contracts, line by line."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from mothshunt.contract.model import Contract
from mothshunt.util import schema

#: Keys that name an entry of a list, by the path of the list without entry names.
_NAMING_KEYS_BY_LIST = {
    "services": ("service",),
    "regions": ("region",),
    "links": ("from_region", "to_region"),
    "idempotent": ("method", "path"),
}


class DiffKind(Enum):
    """What happened to a value."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, kw_only=True, slots=True)
class DiffLine:
    """Tell of one value that differs.

    :param path: Place of the value; entries of lists go by their names.
    :param kind: What happened to it.
    :param before: JSON text of the old value; ``None`` where there was none.
    :param after: JSON text of the new value; ``None`` where there is none.
    """

    path: str
    kind: DiffKind
    before: str | None
    after: str | None


def diff_contracts(
    before: Contract | None, after: Contract | None
) -> tuple[DiffLine, ...]:
    """Return the values that differ between two contracts, sorted by path.

    :param before: The old contract; ``None`` where there was none.
    :param after: The new contract; ``None`` where there is none.
    """
    old = _value_by_path(before)
    new = _value_by_path(after)
    return tuple(
        _line(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    )


def _line(path: str, before: str | None, after: str | None) -> DiffLine:
    kind = DiffKind.CHANGED
    if before is None:
        kind = DiffKind.ADDED
    elif after is None:
        kind = DiffKind.REMOVED
    return DiffLine(path=path, kind=kind, before=before, after=after)


def _value_by_path(contract: Contract | None) -> dict[str, str]:
    if contract is None:
        return {}
    # Through JSON text, so that enumerations compare as their values.
    return dict(_leaves(json.loads(schema.to_json(contract)), ""))


def _leaves(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _leaves(inner, f"{path}/{key}")
    elif isinstance(value, list):
        naming_keys = _NAMING_KEYS_BY_LIST[path.rsplit("/", 1)[-1]]
        for entry in value:
            name = ">".join(str(entry[key]) for key in naming_keys)
            yield f"{path}/{name}", ""
            yield from _entry_leaves(entry, naming_keys, f"{path}/{name}")
    else:
        yield path, json.dumps(value)


def _entry_leaves(
    entry: dict[str, Any], naming_keys: tuple[str, ...], path: str
) -> Iterator[tuple[str, str]]:
    for key, inner in entry.items():
        if key not in naming_keys:
            yield from _leaves(inner, f"{path}/{key}")
