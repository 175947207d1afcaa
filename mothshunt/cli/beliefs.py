"""What several instances hold for true of the targets, side by side."""

from collections.abc import Mapping
from typing import Any

from expression import Result

from mothshunt.cli.model import CommandFailure

#: Shown for a target that an instance does not know.
UNKNOWN = "unknown"


def side_by_side(
    answer_by_address: Mapping[str, Result[Any, CommandFailure]],
) -> dict[str, Any]:
    """Return one row for each target, with what each instance holds of it.

    Instances differ for a moment after each change; a row that stays different
    shows an instance that does not get the news.

    :param answer_by_address: List of targets of each instance, or why there is none,
        by the address that was asked.
    :return: JSON document; ages are in seconds.
    """
    instances: list[dict[str, Any]] = []
    targets_by_address: dict[str, dict[str, dict[str, Any]]] = {}
    for address, answer in answer_by_address.items():
        if answer.is_error():
            instances.append({"instance": address, "failure": answer.error.text})
            continue
        rows = {row["target"]: row for row in answer.ok["targets"]}
        targets_by_address[address] = rows
        instances.append({"instance": address, "known_targets": len(rows)})
    names = sorted({name for rows in targets_by_address.values() for name in rows})
    return {
        "instances": instances,
        "targets": [_row(name, targets_by_address) for name in names],
    }


def _row(
    name: str, targets_by_address: Mapping[str, Mapping[str, Mapping[str, Any]]]
) -> dict[str, Any]:
    held = {address: rows.get(name) for address, rows in targets_by_address.items()}
    facts = {
        (row["incarnation"], row["state"]) if row else None for row in held.values()
    }
    beliefs = {address: _belief(row) for address, row in held.items()}
    return {"target": name, "is_same": len(facts) == 1, **beliefs}


def _belief(row: Mapping[str, Any] | None) -> str:
    if row is None:
        return UNKNOWN
    return f"{row['state']} {row['incarnation']} {row['age_s']:.1f} s"
