"""Run one measurement; its last line is one JSON object.

Usage: ``python -m bench NAME [--quick]``.
"""

import argparse
import importlib
import json
import sys


def main() -> int:
    """Run the named measurement and print its result."""
    parser = argparse.ArgumentParser(prog="script/bench", description=__doc__)
    parser.add_argument("name", help="module of the package bench")
    parser.add_argument("--quick", action="store_true", help="end within 45 s")
    arguments = parser.parse_args()
    if not arguments.name.isidentifier():
        parser.error(f"no measurement is called {arguments.name}")
    try:
        module = importlib.import_module(f"bench.{arguments.name}")
    except ModuleNotFoundError as error:
        if error.name != f"bench.{arguments.name}":
            raise
        parser.error(f"no measurement is called {arguments.name}")
    if not hasattr(module, "run"):
        parser.error(f"no measurement is called {arguments.name}")
    print(json.dumps(module.run(quick=arguments.quick)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
