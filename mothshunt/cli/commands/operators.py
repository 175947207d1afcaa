"""Commands on operators."""

import argparse
import json

from expression import Error, Result

from mothshunt.access.token import new_token, token_sha256
from mothshunt.cli.changes import (
    ChangeRequest,
    add_change_options,
    add_wait_option,
    async_base,
    async_change,
    async_remove,
)
from mothshunt.cli.client import ApiClient, path_of
from mothshunt.cli.model import CommandFailure, CommandOutput
from mothshunt.cli.parsing import Subparsers, add_command, add_group


def add_commands(subparsers: Subparsers) -> None:
    """Add the commands of this module.

    :param subparsers: Where to add them.
    """
    group = add_group(subparsers, "operators", "read and change operators")
    add_command(group, "list", "list the operators and their roles", _async_list)
    set_parser = add_command(
        group, "set", "make an operator or replace its roles", _async_set
    )
    set_parser.add_argument("operator", help="name of the operator")
    set_parser.add_argument(
        "--grant",
        action="append",
        default=[],
        type=_grant,
        metavar="CUSTOMER=ROLE",
        help="role for one customer, or for all with *: read, drain, change or "
        "administer; repeat it for several",
    )
    set_parser.add_argument(
        "--new-token",
        action="store_true",
        help="give a new token; a new operator gets one in any case",
    )
    add_change_options(set_parser)
    add_wait_option(set_parser)
    remove = add_command(group, "remove", "remove an operator", _async_remove)
    remove.add_argument("operator", help="name of the operator")
    add_change_options(remove)
    add_wait_option(remove)


def _grant(text: str) -> dict[str, str]:
    customer, separator, role = text.partition("=")
    if not separator:
        raise argparse.ArgumentTypeError(f"{text!r} is not CUSTOMER=ROLE")
    return {"customer": customer, "role": role}


async def _async_list(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answer = await client.async_read("/v1/operators")
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_set(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    base = await _async_base(client, arguments)
    if base.is_error():
        return Error(base.error)
    # Made here, so that a change sent again after a lost answer carries the same one.
    token = new_token() if arguments.new_token or base.ok == 0 else None
    body: dict[str, object] = {"grants": arguments.grant}
    if token is not None:
        body["token_sha256"] = token_sha256(token)
    request = ChangeRequest(
        method="PUT",
        path=_path(arguments),
        base_revision=base.ok,
        body=json.dumps(body).encode(),
    )
    changed = await async_change(client, arguments, request, wait=arguments.wait)
    if changed.is_error() or token is None:
        return changed
    return changed.map(lambda output: _with_token(output, token))


async def _async_remove(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    base = await _async_base(client, arguments)
    return await async_remove(client, arguments, _path(arguments), base)


async def _async_base(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[int, CommandFailure]:
    wanted = {"id": arguments.operator}
    return await async_base(client, arguments, "operators", wanted)


def _with_token(output: CommandOutput, token: str) -> CommandOutput:
    document = {**output.document, "token": token}
    return CommandOutput(document=document, exit_code=output.exit_code)


def _path(arguments: argparse.Namespace) -> str:
    return path_of("operators", arguments.operator)
