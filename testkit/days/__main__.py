"""Command line of ``script/days``."""

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from testkit.days.draw import day_text, draw_day
from testkit.days.kinds import Kind, UnreadableKindsError, read_kinds
from testkit.days.played import (
    PlayedDay,
    coverage_by_kind,
    coverage_by_pair,
    missing_pairs,
    read_journal,
    standard_worth,
)

JOURNAL = Path("journal")
EXIT_OK = 0
EXIT_BAD_INPUT = 2


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return the exit code.

    :param arguments: Arguments, without the program's name.
    """
    parsed = _parser().parse_args(arguments)
    try:
        for line in parsed.run(parsed):
            print(line)
    except (OSError, ValueError, UnreadableKindsError) as error:
        print(f"script/days: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return EXIT_OK


def _draw(parsed: argparse.Namespace) -> Iterator[str]:
    text = Path(parsed.kinds).read_text() if parsed.kinds != "-" else sys.stdin.read()
    kind_by_name = {kind.name: kind for kind in read_kinds(text)}
    unknown = [name for name in parsed.kind if name not in kind_by_name]
    if unknown:
        raise ValueError(f"the list names no kind {', '.join(unknown)}")
    kinds: list[Kind] = [kind_by_name[name] for name in parsed.kind]
    name = "-with-".join(kind.name.replace("_", "-") for kind in kinds)
    yield day_text(name, parsed.seed, draw_day(kinds, parsed.seed)).rstrip("\n")


def _days(parsed: argparse.Namespace) -> list[PlayedDay]:
    days = read_journal(Path(parsed.journal))
    return [day for day in days if parsed.site in ("", day.site)]


def _kinds(parsed: argparse.Namespace) -> Iterator[str]:
    yield "| site | kind | days | with a broken rule | last commit |"
    yield "|---|---|---|---|---|"
    for (site, kind), found in sorted(coverage_by_kind(_days(parsed)).items()):
        yield f"| {site} | {kind} | {found.days} | {found.broken} | {found.last} |"


def _pairs(parsed: argparse.Namespace) -> Iterator[str]:
    days = _days(parsed)
    yield "| kinds on one day | days | with a broken rule | last commit |"
    yield "|---|---|---|---|"
    for (one, other), found in sorted(coverage_by_pair(days).items()):
        row = f"| {found.days} | {found.broken} | {found.last} |"
        yield f"| {one}, {other} {row}"
    for one, other in missing_pairs(days):
        yield f"| {one}, {other} | 0 | 0 | - |"


def _worth(parsed: argparse.Namespace) -> Iterator[str]:
    yield "| site | day | first worth, commit | newest worth, commit |"
    yield "|---|---|---|---|"
    for (site, name), (first, last) in sorted(standard_worth(_days(parsed)).items()):
        yield (
            f"| {site} | {name} | {first.worth:.3f}, {first.commit} "
            f"| {last.worth:.3f}, {last.commit} |"
        )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="script/days", description="Draw days of the users' bench; tell of plays."
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    draw = commands.add_parser("draw", help="write a day with overlapping troubles")
    draw.add_argument("kinds", help="what `fleetbench kinds SITE` printed; - for stdin")
    draw.add_argument("kind", nargs="+", help="kinds of trouble, in their order")
    draw.add_argument("--seed", type=int, required=True)
    draw.set_defaults(run=_draw)
    tables = {
        "kinds": (_kinds, "kinds that struck, by site"),
        "pairs": (
            _pairs,
            "pairs of kinds that struck on one day, and those that never did",
        ),
        "worth": (_worth, "first and newest worth of the days of scores"),
    }
    for name, (run, text) in tables.items():
        table = commands.add_parser(name, help=text)
        table.add_argument(
            "--journal", default=str(JOURNAL), help="folder of the journal"
        )
        table.add_argument("--site", default="", help="only this deployment")
        table.set_defaults(run=run)
    return parser


if __name__ == "__main__":
    sys.exit(main())
