"""Commands on the voters of the replicated log and on the instances."""

import argparse
import json

from expression import Error, Ok, Result

from mothshunt.cli.client import ApiClient, ApiRequest, path_of
from mothshunt.cli.const import (
    CONFIRMED_GIVE_UP_S,
    MEMBER_ATTEMPT_TIMEOUT_S,
    MEMBER_TIMEOUT_MS,
)
from mothshunt.cli.model import CommandFailure, CommandOutput, ExitCode
from mothshunt.cli.parsing import Subparsers, add_command, add_group


def add_commands(subparsers: Subparsers) -> None:
    """Add the commands of this module.

    :param subparsers: Where to add them.
    """
    group = add_group(
        subparsers, "members", "read and change the voters of the replicated log"
    )
    add_command(group, "list", "show the voters and the instances", _async_list)
    add = add_command(
        group, "add", "add a voter; it catches up before it votes", _async_add
    )
    add.add_argument("instance", help="name of the instance")
    add.add_argument(
        "--host", help="IP number of its peer streams (default: from its record)"
    )
    add.add_argument(
        "--port", type=int, help="TCP port of its peer streams (default: as above)"
    )
    remove = add_command(group, "remove", "remove a voter", _async_remove)
    remove.add_argument("instance", help="name of the instance")


async def _async_list(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    # An instance that is no voter any more must not be the one to answer.
    confirmed = ApiRequest(
        method="GET",
        path="/v1/voters",
        query={"confirmed": "true"},
        is_read=True,
        give_up_s=CONFIRMED_GIVE_UP_S,
    )
    voters = await client.async_send(confirmed)
    if voters.is_error() and voters.error.exit_code is ExitCode.UNREACHABLE:
        voters = await client.async_read("/v1/voters")
    if voters.is_error():
        return Error(voters.error)
    instances = await client.async_read("/v1/instances")
    if instances.is_error():
        return Error(instances.error)
    document = {**voters.ok, "instances": instances.ok["instances"]}
    return Ok(CommandOutput(document=document))


async def _async_add(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    voter = {"id": arguments.instance, "host": arguments.host, "port": arguments.port}
    request = ApiRequest(
        method="POST",
        path="/v1/voters",
        query={"timeout_ms": str(MEMBER_TIMEOUT_MS)},
        body=json.dumps(voter).encode(),
        timeout_s=MEMBER_ATTEMPT_TIMEOUT_S,
    )
    answer = await client.async_send(request)
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_remove(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    request = ApiRequest(
        method="DELETE",
        path=path_of("voters", arguments.instance),
        query={"timeout_ms": str(MEMBER_TIMEOUT_MS)},
        timeout_s=MEMBER_ATTEMPT_TIMEOUT_S,
    )
    answer = await client.async_send(request)
    return answer.map(lambda document: CommandOutput(document=document))
