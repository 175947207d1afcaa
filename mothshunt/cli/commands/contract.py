"""Commands on contracts."""

import argparse
import json

from expression import Error, Ok, Result

from mothshunt.cli.changes import (
    ChangeRequest,
    add_change_options,
    add_wait_option,
    async_change,
)
from mothshunt.cli.client import ApiClient, ApiRequest, path_of
from mothshunt.cli.const import DEFAULT_RECORDS
from mothshunt.cli.files import read_text
from mothshunt.cli.model import CommandFailure, CommandOutput
from mothshunt.cli.output import FORMAT_JSON
from mothshunt.cli.parsing import Subparsers, add_command, add_group


def add_commands(subparsers: Subparsers) -> None:
    """Add the commands of this module.

    :param subparsers: Where to add them.
    """
    group = add_group(subparsers, "contract", "read, check and change contracts")
    add_command(group, "list", "list the contracts", _async_list)
    show = add_command(group, "show", "show a contract", _async_show)
    show.add_argument("customer")
    show.add_argument(
        "--file",
        action="store_true",
        help="print the contract alone, as the JSON file that apply takes",
    )
    validate = add_command(
        group, "validate", "check a contract and change nothing", _async_validate
    )
    _add_file(validate)
    diff = add_command(group, "diff", "show what a contract would change", _async_diff)
    _add_file(diff)
    apply = add_command(group, "apply", "put a contract in force", _async_apply)
    _add_file(apply)
    add_change_options(apply)
    add_wait_option(apply)
    delete = add_command(group, "delete", "remove a contract", _async_delete)
    delete.add_argument("customer")
    add_change_options(delete)
    add_wait_option(delete)
    history = add_command(
        group, "history", "show the changes of a contract", _async_history
    )
    history.add_argument("customer")
    history.add_argument(
        "--limit", type=int, default=DEFAULT_RECORDS, help="most changes to show"
    )
    history.add_argument(
        "--values", action="store_true", help="show the contracts as well"
    )
    rollback = add_command(
        group,
        "rollback",
        "put an earlier value of a contract in force, as a new revision",
        _async_rollback,
    )
    rollback.add_argument("customer")
    rollback.add_argument("revision", type=int, help="revision to go back to")
    add_change_options(rollback)
    add_wait_option(rollback)


def _add_file(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", help="JSON file of the contract; - reads stdin")


async def _async_list(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answer = await client.async_read("/v1/contracts")
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_show(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    answer = await client.async_read(_path(arguments.customer))
    if arguments.file:
        arguments.output = FORMAT_JSON
        answer = answer.map(lambda document: document["contract"])
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_validate(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    text = read_text(arguments.file)
    if text.is_error():
        return Error(text.error)
    answer = await client.async_send(_validation(text.ok))
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_diff(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    contract = await _async_contract(client, arguments.file)
    if contract.is_error():
        return Error(contract.error)
    customer, text = contract.ok
    answer = await client.async_send(
        ApiRequest(
            method="POST", path=f"{_path(customer)}/diff", body=text, is_read=True
        )
    )
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_apply(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    contract = await _async_contract(client, arguments.file)
    if contract.is_error():
        return Error(contract.error)
    customer, text = contract.ok
    base = await _async_base(client, arguments, customer)
    if base.is_error():
        return Error(base.error)
    request = ChangeRequest(
        method="PUT", path=_path(customer), base_revision=base.ok, body=text
    )
    return await async_change(client, arguments, request, wait=arguments.wait)


async def _async_delete(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    base = await _async_base(client, arguments, arguments.customer)
    if base.is_error():
        return Error(base.error)
    request = ChangeRequest(
        method="DELETE", path=_path(arguments.customer), base_revision=base.ok
    )
    return await async_change(client, arguments, request, wait=arguments.wait)


async def _async_history(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    query = {"limit": str(arguments.limit)}
    if arguments.values:
        query["values"] = "true"
    answer = await client.async_read(f"{_path(arguments.customer)}/history", query)
    return answer.map(lambda document: CommandOutput(document=document))


async def _async_rollback(
    client: ApiClient, arguments: argparse.Namespace
) -> Result[CommandOutput, CommandFailure]:
    base = await _async_base(client, arguments, arguments.customer)
    if base.is_error():
        return Error(base.error)
    request = ChangeRequest(
        method="POST",
        path=f"{_path(arguments.customer)}/rollback",
        base_revision=base.ok,
        revision=arguments.revision,
    )
    return await async_change(client, arguments, request, wait=arguments.wait)


async def _async_contract(
    client: ApiClient, file: str
) -> Result[tuple[str, bytes], CommandFailure]:
    text = read_text(file)
    if text.is_error():
        return Error(text.error)
    customer = _customer_of(text.ok)
    if customer is not None:
        return Ok((customer, text.ok))
    # The check names the faults of a text that doesn't say whose it is.
    answer = await client.async_send(_validation(text.ok))
    return answer.map(lambda document: (document["customer"], text.ok))


async def _async_base(
    client: ApiClient, arguments: argparse.Namespace, customer: str
) -> Result[int, CommandFailure]:
    if arguments.base_revision is not None:
        return Ok(arguments.base_revision)
    answer = await client.async_read("/v1/contracts")
    if answer.is_error():
        return Error(answer.error)
    for summary in answer.ok["contracts"]:
        if summary["customer"] == customer:
            return Ok(summary["revision"])
    return Ok(0)


def _validation(text: bytes) -> ApiRequest:
    return ApiRequest(
        method="POST", path="/v1/contracts/validate", body=text, is_read=True
    )


def _customer_of(text: bytes) -> str | None:
    try:
        document = json.loads(text)
    except ValueError:
        return None
    customer = document.get("customer") if isinstance(document, dict) else None
    return customer if isinstance(customer, str) and customer else None


def _path(customer: str) -> str:
    return path_of("contracts", customer)
