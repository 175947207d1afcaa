"""Changes that commands send, and the wait until they are in force."""

import argparse
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from mothshunt.cli.client import ApiClient, ApiRequest
from mothshunt.cli.model import CommandFailure, CommandOutput, ExitCode
from mothshunt.cli.polling import async_polls

STATE_LOST = "lost"


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRequest:
    """Describe a change that is sent until its outcome is known.

    :param method: HTTP method.
    :param path: Path of the item.
    :param base_revision: Revision of the item that the change is based on.
    :param body: New value of the item.
    :param revision: Revision to go back to.
    """

    method: str
    path: str
    base_revision: int
    body: bytes | None = None
    revision: int | None = None


def add_change_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that all changes share.

    :param parser: Parser of the command.
    """
    parser.add_argument(
        "--change-id",
        metavar="ID",
        help="identifier of the change; the same id sent again is the same change "
        "(default: a new one)",
    )
    parser.add_argument(
        "--base-revision",
        type=int,
        metavar="N",
        help="revision of the item that the change is based on (default: the present "
        "one)",
    )
    parser.add_argument(
        "--summary", default="", metavar="TEXT", help="text for the audit trail"
    )


def add_wait_option(parser: argparse.ArgumentParser) -> None:
    """Add the option to wait until a change is in force.

    :param parser: Parser of the command.
    """
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the change is in force on every reachable instance",
    )


async def async_base(
    client: ApiClient,
    arguments: argparse.Namespace,
    section: str,
    wanted: Mapping[str, str],
) -> Result[int, CommandFailure]:
    """Return the revision of an item that a change is based on.

    :param client: Connection to the administration API.
    :param arguments: Hold ``base_revision``, where the operator gave one.
    :param section: List that the item is in, ``drains`` or ``operators``.
    :param wanted: Fields that name the item.
    :return: The revision; 0 where there is no such item.
    """
    if arguments.base_revision is not None:
        return Ok(arguments.base_revision)
    answer = await client.async_read(f"/v1/{section}")
    if answer.is_error():
        return Error(answer.error)
    for item in answer.ok[section]:
        if all(item[field] == value for field, value in wanted.items()):
            return Ok(item["revision"])
    return Ok(0)


async def async_remove(
    client: ApiClient,
    arguments: argparse.Namespace,
    path: str,
    base: Result[int, CommandFailure],
) -> Result[CommandOutput, CommandFailure]:
    """Have an item removed.

    :param client: Connection to the administration API.
    :param arguments: Options of the change.
    :param path: Path of the item.
    :param base: What ``async_base`` returned.
    """
    if base.is_error():
        return Error(base.error)
    request = ChangeRequest(method="DELETE", path=path, base_revision=base.ok)
    return await async_change(client, arguments, request, wait=arguments.wait)


async def async_change(
    client: ApiClient,
    arguments: argparse.Namespace,
    request: ChangeRequest,
    *,
    wait: bool,
) -> Result[CommandOutput, CommandFailure]:
    """Send a change and, where asked for, wait until it is in force.

    :param client: Client of the administration API.
    :param arguments: Options of the command.
    :param request: The change.
    :param wait: Whether to wait until it is in force on every reachable instance.
    """
    change_id = arguments.change_id or f"change-{uuid.uuid4().hex}"
    started_at = time.monotonic()
    answer = await client.async_send(_api_request(request, change_id, arguments))
    if answer.is_error():
        return Error(_with_change_id(answer.error, change_id))
    document = dict(answer.ok)
    document["accepted_after_s"] = round(time.monotonic() - started_at, 3)
    if not wait:
        return Ok(CommandOutput(document=document))
    revision = document.get("change", document)["revision"]
    waited = await async_wait_in_force(
        client, revision, started_at, arguments.wait_timeout
    )
    if waited.is_error():
        document["in_force"] = {"unknown": waited.error.text}
        return Ok(CommandOutput(document=document, exit_code=ExitCode.NOT_IN_FORCE))
    document["in_force"] = waited.ok
    complete = not waited.ok["missing"]
    exit_code = ExitCode.OK if complete else ExitCode.NOT_IN_FORCE
    return Ok(CommandOutput(document=document, exit_code=exit_code))


async def async_wait_in_force(
    client: ApiClient, revision: int, started_at: float, timeout_s: float
) -> Result[dict[str, Any], CommandFailure]:
    """Wait until a revision is in force on every reachable instance.

    :param client: Client of the administration API.
    :param revision: The revision.
    :param started_at: Monotonic time at which the change was sent, in seconds.
    :param timeout_s: Seconds to wait.
    :return: On which instances it is in force, since when, and which lack it.
    """
    after_s_by_instance: dict[str, float] = {}
    async for _ in async_polls():
        answer = await client.async_read("/v1/instances")
        if answer.is_error():
            return Error(answer.error)
        elapsed_s = round(time.monotonic() - started_at, 3)
        instances = answer.ok["instances"]
        for instance in instances:
            if instance["revision"] >= revision and instance["state"] != STATE_LOST:
                after_s_by_instance.setdefault(instance["id"], elapsed_s)
        missing = [
            instance["id"]
            for instance in instances
            if instance["revision"] < revision and instance["state"] != STATE_LOST
        ]
        if (instances and not missing) or elapsed_s > timeout_s:
            break
    document = {
        "revision": revision,
        "took_s": max(after_s_by_instance.values(), default=None),
        "missing": missing,
        "lost": [i["id"] for i in instances if i["state"] == STATE_LOST],
        "instances": [
            {"id": id, "after_s": after_s}
            for id, after_s in sorted(after_s_by_instance.items())
        ],
    }
    return Ok(document)


def _api_request(
    request: ChangeRequest, change_id: str, arguments: argparse.Namespace
) -> ApiRequest:
    query = {
        "change_id": change_id,
        "base_revision": str(request.base_revision),
        "summary": arguments.summary,
    }
    if request.revision is not None:
        query["revision"] = str(request.revision)
    return ApiRequest(
        method=request.method, path=request.path, query=query, body=request.body
    )


def _with_change_id(failure: CommandFailure, change_id: str) -> CommandFailure:
    text = f"{failure.text}; change id {change_id}"
    if failure.exit_code is ExitCode.UNKNOWN_OUTCOME:
        text += f"; ask with: mothshunt change show {change_id}"
    return CommandFailure(
        exit_code=failure.exit_code,
        text=text,
        document={**failure.document, "change_id": change_id},
    )
