"""Steps for the check of a file of routing items."""

import json
import re
import tempfile
from pathlib import Path

from behave import given, then

from tests.steps.cli_commands import write
from tests.support.admin_deployment import ask


def good_file():
    """Return a file without findings; its keys begin with ``secret``."""
    route = {
        "version": 1,
        "host": "shop.example",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 100,
        "home_regions": ["north"],
    }
    stock, spare = {"service": "stock"}, {"service": "spare"}
    document = {
        "services": [{"name": name, "version": 1} for name in ("stock", "spare")],
        "routes": [
            {**route, "name": "r", "path_prefix": "/r/", "services": [stock]},
            {**route, "name": "other", "path_prefix": "/", "services": [stock, spare]},
        ],
        "workspaces": [
            {"name": "florist", "version": 1, "keys": ["secret-key"]},
            {"name": "baker", "version": 1, "keys": ["secret-2"]},
        ],
    }
    # A copy without shared parts, so that each can be changed alone.
    return json.loads(json.dumps(document))


@given("a good file of routing items")
def given_good_file(context):
    write_file(context, good_file())


@given("a good file of routing items, but with {values}")
def given_file(context, values):
    document = good_file()
    for value in re.split(r", (?=/)", values):
        path, text = value.split("=", 1)
        *parents, member = path.split("/")[1:]
        place = document
        for part in parents:
            place = place[int(part)] if isinstance(place, list) else place[part]
        if isinstance(place, list):
            place[int(member) : int(member) + 1] = [json.loads(text)]
        else:
            place[member] = json.loads(text)
    write_file(context, document)


@given("a file of routing items that is no JSON")
def given_no_json(context):
    write_file(context, {})
    (context.folder / "file.json").write_text("{")


@given('a target with {slots:d} slot in region "{region}" serves "{service}"')
def target_serves(context, slots, region, service):
    renewal = {
        "target": "target-1",
        "incarnation": 1,
        "sequence": 1,
        "service": service,
        "host": "127.0.0.1",
        "port": 8080,
        "region": region,
        "availability_zone": f"{region}-a",
        "slots": slots,
    }
    status, _, answer = ask(
        context.admin_port, "POST", "/v1/targets", None, renewal, None
    )
    assert status == 200, answer


@then("the check finds {findings}")
def check_finds(context, findings):
    found = json.loads(context.done.stdout)["findings"]
    texts = sorted(f"{finding['path']} {finding['code']}" for finding in found)
    assert texts == sorted(findings.split(", ")), context.done.stdout


@then("the check's differences are {differences}")
def check_differences(context, differences):
    texts = [
        " ".join((row["item"], row["change"], *row["fields"]))
        + ("" if row["takes_effect"] else " without effect")
        for row in json.loads(context.done.stdout)["differences"]
    ]
    assert texts == differences.split(", "), context.done.stdout


@then("the command prints no key")
def prints_no_key(context):
    assert "secret" not in context.done.stdout + context.done.stderr, context.done


def write_file(context, document):
    if "folder" not in context:
        folder = context.stack.enter_context(tempfile.TemporaryDirectory())
        context.folder = Path(folder)
        context.addresses, context.token = [], ""
    write(context, "file.json", document)
