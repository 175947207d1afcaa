"""Steps for the command line."""

import asyncio
import json
import os
import shlex
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from mothshunt.configuration.messages import Change
from mothshunt.configuration.model import ItemKey, Section
from tests.support import contracts
from tests.support.admin_deployment import AdminDeployment
from tests.support.answer_dropper import AnswerDropper

COMMAND_TIMEOUT_S = 120


@given("a command line whose deployment has one control instance")
def deployment(context):
    context.admin = AdminDeployment(context.stack)
    context.admin_port = context.admin.start()
    context.addresses = [f"http://127.0.0.1:{context.admin_port}"]
    context.token = context.admin.token
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.folder = Path(folder)
    write(context, "rackhaven.json", contracts.rackhaven())
    write(
        context,
        "smaller-cap.json",
        {**contracts.rackhaven(), "shift": {"cap": 50, "step": 10}},
    )
    write(context, "sleman.json", contracts.sleman())
    write(context, "faulty.json", {**contracts.rackhaven(), "shift": {"cap": 999}})
    (context.folder / "no-json.json").write_text("{")


def write(context, name, document):
    (context.folder / name).write_text(json.dumps(document))


@given("the first address of the command line takes no connection")
def unreachable_first(context):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    context.addresses.insert(0, f"http://127.0.0.1:{port}")


@given("two addresses of the command line take requests and never answer")
def silent_addresses(context):
    context.unanswered = 0

    async def async_keep(reader, writer):
        context.unanswered += 1
        await reader.read()
        writer.close()

    loop = context.admin.loop
    server = loop.run(asyncio.start_server(async_keep, "127.0.0.1", 0))
    context.stack.callback(lambda: loop.call(server.close))
    port = server.sockets[0].getsockname()[1]
    context.addresses = [f"http://127.0.0.1:{port}", f"http://127.0.0.1:{port}/"]


@then("{count:d} request was taken and not answered")
def requests_unanswered(context, count):
    assert context.unanswered == count, context.unanswered


@given("only the address that takes no connection is known")
def only_unreachable(context):
    unreachable_first(context)
    del context.addresses[1:]


@given("the answers to the first {count:d} {method} requests are lost")
def answers_lost(context, count, method, replaced=None):
    context.dropper = AnswerDropper(context.admin_port, method, count, replaced)
    context.admin.loop.run(context.dropper.async_start())
    context.stack.callback(lambda: context.admin.loop.run(context.dropper.async_stop()))
    context.addresses = [f"http://127.0.0.1:{context.dropper.port}"]


@given('the first answer to a {method} request has "{invalid}" in place of "{valid}"')
def answer_altered(context, method, invalid, valid):
    answers_lost(context, 1, method, (valid.encode(), invalid.encode()))


@given("the operator of the command line is removed after the first change")
def operator_removed_after_change(context):
    run(context, "operators set budi --grant *=change --output json")
    context.token = json.loads(context.done.stdout)["token"]
    # The set was sent through the dropper as well; drop the next answer instead.
    context.dropper.drop_next(1)
    context.admin.log.after_proposal = lambda: remove_operator(context, "budi")


def remove_operator(context, name):
    context.admin.log.after_proposal = lambda: None
    key = ItemKey(section=Section.OPERATOR, name=name)
    change = Change(
        change_id="removal",
        operator="bootstrap",
        key=key,
        base_revision=context.admin.state.store.revision_of(key),
        value=None,
        summary="",
        made_at_unix_ms=0,
    )
    context.admin.log.index += 1
    context.admin.state.apply(context.admin.log.index, change)


@given('the token of the command line is "{token}"')
def token_of_command(context, token):
    context.token = token


@given('the command line\'s instance "{name}" reports revision {revision:d}')
def instance_reports(context, name, revision):
    context.admin.status.revision_by_id[name] = revision


@given("the control instance of the command line has no majority")
def no_majority(context):
    context.admin.log.failing = True


@given("the control instance of the command line never hears of commits")
def commits_unheard(context):
    context.admin.log.losing = True


@given('"mothshunt {arguments}" was run')
def was_run(context, arguments):
    run(context, arguments)
    exits(context, 0)


@given("a traffic address that answers look-ups with {text}")
def traffic_address(context, text):
    context.lookup_paths = []

    async def async_answer(reader, writer):
        request = await reader.readuntil(b"\r\n\r\n")
        context.lookup_paths.append(request.split(b" ")[1].decode())
        body = text.encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        writer.close()

    loop = context.admin.loop
    server = loop.run(asyncio.start_server(async_answer, "127.0.0.1", 0))
    context.stack.callback(lambda: loop.call(server.close))
    context.traffic = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@when("the command line uses the token that was printed")
def uses_printed_token(context):
    context.token = json.loads(context.done.stdout)["token"]


@when("the command line uses the token of the bootstrap administrator")
def uses_bootstrap_token(context):
    context.token = context.admin.token


@then('the look-up asked for "{query}"')
def lookup_asked(context, query):
    assert context.lookup_paths == [f"/v1/lookup?{query}"], context.lookup_paths


@when('"mothshunt {arguments}" is run')
def run(context, arguments):
    arguments = arguments.replace("$TRAFFIC", getattr(context, "traffic", ""))
    environment = {
        **os.environ,
        "MOTHSHUNT_ADMIN": ",".join(context.addresses),
        "MOTHSHUNT_TOKEN": context.token,
        "PYTHONPATH": str(Path.cwd()),
    }
    done = subprocess.run(
        [sys.executable, "-m", "mothshunt.cli.main", *shlex.split(arguments)],
        cwd=context.folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    context.done = done


@then("the command exits with {code:d}")
def exits(context, code):
    done = context.done
    assert done.returncode == code, (done.returncode, done.stdout, done.stderr)


@then('the command prints "{text}"')
def prints(context, text):
    assert text in context.done.stdout, context.done


@then("the command prints nothing")
def prints_nothing(context):
    assert context.done.stdout == "", context.done


@then('the command complains "{text}"')
def complains(context, text):
    assert text in context.done.stderr, context.done


@then('the command\'s JSON has "{field}" {value}')
def json_field(context, field, value):
    found = json.loads(context.done.stdout)
    for part in field.split("."):
        found = found[int(part)] if part.isdigit() else found[part]
    assert str(found) == value.strip('"'), context.done.stdout


@then("{count:d} changes of the command line were accepted")
def accepted(context, count):
    assert len(context.admin.state.audit) == count


@then("the control instance was sent {count:d} copies of one change")
def copies(context, count):
    submissions = context.admin.log.proposals
    ids = {change.change_id for change in submissions}
    assert (len(submissions), len(ids)) == (count, 1), submissions
