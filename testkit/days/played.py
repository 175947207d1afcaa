"""What was played on the users' bench, read from the journal."""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import combinations
from pathlib import Path
from typing import Any

COMMIT_LENGTH = 7


@dataclass(frozen=True, kw_only=True, slots=True)
class PlayedDay:
    """Hold one day that was played.

    :param site: Name of the deployment.
    :param name: Name of the day.
    :param commit: Short name of the commit that was played.
    :param is_clean: Whether the files were those of the commit.
    :param played_at: Name of the journal's entry, which begins with the time.
    :param call: What the bench was asked for.
    :param worth: Worth of the day.
    :param kinds: Kinds of trouble that struck, sorted.
    :param broken: Rules that were broken, and a fault of the day, sorted.
    """

    site: str
    name: str
    commit: str
    is_clean: bool
    played_at: str
    call: str
    worth: float
    kinds: tuple[str, ...]
    broken: tuple[str, ...]


def read_journal(folder: Path) -> tuple[PlayedDay, ...]:
    """Read all days of a journal, oldest first.

    Runs that did not finish have none. An entry that can't be read is an error: what
    was played must not look as if it had not been.

    :param folder: The journal.
    :raises ValueError: An entry is no JSON document of the known form.
    """
    days: list[PlayedDay] = []
    for path in sorted(folder.glob("*.json")):
        try:
            days += _days_of(path.stem, json.loads(path.read_bytes()))
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"{path.name}: {error!r}") from error
    return tuple(days)


def _days_of(played_at: str, entry: dict[str, Any]) -> Iterator[PlayedDay]:
    for day in entry["days"] or ():
        fault = day.get("fault")
        yield PlayedDay(
            site=entry["site"] or "",
            name=day["name"],
            commit=entry["head"][:COMMIT_LENGTH],
            is_clean=not entry["dirty"],
            played_at=played_at,
            call=entry["cmd"],
            worth=float(day["G"]),
            kinds=tuple(sorted(set(day["troubles"]))),
            broken=tuple(sorted([*day["rules"], *([str(fault)] if fault else [])])),
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Coverage:
    """Tell how often something struck, and with what end.

    :param days: Days on which it struck.
    :param broken: Days of these on which a rule was broken.
    :param last: Commit that was played last.
    """

    days: int
    broken: int
    last: str


def coverage_by_kind(days: Iterable[PlayedDay]) -> dict[tuple[str, str], Coverage]:
    """Return how often each kind struck, by site and kind.

    :param days: Days, oldest first.
    """
    return _coverage((day, (day.site, kind)) for day in days for kind in day.kinds)


def coverage_by_pair(days: Iterable[PlayedDay]) -> dict[tuple[str, str], Coverage]:
    """Return how often each two kinds struck on the same day, on any site.

    :param days: Days, oldest first.
    """
    return _coverage((day, pair) for day in days for pair in combinations(day.kinds, 2))


def _coverage(
    struck: Iterable[tuple[PlayedDay, tuple[str, str]]],
) -> dict[tuple[str, str], Coverage]:
    days_by_key: dict[tuple[str, str], list[PlayedDay]] = defaultdict(list)
    for day, key in struck:
        days_by_key[key].append(day)
    return {
        key: Coverage(
            days=len(found),
            broken=sum(1 for day in found if day.broken),
            last=found[-1].commit,
        )
        for key, found in days_by_key.items()
    }


def missing_pairs(days: Iterable[PlayedDay]) -> list[tuple[str, str]]:
    """Return the pairs of kinds that were played, but never on the same day.

    :param days: Days.
    """
    days = list(days)
    kinds = sorted({kind for day in days for kind in day.kinds})
    played = coverage_by_pair(days)
    return [pair for pair in combinations(kinds, 2) if pair not in played]


def standard_worth(
    days: Iterable[PlayedDay],
) -> dict[tuple[str, str], tuple[PlayedDay, PlayedDay]]:
    """Return the first and the newest play of each day of a score, by site and day.

    :param days: Days, oldest first.
    """
    first_and_last: dict[tuple[str, str], tuple[PlayedDay, PlayedDay]] = {}
    for day in days:
        if day.call != "score":
            continue
        key = (day.site, day.name)
        first, _ = first_and_last.get(key, (day, day))
        first_and_last[key] = (first, day)
    return first_and_last
