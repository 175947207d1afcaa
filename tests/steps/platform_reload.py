"""Steps for settings that change while a process runs."""

import asyncio
import os
import signal
import subprocess
import sys

from behave import then, when

from mothshunt.platform.main import EXIT_BAD_SETTINGS
from mothshunt.platform.names import ENV_SETTINGS

#: A seed of a documentation network on loopback, at which nobody listens.
NO_SEED = "127.255.255.1:8649"


def entry(context, number):
    return context.platform.entries[number - 1]


async def async_is_ready(context, number):
    ip = entry(context, number).ip
    status, _, _ = await context.platform.get(ip, 8640, "/-/readyz")
    return status == 200


@when("entry {number:d} starts again with a seed that nobody has")
def starts_without_seed(context, number):
    platform, process = context.platform, entry(context, number)
    platform.kill(process)
    platform.start(process, bootstrap=False, seeds=[NO_SEED])


@then("entry {number:d} is not ready for {seconds:d} s")
def not_ready_for(context, number, seconds):
    async def watch():
        for _ in range(seconds * 5):
            assert not await async_is_ready(context, number)
            await asyncio.sleep(0.2)

    context.platform.run(watch())


@when("the settings of entry {number:d} name the seeds again, {how}")
def names_seeds(context, number, how):
    platform, process = context.platform, entry(context, number)
    platform.write_settings(process)
    if how == "with SIGHUP":
        platform.kill(process, signal.SIGHUP)


@then("entry {number:d} is soon ready")
def soon_ready(context, number):
    platform = context.platform
    platform.run(platform.async_until(lambda: async_is_ready(context, number)))


@when("the settings of entry {number:d} become unreadable, with SIGHUP")
def unreadable(context, number):
    soon_ready(context, number)
    process = entry(context, number)
    (process.folder / "settings.json").write_text("{")
    context.platform.kill(process, signal.SIGHUP)


@then("entry {number:d} says why in its log")
def says_why(context, number):
    log = entry(context, number).folder / "log"

    async def told():
        return "settings" in log.read_text().split("ready")[-1]

    context.platform.run(context.platform.async_until(told))


#: Runs the program, and sends SIGHUP to it at the import of its main module.
SIGHUP_AT_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "mothshunt.platform.main":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, Finder())
runpy.run_module("mothshunt.platform", run_name="__main__")
"""


@when("the platform's program gets SIGHUP while it loads its modules, without settings")
def sighup_at_import(context):
    context.done = subprocess.run(
        [sys.executable, "-c", SIGHUP_AT_IMPORT],
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, ENV_SETTINGS: "/nonexistent"},
    )


@then("it ends because of its settings")
def bad_settings(context):
    assert context.done.returncode == EXIT_BAD_SETTINGS, context.done
