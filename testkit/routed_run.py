"""Run a routed deployment on loopback whose targets misbehave on a signal."""

import contextlib
import os
import signal
import threading

from testkit.command_line import CLI_MODULE
from testkit.deployment import BOOTSTRAP_TOKEN
from testkit.routed_deployment import (
    CALLERS_HOST,
    SERVICE,
    RoutedDeployment,
    routing_items,
)
from testkit.shape import small

TARGETS = 3
#: Slots and time of a request, in seconds: a dozen orders at once are too many.
SLOTS = 1
DELAY_S = 0.3
#: Time that a target hangs for, in seconds; far above the routes' timeouts.
HANG_S = 30.0
#: Time between two looks at whether a signal came, in seconds.
POLL_S = 0.1


def serve_routed() -> int:
    """Run until a signal to stop; return the exit code."""
    stopped, hangs, leaves = (threading.Event() for _ in range(3))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    signal.signal(signal.SIGUSR1, lambda *_: hangs.set())
    signal.signal(signal.SIGUSR2, lambda *_: leaves.set())
    with contextlib.ExitStack() as stack:
        print("starting", flush=True)
        routed = RoutedDeployment(stack, small())
        for _ in range(TARGETS):
            routed.add_target(SERVICE, delay_s=DELAY_S, slots=SLOTS)
        items = routed.write("items.json", routing_items(version=1))
        done = routed.command("routing", "apply", items)
        if done.returncode != 0:
            print(done.stderr, flush=True)
            return 1
        print(usage(routed), flush=True)
        while not stopped.wait(POLL_S):
            if hangs.is_set():
                hangs.clear()
                routed.targets[0].delay_s = HANG_S
                print("target-1 answers nothing", flush=True)
            if leaves.is_set():
                leaves.clear()
                routed.take_over_address(routed.targets[1])
                print("another target answers at the address of target-2", flush=True)
        print("stopping", flush=True)
        exit_codes = routed.deployment.stop()
    return 0 if set(exit_codes.values()) == {0} else 1


def usage(routed: RoutedDeployment) -> str:
    """Return how callers and operators reach a deployment.

    :param routed: The deployment.
    """
    entries = [routed.address(i) for i in routed.deployment.entry_instances]
    entry = entries[0]
    logs = " ".join(str(i.process.log_path) for i in routed.deployment.instances)
    return f"""
running; entry instances: {", ".join(entries)}
a read:
  curl -H 'Host: {CALLERS_HOST}' http://{entry}/stock/7
an order:
  curl -X POST -H 'Host: {CALLERS_HOST}' http://{entry}/orders/7
operators:
  export MOTHSHUNT_ADMIN={",".join(routed.urls)}
  export MOTHSHUNT_TOKEN={BOOTSTRAP_TOKEN}
  .venv/bin/python -m {CLI_MODULE} targets list
a target that answers nothing more, and one whose address another one takes over:
  kill -USR1 {os.getpid()}; kill -USR2 {os.getpid()}
what was decided on a request:
  .venv/bin/python -m {CLI_MODULE} explain ID {logs}

stop with Ctrl-C"""
