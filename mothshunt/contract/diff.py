"""Differences between two contracts, one line for each value."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from mothshunt.contract.model import Contract
from mothshunt.util import schema

#: Keys that identify an item of a list, by the name of the list.
_ID_KEYS_BY_LIST = {
    "services": ("service",),
    "regions": ("region",),
    "links": ("from_region", "to_region"),
    "idempotent": ("method", "path"),
}


class DiffKind(Enum):
    """Kind of change of a value."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, kw_only=True, slots=True)
class DiffLine:
    """One value that differs between two contracts.

    :param path: Path of the value; a list item has its identifying values instead of an
        index.
    :param kind: Whether the value was added, removed or changed.
    :param before: JSON text of the old value; ``None`` if it was added.
    :param after: JSON text of the new value; ``None`` if it was removed.
    """

    path: str
    kind: DiffKind
    before: str | None
    after: str | None


def diff_contracts(
    before: Contract | None, after: Contract | None
) -> tuple[DiffLine, ...]:
    """Return the values that differ between two contracts, sorted by path.

    :param before: The old contract; ``None`` if there was none.
    :param after: The new contract; ``None`` if there is none.
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
    # Converted to JSON and back, so that enum members compare by value.
    return dict(_leaves(json.loads(schema.to_json(contract)), ""))


def _leaves(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _leaves(inner, f"{path}/{key}")
    elif isinstance(value, list):
        id_keys = _ID_KEYS_BY_LIST[path.rsplit("/", 1)[-1]]
        for item in value:
            name = ">".join(str(item[key]) for key in id_keys)
            yield f"{path}/{name}", ""
            yield from _item_leaves(item, id_keys, f"{path}/{name}")
    else:
        yield path, json.dumps(value)


def _item_leaves(
    item: dict[str, Any], id_keys: tuple[str, ...], path: str
) -> Iterator[tuple[str, str]]:
    for key, inner in item.items():
        if key not in id_keys:
            yield from _leaves(inner, f"{path}/{key}")
