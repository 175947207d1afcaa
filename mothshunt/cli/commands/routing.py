"""Commands on deployments that route by hosts and path prefixes."""

import argparse
import json
from typing import Any

from expression import Error, Ok, Result

from mothshunt.cli.beliefs import side_by_side
from mothshunt.cli.client import ApiClient, ApiRequest, path_of
from mothshunt.cli.files import read_text
from mothshunt.cli.model import CommandFailure, CommandOutput, ExitCode
from mothshunt.cli.parsing import Subparsers, add_command, add_group
from mothshunt.cli.routing_check import decode, differences, findings_in
from mothshunt.routing.check import Severity
from mothshunt.util import schema

PATH_ROUTING = "/v1/routing"
PATH_TARGETS = "/v1/targets"


def add_commands(subparsers: Subparsers) -> None:
    """Add the commands of this module.

    :param subparsers: Where to add them.
    """
    _add_routing(subparsers)
    _add_zones(subparsers)
    targets = add_group(subparsers, "targets", "show the targets that renew themselves")
    add_command(targets, "list", "list the targets and their state", _async_targets)
    add_command(
        targets,
        "compare",
        "show what each instance of --admin holds of the targets, side by side",
        _async_compare,
    )
    entries = add_command(
        subparsers,
        "entries",
        "ask which entries a caller should use, as the caller would see it",
        _async_entries,
    )
    entries.add_argument("--region", default="", help="region of the caller")
    entries.add_argument(
        "--availability-zone", default="", help="availability zone of the caller"
    )


def _add_routing(subparsers: Subparsers) -> None:
    group = add_group(subparsers, "routing", "read and change routes and services")
    add_command(
        group, "show", "show routes, services, limits and workspaces", _async_show
    )
    apply = add_command(
        group, "apply", "set and drop items; the highest version wins", _async_apply
    )
    apply.add_argument("file", help="JSON file of the items; - reads stdin")
    check = add_command(
        group,
        "check",
        "check a file that is the whole configuration, and send nothing",
        _async_check,
    )
    check.add_argument("file", help="JSON file of the items; - reads stdin")
    check.add_argument(
        "--offline",
        action="store_true",
        help="do not compare the file with a deployment, even if --admin is given",
    )
    check.set_defaults(needs_deployment=False)
    workspaces = add_command(
        group,
        "workspaces",
        "show workspaces, with the first digits of their keys' digests",
        _async_workspaces,
    )
    workspaces.add_argument("name", nargs="?", help="name of one workspace")
    for kind in ("route", "service", "workspace"):
        drop = add_command(group, f"drop-{kind}", f"drop a {kind}", _async_drop)
        drop.set_defaults(kind=kind)
        drop.add_argument("name", help=f"name of the {kind}")
        drop.add_argument(
            "--version",
            type=int,
            required=True,
            metavar="N",
            help="version at which it is dropped; higher than the present one",
        )


def _add_zones(subparsers: Subparsers) -> None:
    group = add_group(subparsers, "zone", "evacuate availability zones")
    add_command(group, "list", "list the evacuated zones", _async_zones)
    evacuate = add_command(
        group, "evacuate", "send nothing new to the targets of a zone", _async_evacuate
    )
    evacuate.add_argument("zone", help="name of the availability zone")
    take_back = add_command(
        group, "take-back", "end the evacuation of a zone", _async_end_evacuation
    )
    take_back.add_argument("zone", help="name of the availability zone")


async def _async_show(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    return _output(await client.async_read(PATH_ROUTING))


async def _async_workspaces(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    def selected(document: Any) -> dict[str, Any]:
        workspaces = document["workspaces"]
        if arguments.name is not None:
            workspaces = [w for w in workspaces if w["name"] == arguments.name]
        return {"workspaces": workspaces}

    answer = await client.async_read(PATH_ROUTING)
    return _output(answer.map(selected))


async def _async_apply(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    text = read_text(arguments.file)
    if text.is_error():
        return Error(text.error)
    return await _async_patch(client, text.ok)


async def _async_check(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    text = read_text(arguments.file)
    if text.is_error():
        return Error(text.error)
    file = decode(text.ok)
    targets = in_force = None
    if arguments.admin and not arguments.offline:
        in_force = await client.async_read(PATH_ROUTING)
        targets = await client.async_read(PATH_TARGETS)
        for answer in (in_force, targets):
            if answer.is_error():
                return Error(answer.error)
    known = targets.ok["targets"] if targets is not None else None
    findings = findings_in(file, known)
    document = {
        "errors": sum(f.severity is Severity.ERROR for f in findings),
        "warnings": sum(f.severity is Severity.WARNING for f in findings),
        "findings": [
            {**schema.to_plain(f), "severity": f.severity.value} for f in findings
        ],
        "differences": (
            differences(file, in_force.ok) if in_force is not None else None
        ),
    }
    return Ok(CommandOutput(document=document, exit_code=_check_exit_code(document)))


def _check_exit_code(document: dict[str, Any]) -> ExitCode:
    if document["errors"]:
        return ExitCode.USAGE
    return ExitCode.WARNINGS if document["warnings"] else ExitCode.OK


async def _async_drop(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    dropped = {"name": arguments.name, "version": arguments.version}
    body = json.dumps({f"dropped_{arguments.kind}s": [dropped]})
    return await _async_patch(client, body.encode())


async def _async_patch(
    client: ApiClient, body: bytes
) -> Result[CommandOutput, CommandFailure]:
    # Sent again unchanged where the answer is lost: the versions make it the same.
    request = ApiRequest(method="POST", path=PATH_ROUTING, body=body)
    return _output(await client.async_send(request))


async def _async_zones(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    return _output(await client.async_read("/v1/evacuations"))


async def _async_evacuate(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    return await _async_set_zone(client, "PUT", arguments.zone)


async def _async_end_evacuation(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    return await _async_set_zone(client, "DELETE", arguments.zone)


async def _async_set_zone(
    client: ApiClient, method: str, zone: str
) -> Result[CommandOutput, CommandFailure]:
    request = ApiRequest(method=method, path=path_of("evacuations", zone))
    return _output(await client.async_send(request))


async def _async_targets(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    return _output(await client.async_read(PATH_TARGETS))


async def _async_compare(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answers = await client.async_read_from_each(PATH_TARGETS)
    failures = [answer.error for answer in answers.values() if answer.is_error()]
    if len(failures) == len(answers):
        return Error(failures[0])
    return Ok(CommandOutput(document=side_by_side(answers)))


async def _async_entries(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    query = {
        "region": arguments.region,
        "availability_zone": arguments.availability_zone,
    }
    return _output(await client.async_read("/v1/entries", query))


def _output(
    answer: Result[Any, CommandFailure],
) -> Result[CommandOutput, CommandFailure]:
    return answer.map(lambda document: CommandOutput(document=document))
