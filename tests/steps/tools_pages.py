"""Steps for the pages that are made from the code."""

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when


def generate(context, *options):
    command = [sys.executable, "-m", "tools.generate_docs"]
    command += ["--folder", str(context.pages), *options]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@given("an empty folder for generated pages")
def empty_folder(context):
    context.pages = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))


@when("the generated pages are written")
def pages_are_written(context):
    assert generate(context).returncode == 0


@when('a line of "{name}" is changed by hand')
def page_is_changed(context, name):
    page = context.pages / name
    page.write_text(page.read_text() + "One line more.\n")


@then("the check of the generated pages passes")
def check_passes(context):
    done = generate(context, "--check")
    assert done.returncode == 0, done.stdout


@then('the check of the generated pages fails on "{name}"')
def check_fails(context, name):
    done = generate(context, "--check")
    assert done.returncode == 1, done.stdout
    assert name in done.stdout, done.stdout


@then('"{name}" has the row {row}')
def page_has_row(context, name, row):
    assert row in (context.pages / name).read_text().splitlines(), row
