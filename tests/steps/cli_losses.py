"""Steps for losses that are summed up from logs."""

import contextlib
import io
import json
import tempfile
from datetime import UTC, datetime, timedelta
from pathlib import Path

from behave import given, then, when

from mothshunt.cli.main import build_parser, run

BEGAN_AT = datetime(2026, 1, 1, tzinfo=UTC)


def folder(context):
    return Path(context.stack.enter_context(tempfile.TemporaryDirectory()))


def read_fields(text):
    if text.startswith("lines="):
        return {"lines": json.loads(text.removeprefix("lines="))}
    pairs = (pair.split("=") for pair in text.split())
    return {name: parsed(found) for name, found in pairs}


def parsed(text):
    try:
        return json.loads(text)
    except ValueError:
        return text


@given("log lines of two instances:")
def log_lines(context):
    lines = []
    for row in context.table:
        at = BEGAN_AT + timedelta(seconds=float(row["after s"]))
        lines.append(
            json.dumps(
                {
                    "time": at.isoformat(),
                    "level": "info",
                    "instance": row["instance"],
                    "slice": "forwarding",
                    "text": row["text"],
                    **read_fields(row["fields"]),
                }
            )
        )
    context.file = folder(context) / "log"
    context.file.write_text("\n".join(lines))


@given("a log of {count:d} lines that can't be read")
def bad_log(context, count):
    context.file = folder(context) / "log"
    context.file.write_text("no line of ours\n" * count)


@when('"mothshunt {words}" reads them')
def reads(context, words):
    command, *options = words.split()
    arguments = ["--output", "json", command, str(context.file), *options]
    out, complaints = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(complaints):
        try:
            parsed_arguments = build_parser().parse_args(arguments)
            context.exit_code = run(parsed_arguments)
        except SystemExit as error:
            context.exit_code = error.code
    context.complaints = complaints.getvalue()
    context.document = json.loads(out.getvalue()) if out.getvalue() else {}


@then("the losses are:")
def losses_are(context):
    assert context.exit_code == 0, context.complaints
    wanted = [
        {
            name.replace(" ", "_"): parsed(text)
            for name, text in zip(row.headings, row.cells, strict=True)
        }
        for row in context.table
    ]
    found = context.document["losses"]
    assert len(found) == len(wanted), found
    assert all(row in found for row in wanted), (found, wanted)


@then('in total {count:d} requests were lost by "{reason}"')
def total(context, count, reason):
    assert {"reason": reason, "requests": count} in context.document["totals"]


@then('the command exits with {code:d} and says "{text}"')
def exits(context, code, text):
    assert context.exit_code == code, (context.exit_code, context.complaints)
    assert text in context.complaints, context.complaints
