"""Findings and differences of a file of routing items."""

import dataclasses
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from mothshunt.admin import codes
from mothshunt.admin.routing_model import PatchBody, RoutingDocument
from mothshunt.admin.workspace_model import WorkspaceBody
from mothshunt.core.types import OperatorId, ServiceName, TargetState
from mothshunt.routing.check import (
    Finding,
    KnownTargets,
    Severity,
    WarningKind,
    check,
)
from mothshunt.routing.messages import PatchRouting
from mothshunt.routing.state import RoutingItems, highest_versions
from mothshunt.util import schema
from mothshunt.util.schema import Fault

_WORKSPACE_MEMBERS = frozenset(f.name for f in dataclasses.fields(WorkspaceBody))
_KINDS = ("routes", "services", "workspaces")
#: Members that do not change what an item does.
_NOT_COMPARED = frozenset({"version"})
#: Warnings that need all items: a faulty one that is left out would cause them.
_NEED_ALL_ITEMS = frozenset(
    kind.value
    for kind in (
        WarningKind.SERVICE_UNUSED,
        WarningKind.NO_COMMON_REGION,
        WarningKind.QUOTA_ABOVE_CAPACITY,
    )
)


@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedFile:
    """Items of a file that could be decoded.

    :param patch: The items without faults.
    :param findings: Faults of the others, and of the document itself.
    :param faulty_services: Services that the file names, but with faults.
    :param index_by_kind: Positions in the file of the items in the patch.
    """

    patch: PatchRouting
    findings: tuple[Finding, ...]
    faulty_services: frozenset[ServiceName]
    index_by_kind: dict[str, list[int]]


def findings_in(
    file: DecodedFile, targets: Iterable[dict[str, Any]] | None
) -> tuple[Finding, ...]:
    """Return all findings in a file, each with its path into the file.

    :param file: The file.
    :param targets: Targets as the administration API lists them, if they are known.
    """
    known = None if targets is None else targets_by_service(targets)
    findings = check(file.patch, known, file.faulty_services)
    placed = (
        dataclasses.replace(finding, path=_path_in_file(file, finding.path))
        for finding in findings
        if not (file.findings and finding.code in _NEED_ALL_ITEMS)
    )
    everything = dict.fromkeys((*file.findings, *placed))
    return tuple(sorted(everything, key=lambda f: f.severity is Severity.WARNING))


def decode(text: bytes) -> DecodedFile:
    """Decode a file; items with faults are left out, so that the others are checked.

    :param text: JSON text that the administration API takes.
    """
    body = schema.from_json(PatchBody, text or b"{}")
    if body.is_ok():
        return _decoded(body.ok, (), frozenset(), {})
    findings = tuple(dict.fromkeys(_finding(fault) for fault in body.error))
    places = [fault.path.split("/")[1:] for fault in body.error]
    if places[0] == [""]:
        return _decoded(PatchBody(), findings, frozenset(), {})
    document = json.loads(text)
    faulty_services = frozenset(
        item["name"]
        for index, item in enumerate(_list(document.get("services")))
        if ["services", str(index)] in [place[:2] for place in places]
        and isinstance(item, dict)
        and isinstance(item.get("name"), str)
    )
    indexes: dict[str, list[int]] = {}
    members: dict[str, Any] = {}
    for field in dataclasses.fields(PatchBody):
        if [field.name] in places or field.name not in document:
            continue
        value = document[field.name]
        if isinstance(value, list):
            faulty = {place[1] for place in places if place[0] == field.name}
            kept = [index for index in range(len(value)) if str(index) not in faulty]
            indexes[field.name] = kept
            members[field.name] = [value[index] for index in kept]
        elif not any(place[0] == field.name for place in places):
            members[field.name] = value
    rest = schema.from_json(PatchBody, json.dumps(members))
    valid = rest.ok if rest.is_ok() else PatchBody()
    return _decoded(valid, findings, faulty_services, indexes)


def _decoded(
    body: PatchBody,
    findings: tuple[Finding, ...],
    faulty_services: frozenset[str],
    indexes: dict[str, list[int]],
) -> DecodedFile:
    return DecodedFile(
        patch=body.patch(OperatorId("")),
        findings=findings,
        faulty_services=frozenset(map(ServiceName, faulty_services)),
        index_by_kind=indexes,
    )


