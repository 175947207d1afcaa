"""Steps for the deployment that script/run --routed runs."""

import os
import re
import signal
import tempfile
import urllib.error
import urllib.request
from pathlib import Path

from behave import then, when

from testkit.process import ManagedProcess, wait_until
from testkit.routed_deployment import CALLERS_HOST

START_S = 60.0
TELL_S = 10.0
STOP_S = 60.0


@when("a routed deployment is run by the script")
def run(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.script = ManagedProcess(
        name="script",
        module="testkit.run",
        arguments=["--routed"],
        log_path=Path(folder) / "script.log",
    )
    context.script.start()
    context.stack.callback(context.script.kill)
    wait_until(lambda: "stop with" in output(context), START_S, "it is running")


def output(context):
    path = context.script.log_path
    return path.read_text() if path.exists() else ""


@then("its first entry instance answers a read with {status:d}")
def reads(context, status):
    url = re.search(r"http://\S+/stock/7", output(context)).group()
    request = urllib.request.Request(url, headers={"Host": CALLERS_HOST})

    def answered():
        # The configuration is in force at the entry a moment after it was accepted.
        try:
            with urllib.request.urlopen(request, timeout=TELL_S) as answer:
                return answer.status == status
        except urllib.error.HTTPError:
            return False

    wait_until(answered, TELL_S, "a read is answered")


@when("it is told to have a target hang and another one replaced")
def told(context):
    pid = int(re.search(r"kill -USR1 (\d+)", output(context)).group(1))
    for number in (signal.SIGUSR1, signal.SIGUSR2):
        os.kill(pid, number)


@then("it tells of both")
def tells(context):
    lines = ("target-1 answers nothing", "at the address of target-2")
    wait_until(
        lambda: all(line in output(context) for line in lines), TELL_S, "it tells"
    )


@then("it stops with exit code {code:d}")
def stops(context, code):
    context.script.terminate()
    assert context.script.wait(STOP_S) == code, output(context)
