"""Steps for days of the users' bench."""

import contextlib
import io
import itertools
import json
import tempfile
import tomllib
from pathlib import Path

from behave import given, then, when

from testkit.days.__main__ import main
from testkit.days.draw import day_text, draw_day
from testkit.days.kinds import Kind, read_kinds

KINDS = "burst: more callers\nrelease: targets are replaced; how: fast slow\n"


def run(context, *words):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.exit_code = main(list(words))
    context.out, context.err = out.getvalue(), err.getvalue()


def folder(context) -> Path:
    if not hasattr(context, "folder"):
        context.folder = Path(
            context.stack.enter_context(tempfile.TemporaryDirectory())
        )
    return context.folder


@when("these kinds are read:")
def read(context):
    context.kinds = read_kinds(context.text)


@then("the kinds are:")
def kinds_are(context):
    wanted = [(row["kind"], row["variants"]) for row in context.table.rows]
    found = [(kind.name, ", ".join(kind.variants)) for kind in context.kinds]
    assert found == wanted, found


def draw(context, text, *kinds):
    path = folder(context) / "kinds.txt"
    path.write_text(text)
    run(context, "draw", str(path), *kinds, "--seed", "1")


@when('"script/days draw" is given a list without kinds')
def without_kinds(context):
    draw(context, "Nothing may come here.\n", "burst")


@when('"script/days draw" is asked for the kind "{kind}"')
def asked_for(context, kind):
    draw(context, KINDS, kind)


@then('it exits with {code:d} and says "{text}"')
def exits(context, code, text):
    assert context.exit_code == code, (context.exit_code, context.err)
    assert text in context.err, context.err


@then(
    "{count:d} drawn days of {kinds:d} kinds are as they should be, "
    "and can be read as TOML"
)
def drawn(context, count, kinds):
    wanted = [Kind(name=f"kind_{n}", variants=("a", "b")) for n in range(kinds)]
    variants = set()
    for seed in range(count):
        troubles = draw_day(wanted, seed)
        assert troubles == draw_day(wanted, seed)
        assert [trouble.kind for trouble in troubles] == [k.name for k in wanted]
        for before, after in itertools.pairwise(troubles):
            assert before.overlaps(after), (seed, before, after)
        (day,) = tomllib.loads(day_text("drawn", seed, troubles))["day"]
        assert [fault["kind"] for fault in day["faults"]] == [k.name for k in wanted]
        variants |= {trouble.how for trouble in troubles}
    assert variants == {"", "a", "b"}, variants


@given("a journal with these days:")
def journal(context):
    for number, row in enumerate(context.table.rows):
        day = {
            "name": row["day"],
            "G": float(row["worth"]),
            "troubles": row["kinds"].split(", "),
            "rules": {row["broken"]: 1} if row["broken"] else {},
            "fault": None,
        }
        write(context, f"{number:04d}", row, [day])


def write(context, name, row, days):
    entry = {
        "cmd": row["call"],
        "site": row["site"],
        "head": row["commit"] * 5,
        "dirty": False,
        "days": days,
    }
    path = folder(context) / f"{name}.json"
    path.write_text(json.dumps(entry))


@given("a journal entry of a run that did not finish")
def unfinished(context):
    row = {"call": "score", "site": None, "commit": "ddddddd"}
    write(context, "9999", row, None)


@given("a journal with an entry that is cut short")
def cut_short(context):
    (folder(context) / "0000-cut.json").write_text('{"cmd": "score", "da')


@when('"script/days {words}" reads it')
def reads(context, words):
    run(context, *words.split(), "--journal", str(folder(context)))


@then('"script/days {words}" tells:')
def tells(context, words):
    reads(context, words)
    assert context.exit_code == 0, context.err
    rows = context.out.splitlines()[2:]
    assert rows == context.text.splitlines(), rows
