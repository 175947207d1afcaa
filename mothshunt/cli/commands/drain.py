"""Commands on drains."""

import argparse
import json
import math
import sys
import time
from typing import Any

from expression import Error, Ok, Result

from mothshunt.cli.changes import (
    ChangeRequest,
    add_change_options,
    add_wait_option,
    async_base,
    async_change,
    async_remove,
)
from mothshunt.cli.client import ApiClient, path_of
from mothshunt.cli.model import CommandFailure, CommandOutput, ExitCode
from mothshunt.cli.parsing import Subparsers, add_command, add_group
from mothshunt.cli.polling import async_polls

KINDS = ("target", "instance", "availability-zone", "region")


def add_commands(subparsers: Subparsers) -> None:
    """Add the commands of this module.

    :param subparsers: Where to add them.
    """
    group = add_group(
        subparsers, "drain", "take targets, instances, zones or regions out of service"
    )
    add_command(group, "list", "list the drains and how far they are", _async_list)
    status = add_command(group, "status", "show one drain", _async_status)
    _add_subject(status)
    _add_wait(status)
    add = add_command(group, "add", "drain something", _async_add)
    _add_subject(add)
    add.add_argument("--reason", default="", help="text for other operators")
    add_change_options(add)
    _add_wait(add)
    remove = add_command(group, "remove", "remove a drain", _async_remove)
    _add_subject(remove)
    add_change_options(remove)
    add_wait_option(remove)


def _add_subject(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", choices=KINDS, help="what is drained")
    parser.add_argument("name", help="its name")


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the drain is complete and show its progress on stderr",
    )


async def _async_list(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answer = await client.async_read("/v1/drains")
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_status(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    if arguments.wait:
        return await _async_wait(client, arguments)
    answer = await client.async_read(_path(arguments))
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_add(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    base = await _async_base(client, arguments)
    if base.is_error():
        return Error(base.error)
    body = json.dumps({"reason": arguments.reason}).encode()
    request = ChangeRequest(
        method="PUT", path=_path(arguments), base_revision=base.ok, body=body
    )
    changed = await async_change(client, arguments, request, wait=False)
    if changed.is_error() or not arguments.wait:
        return changed
    waited = await _async_wait(client, arguments)
    if waited.is_error():
        document = {**changed.ok.document, "drain": {"unknown": waited.error.text}}
        return Ok(CommandOutput(document=document, exit_code=ExitCode.NOT_IN_FORCE))
    document = {**changed.ok.document, "drain": waited.ok.document}
    return Ok(CommandOutput(document=document, exit_code=waited.ok.exit_code))


async def _async_remove(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    base = await _async_base(client, arguments)
    return await async_remove(client, arguments, _path(arguments), base)


async def _async_wait(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    deadline = time.monotonic() + arguments.wait_timeout
    shown = ""
    async for _ in async_polls():
        answer = await client.async_read(_path(arguments))
        if answer.is_error():
            return Error(answer.error)
        line = _progress_line(answer.ok)
        if line != shown:
            print(line, file=sys.stderr, flush=True)
            shown = line
        if answer.ok["complete"]:
            return Ok(CommandOutput(document=answer.ok))
        if time.monotonic() > deadline:
            break
    return Ok(CommandOutput(document=answer.ok, exit_code=ExitCode.NOT_IN_FORCE))


async def _async_base(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[int, CommandFailure]:
    wanted = {"kind": arguments.kind.replace("-", "_"), "name": arguments.name}
    return await async_base(client, arguments, "drains", wanted)


def _progress_line(drain: dict[str, Any]) -> str:
    in_force = len(drain["in_force_on"])
    reachable = in_force + len(drain["pending_on"])
    in_flight = "unknown" if drain["in_flight"] is None else drain["in_flight"]
    line = f"in force on {in_force} of {reachable} instances, in flight: {in_flight}"
    cached_s = math.ceil(drain["cached_lookups_s"])
    return f"{line}, cached look-ups end in {cached_s} s" if cached_s else line


def _path(arguments: argparse.Namespace) -> str:
    return path_of("drains", arguments.kind, arguments.name)
