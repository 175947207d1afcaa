"""What callers of all instances lost over a span of time, summed from log lines."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from mothshunt.cli.log_lines import LogBook, LogLine, clock_offsets, in_order

#: Lines on requests; what is left out of them under load is told by a line each second.
TEXT_REFUSED = "refused"
TEXT_ANSWERED = "answered"
TEXT_BROKEN_OFF = "answer broken off"
TEXT_LEFT_OUT = "lines were left out"
#: Why an answer was late, by what its target knew and the attempts that it took.
REASON_FURTHER_ATTEMPT = "late: a further attempt"
REASON_UNKNOWN_OBJECT = "late: object unknown to its target"
REASON_WAITED = "late: waited behind others"
REASON_SLOW = "late: target slower than usual"
#: Any route, where the lines that were left out tell none.
ANY_ROUTE = "any"


@dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """Name what requests of one route lost in one step of time.

    :param step: Number of the step, counted from the first line.
    :param route: The route.
    :param reason: Why they were refused, failed or late.
    """

    step: int
    route: str
    reason: str


def sum_up(book: LogBook, step_s: float, *, by_instance: bool) -> dict[str, Any] | None:
    """Return what was lost, by step of time; ``None`` where no line tells of a request.

    Each instance writes so many lines a second at most. Those that were left out are
    counted in rows of their own, by text.

    :param book: Lines of all instances.
    :param step_s: Length of a step, in seconds.
    :param by_instance: Whether the rows tell the instance in place of the route.
    :return: JSON document; times in seconds from the first line.
    """
    ordered = list(in_order(book.lines, clock_offsets(book.lines)))
    if not ordered:
        return None
    began_at = ordered[0][0]
    counts: Counter[Loss] = Counter()
    for at, line in ordered:
        for reason, count in _reasons(line):
            place = str(line.fields.get("route", ANY_ROUTE))
            if by_instance:
                place = line.instance
            step = int((at - began_at) / step_s)
            counts[Loss(step=step, route=place, reason=reason)] += count
    return {
        "bad_lines": book.bad_lines,
        "totals": _totals(counts),
        "losses": list(_rows(counts, step_s, by_instance=by_instance)),
    }


def _reasons(line: LogLine) -> Iterator[tuple[str, int]]:
    fields = line.fields
    if line.text == TEXT_REFUSED:
        outcome = "refused" if fields.get("ran") == "no" else "failed"
        yield f"{outcome}: {fields.get('code_name')}", 1
    elif line.text == TEXT_BROKEN_OFF:
        yield f"failed: {TEXT_BROKEN_OFF}", 1
    elif line.text == TEXT_ANSWERED and fields.get("is_late"):
        yield _late_reason(fields), 1
    elif line.text == TEXT_LEFT_OUT and isinstance(fields.get("lines"), dict):
        for text, count in fields["lines"].items():
            if isinstance(count, int):
                yield f"not told: {text}", count


def _late_reason(fields: Mapping[str, Any]) -> str:
    if fields.get("attempts", 1) > 1:
        return REASON_FURTHER_ATTEMPT
    if not fields.get("known"):
        return REASON_UNKNOWN_OBJECT
    # The request itself is counted.
    return REASON_WAITED if fields.get("load", 0) > 1 else REASON_SLOW


def _totals(counts: Mapping[Loss, int]) -> list[dict[str, Any]]:
    by_reason: Counter[str] = Counter()
    for loss, count in counts.items():
        by_reason[loss.reason] += count
    return [
        {"reason": reason, "requests": count}
        for reason, count in sorted(by_reason.items(), key=lambda item: -item[1])
    ]


def _rows(
    counts: Mapping[Loss, int], step_s: float, *, by_instance: bool
) -> Iterator[dict[str, Any]]:
    place = "instance" if by_instance else "route"
    ordered = sorted(counts.items(), key=lambda i: (i[0].step, -i[1], i[0].reason))
    for loss, count in ordered:
        yield {
            "from_s": round(loss.step * step_s, 3),
            place: loss.route,
            "reason": loss.reason,
            "requests": count,
        }
