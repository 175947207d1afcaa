"""Steps for the tour that script/run --once makes."""

import subprocess
import sys

from behave import then, when

TOUR_S = 300
#: One start, seven steps for each of two customers, one stop.
STEPS = 16


@when("the tour is made")
def tour(context):
    context.done = subprocess.run(
        [sys.executable, "-m", "testkit.run", "--once"],
        capture_output=True,
        text=True,
        check=False,
        timeout=TOUR_S,
    )


@then("each of its steps is right")
def right(context):
    lines = context.done.stdout.splitlines()
    right = [line for line in lines if line.startswith("ok ")]
    assert context.done.returncode == 0, context.done.stdout + context.done.stderr
    assert len(right) == STEPS, context.done.stdout
