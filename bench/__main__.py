"""Run one measurement; its last line is one JSON object.

Usage: ``python -m bench NAME [FILE] [--quick]``.
"""

import argparse
import importlib
import inspect
import json
import sys


def main() -> int:
    """Run the named measurement and print its result."""
    parser = argparse.ArgumentParser(prog="script/bench", description=__doc__)
    parser.add_argument("name", help="module of the package bench")
    parser.add_argument("file", nargs="?", help="file that the measurement reads")
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
    options = {"quick": arguments.quick}
    if arguments.file is not None:
        if "file" not in inspect.signature(module.run).parameters:
            parser.error(f"{arguments.name} reads no file")
        options["file"] = arguments.file
    print(json.dumps(module.run(**options)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
