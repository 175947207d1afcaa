"""Commands that show the state of the deployment."""

import argparse

from expression import Error, Ok, Result

from mothshunt.cli.client import ApiClient, path_of
from mothshunt.cli.const import DEFAULT_RECORDS
from mothshunt.cli.model import CommandFailure, CommandOutput, ExitCode
from mothshunt.cli.parsing import Subparsers, add_command, add_group


def add_commands(subparsers: Subparsers) -> None:
    """Add the commands of this module.

    :param subparsers: Where to add them.
    """
    add_command(
        subparsers,
        "status",
        "show the instances, the revision that each holds and its age",
        _async_status,
    )
    change = add_group(subparsers, "change", "ask what became of a change")
    show = add_command(change, "show", "show what became of a change", _async_change)
    show.add_argument("change_id", metavar="ID")
    audit = add_command(subparsers, "audit", "show who changed what", _async_audit)
    audit.add_argument(
        "--limit", type=int, default=DEFAULT_RECORDS, help="most changes to show"
    )
    add_command(subparsers, "codes", "explain the result codes", _async_codes)
    lookup = add_command(
        subparsers,
        "lookup",
        "ask which entries a caller should use, as the caller would see it",
        _async_lookup,
    )
    lookup.add_argument("customer")
    lookup.add_argument("service")
    lookup.add_argument("--client", metavar="IP", help="IP number of the caller")
    lookup.add_argument(
        "--traffic",
        metavar="HOST:PORT",
        help="traffic address to ask (default: that of a ready instance)",
    )


async def _async_status(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answer = await client.async_read("/v1/instances")
    if answer.is_error():
        return Error(answer.error)
    lacking = [i["id"] for i in answer.ok["instances"] if not i["holds_newest"]]
    document = {**answer.ok, "lacking_newest_revision": lacking}
    return Ok(CommandOutput(document=document))


async def _async_change(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answer = await client.async_read(path_of("changes", arguments.change_id))
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_audit(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answer = await client.async_read("/v1/audit", {"limit": str(arguments.limit)})
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_codes(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answer = await client.async_read("/v1/codes")
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_lookup(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    traffic = arguments.traffic
    if traffic is None:
        found = await _async_traffic_address(client)
        if found.is_error():
            return Error(found.error)
        traffic = found.ok
    query = {"customer": arguments.customer, "service": arguments.service}
    if arguments.client:
        query["client"] = arguments.client
    answer = await client.async_get_from(f"http://{traffic}/v1/lookup", query)
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_traffic_address(client: ApiClient) -> Result[str, CommandFailure]:
    answer = await client.async_read("/v1/instances")
    if answer.is_error():
        return Error(answer.error)
    for instance in answer.ok["instances"]:
        if instance["state"] == "ready" and instance["traffic"]:
            return Ok(instance["traffic"])
    return Error(
        CommandFailure(
            exit_code=ExitCode.UNREACHABLE, text="no instance is ready for callers"
        )
    )