def _list(value: object) -> list[Any]:
    return value if isinstance(value, list) else []


def _finding(fault: Fault) -> Finding:
    path = fault.path
    parts = path.split("/")
    # A key that was written as the name of a member must not be printed.
    is_in_workspace = parts[1] == "workspaces" and len(parts) > 3
    if is_in_workspace and parts[3] not in _WORKSPACE_MEMBERS:
        path = "/".join(parts[:3])
    return Finding(
        severity=Severity.ERROR,
        path=path,
        code=codes.BODY_INVALID.name,
        text=fault.problem,
    )


def _path_in_file(file: DecodedFile, path: str) -> str:
    _, kind, index, *rest = path.split("/")
    if kind in file.index_by_kind:
        index = str(file.index_by_kind[kind][int(index)])
    return "/".join(("", kind, index, *rest))


def targets_by_service(
    targets: Iterable[dict[str, Any]],
) -> dict[ServiceName, KnownTargets]:
    """Return the serving targets of each service that has some.

    :param targets: Targets as the administration API lists them.
    """
    targets_of_service: dict[ServiceName, list[dict[str, Any]]] = {}
    for target in targets:
        if target["state"] == TargetState.SERVING.value:
            service = ServiceName(target["service"])
            targets_of_service.setdefault(service, []).append(target)
    return {
        service: KnownTargets(
            count=len(listed),
            slots=sum(target["slots"] for target in listed),
            regions=frozenset(target["region"] for target in listed),
        )
        for service, listed in targets_of_service.items()
    }


def differences(
    file: DecodedFile, in_force: dict[str, Any]
) -> list[dict[str, Any]] | None:
    """Return how the items of a file differ from those in force.

    :param file: The file, as the whole configuration.
    :param in_force: Items in force as the administration API shows them.
    :return: Items added, changed and dropped, and whether the file has that effect;
        ``None`` where items of the file could not be decoded.
    """
    if file.findings:
        return None
    patch = file.patch
    items = RoutingItems(
        route_by_name=highest_versions((i.name, i) for i in patch.routes),
        service_by_name=highest_versions((i.name, i) for i in patch.services),
        limits=patch.limits,
        workspace_by_name=highest_versions((i.name, i) for i in patch.workspaces),
    )
    version_by_item: dict[str, int] = {
        **{f"route {name}": i.version for name, i in items.route_by_name.items()},
        **{f"service {name}": i.version for name, i in items.service_by_name.items()},
        **{
            f"workspace {name}": i.version
            for name, i in items.workspace_by_name.items()
        },
    }
    # Encoded and decoded, so that both sides have lists and numbers of the same types.
    given = _by_item(json.loads(schema.to_json(RoutingDocument.from_items(items))))
    held = _by_item(in_force)
    rows: list[dict[str, Any]] = []
    for name in sorted({*given, *held}):
        old, new = held.get(name), given.get(name)
        fields = _changed_fields(old, new)
        if old is None or new is None or fields:
            version = version_by_item.get(name, -1) if new is None else new["version"]
            rows.append(
                {
                    "item": name,
                    "change": _change(old, new),
                    "fields": fields,
                    "takes_effect": old is None or version > old["version"],
                }
            )
    return rows


def _by_item(document: dict[str, Any]) -> dict[str, dict[str, Any]]:
    item_by_name = {
        f"{kind[:-1]} {item['name']}": item
        for kind in _KINDS
        for item in document.get(kind, ())
    }
    limits = document.get("limits")
    return item_by_name if limits is None else {**item_by_name, "limits": limits}


def _changed_fields(
    old: dict[str, Any] | None, new: dict[str, Any] | None
) -> list[str]:
    if old is None or new is None:
        return []
    return [
        field
        for field in new
        if field not in _NOT_COMPARED and old.get(field) != new[field]
    ]


def _change(old: dict[str, Any] | None, new: dict[str, Any] | None) -> str:
    if old is None:
        return "added"
    return "dropped" if new is None else "changed"
