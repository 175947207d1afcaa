"""The story of one request, told from log lines."""

from collections.abc import Iterator, Mapping
from typing import Any

from mothshunt.cli.log_lines import LogBook, LogLine, clock_offsets, in_order
from mothshunt.core.types import InstanceId

MILLISECONDS_PER_SECOND = 1000
#: Lines about a target of the request that are shown from before its first line and
#: after its last, in seconds: some renewal intervals.
AROUND_S = 10.0
#: What an instance believes of itself; the last such line before a decision is shown.
OWN_BELIEFS = ("configuration in force", "attached", "detached", "leaving")
TARGET_LINES = ("target believed", "target changed", "target retires")


def tell(book: LogBook, request_id: str) -> dict[str, Any] | None:
    """Return the story of a request; ``None`` where no line names it.

    :param book: Lines of all processes.
    :param request_id: Name of the request.
    """
    named = book.about_request(request_id)
    if not named:
        return None
    offsets = clock_offsets(book.lines)
    ordered = list(in_order(book.lines, offsets))
    told = [(at, line) for at, line in ordered if line in named]
    began_at = told[0][0]
    return {
        "request_id": request_id,
        "bad_lines": book.bad_lines,
        "clocks": [
            {
                "instance": instance,
                "ahead_ms": None if offset is None else _milliseconds(offset),
            }
            for instance, offset in sorted(offsets.items())
        ],
        "story": [_row(at - began_at, line) for at, line in told],
        "believed": list(_beliefs(ordered, told, began_at)),
        "targets": list(_target_lines(ordered, told, began_at)),
    }


def _row(after_s: float, line: LogLine, *hidden: str) -> dict[str, Any]:
    fields = (
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in {"request_id", *hidden}
    )
    return {
        "after_ms": _milliseconds(after_s),
        "instance": line.instance,
        "text": line.text,
        "fields": " ".join(fields),
    }


def _beliefs(
    ordered: list[tuple[float, LogLine]],
    told: list[tuple[float, LogLine]],
    began_at: float,
) -> Iterator[dict[str, Any]]:
    """Yield what each instance that decided on the request believed by then."""
    last_at: dict[InstanceId, float] = {line.instance: at for at, line in told}
    services = {line.fields.get("service") for _, line in told}
    shown: dict[tuple[InstanceId, str], tuple[float, LogLine]] = {}
    for at, line in ordered:
        decided_at = last_at.get(line.instance)
        if decided_at is None:
            continue
        key = (line.instance, line.text)
        if line.text in OWN_BELIEFS and at <= decided_at:
            shown[key] = (at, line)
        is_placement = line.text == "placement"
        # The first line after the decision is the one that counts it.
        is_counted = key in shown and shown[key][0] > decided_at
        is_theirs = is_placement and line.fields.get("service") in services
        if is_theirs and not is_counted:
            shown[key] = (at, line)
    for at, line in sorted(shown.values(), key=lambda pair: pair[0]):
        yield _row(at - began_at, line)


def _target_lines(
    ordered: list[tuple[float, LogLine]],
    told: list[tuple[float, LogLine]],
    began_at: float,
) -> Iterator[dict[str, Any]]:
    """Yield what all instances tell of the request's targets around that time."""
    targets = {line.fields.get("target") for _, line in told} - {None}
    addresses = _addresses(ordered, targets)
    ended_at = told[-1][0]
    for at, line in ordered:
        if line.text not in TARGET_LINES:
            continue
        is_theirs = line.fields.get("target") in targets
        # Another target may have taken over the address.
        is_at_theirs = line.fields.get("address") in addresses
        is_near = began_at - AROUND_S <= at <= ended_at + AROUND_S
        if is_near and (is_theirs or is_at_theirs):
            yield _row(at - began_at, line)


def _addresses(
    ordered: list[tuple[float, LogLine]], targets: set[Any]
) -> Mapping[str, Any]:
    return {
        line.fields["address"]: line.fields["target"]
        for _, line in ordered
        if line.text == "target changed" and line.fields.get("target") in targets
    }


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS_PER_SECOND)
