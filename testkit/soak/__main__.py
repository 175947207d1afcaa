"""Run the soak: ``script/soak [--seeds N] [--first SEED] [--seconds S]``."""

import argparse
import sys
import time
from pathlib import Path

from testkit.soak.soak import Soak

DEFAULT_SECONDS = 20.0


def main() -> int:
    """Run the seeds, print a line of JSON for each; return the exit code."""
    parser = argparse.ArgumentParser(prog="script/soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="seeds to run")
    parser.add_argument(
        "--first", type=int, default=None, help="first seed; the time by default"
    )
    parser.add_argument(
        "--seconds", type=float, default=DEFAULT_SECONDS, help="length of each"
    )
    parser.add_argument(
        "--keep", type=Path, default=None, help="folder for the logs of those that fail"
    )
    options = parser.parse_args()
    first = int(time.time()) if options.first is None else options.first
    failed = 0
    for seed in range(first, first + options.seeds):
        report = Soak(seed, options.seconds, options.keep).run()
        failed += bool(report.violations)
        print(report.text(), flush=True)
    print(f"{options.seeds - failed} seeds passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
