"""Write the pages that are made from the code, or check that they are up to date.

Usage: ``python -m tools.generate_docs [--check] [--folder docs]``.
"""

import argparse
import sys
from pathlib import Path

from mothshunt.admin.catalog import repeated_codes
from tools.code_pages import result_codes_page
from tools.key_pages import configuration_page
from tools.log_pages import log_lines_page

PAGE_BY_NAME = {
    "RESULT_CODES.md": result_codes_page,
    "CONFIGURATION.md": configuration_page,
    "LOG_LINES.md": log_lines_page,
}


def write_pages(folder: Path) -> None:
    """Write every page.

    :param folder: Where to.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for name, make_page in PAGE_BY_NAME.items():
        (folder / name).write_text(make_page())


def outdated_pages(folder: Path) -> list[str]:
    """Return the names of the pages that differ from the code.

    :param folder: Where the pages are.
    """
    return [
        name
        for name, make_page in PAGE_BY_NAME.items()
        if not (folder / name).exists() or (folder / name).read_text() != make_page()
    ]


def main() -> int:
    """Write or check the pages; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing")
    parser.add_argument("--folder", type=Path, default=Path("docs"))
    arguments = parser.parse_args()
    repeated = repeated_codes()
    if repeated:
        print(f"result codes are given twice: {', '.join(repeated)}")
        return 1
    if not arguments.check:
        write_pages(arguments.folder)
        return 0
    outdated = outdated_pages(arguments.folder)
    for name in outdated:
        print(f"{arguments.folder / name} is out of date; run script/generate_docs")
    return 1 if outdated else 0


if __name__ == "__main__":
    sys.exit(main())
