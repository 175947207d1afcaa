"""Run a deployment on loopback with stand-in targets, or make a tour of it."""

import argparse
import signal
import sys
import threading

from testkit.command_line import CLI_MODULE
from testkit.contracts import CUSTOMERS
from testkit.deployment import BOOTSTRAP_TOKEN
from testkit.environment import Environment
from testkit.profiles import PROFILES_BY_CUSTOMER, thin_targets
from testkit.routed_run import serve_routed
from testkit.shape import today
from testkit.tour import Tour


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="script/run", description=__doc__)
    parser.add_argument(
        "--once",
        action="store_true",
        help="make a tour, print a line a step, exit with 0 only if all was right",
    )
    parser.add_argument(
        "--routed",
        action="store_true",
        help="run a deployment that routes by hosts and path prefixes",
    )
    options = parser.parse_args()
    # Closes the environment, as an interrupt does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    if options.routed:
        return serve_routed()
    with Environment(today()) as environment:
        if options.once:
            return Tour(environment).run()
        return _serve(environment)


def _serve(environment: Environment) -> int:
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    print("starting", flush=True)
    environment.deployment.start()
    for customer in CUSTOMERS:
        environment.apply_contract(customer)
        profiles = PROFILES_BY_CUSTOMER[customer]
        targets = [target for item in profiles for target in thin_targets(item)]
        environment.fleet.add(customer, targets)
    _print_usage(environment)
    stopped.wait()
    print("stopping", flush=True)
    exit_codes = environment.deployment.stop() | environment.fleet.stop()
    return 0 if set(exit_codes.values()) == {0} else 1


def _print_usage(environment: Environment) -> None:
    control = [item.admin_url for item in environment.deployment.control_instances]
    entry = environment.deployment.entry_instances[0].traffic_url
    print(
        f"""
running; logs are in {environment.deployment.folder}

which entries to use:
  curl '{entry}/v1/lookup?customer=rackhaven&service=cabinet-status&client=10.0.0.1'
a read through one of them:
  curl '{entry}/v1/services/rackhaven/cabinet-status/cabinets/7'
a booking:
  curl -X POST -H 'Idempotency-Key: order-1' -d '{{}}' \\
    '{entry}/v1/services/sleman/tray-reservation/reservations'
operators:
  export MOTHSHUNT_ADMIN={",".join(control)}
  export MOTHSHUNT_TOKEN={BOOTSTRAP_TOKEN}
  .venv/bin/python -m {CLI_MODULE} status

stop with Ctrl-C""",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(main())
