"""Log lines of any number of processes, brought into one order."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from statistics import median
from typing import Any

from mothshunt.core.types import InstanceId

#: Fields that all lines have.
COMMON_FIELDS = frozenset({"time", "level", "instance", "slice", "text"})
#: Lines that several instances write at about the same time, and what makes them one
#: event: they tell how far the times of day of the instances are apart.
SHARED_EVENTS: Mapping[str, tuple[str, ...]] = {
    "target changed": ("target", "incarnation", "sequence", "state"),
    "configuration in force": ("revision",),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """Hold one line.

    :param instance: Instance that wrote it.
    :param written_at: Time of day of that instance, in Unix seconds.
    :param text: What it tells of.
    :param fields: Its own fields.
    """

    instance: InstanceId
    written_at: float
    text: str
    fields: Mapping[str, Any]


@dataclass(kw_only=True, slots=True)
class LogBook:
    """Hold the lines of all processes.

    :param lines: The lines, each instance's in the order in which it wrote them.
    :param bad_lines: Lines that could not be read.
    """

    lines: list[LogLine] = field(default_factory=list)
    bad_lines: int = 0

    def read(self, texts: Iterable[str]) -> None:
        """Read lines; what stands before a JSON object in a line is passed over.

        :param texts: The lines.
        """
        for text in texts:
            if not text.strip():
                continue
            line = _line(text)
            if line is None:
                self.bad_lines += 1
            else:
                self.lines.append(line)

    def about_request(self, request_id: str) -> list[LogLine]:
        """Return the lines that name a request.

        :param request_id: Name of the request.
        """
        return [x for x in self.lines if x.fields.get("request_id") == request_id]


def _line(text: str) -> LogLine | None:
    start = text.find("{")
    try:
        document = json.loads(text[start:]) if start >= 0 else None
        if not isinstance(document, dict):
            return None
        return LogLine(
            instance=InstanceId(str(document["instance"])),
            written_at=datetime.fromisoformat(document["time"]).timestamp(),
            text=str(document["text"]),
            fields={k: v for k, v in document.items() if k not in COMMON_FIELDS},
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def clock_offsets(lines: Iterable[LogLine]) -> dict[InstanceId, float | None]:
    """Return how far the time of day of each instance is ahead, in seconds.

    It is measured by the events that several instances tell of; the way to each takes
    some of the difference. The instance with the most such events is the reference.

    :param lines: Lines of all instances.
    :return: ``None`` for an instance that shares no event with the reference.
    """
    times: dict[InstanceId, dict[tuple[Any, ...], float]] = {}
    for line in lines:
        own = times.setdefault(line.instance, {})
        key = _shared_event(line)
        if key is not None:
            own.setdefault(key, line.written_at)
    if not times:
        return {}
    reference = max(times, key=lambda instance: (len(times[instance]), instance))
    return {instance: _offset(own, times[reference]) for instance, own in times.items()}


def _shared_event(line: LogLine) -> tuple[Any, ...] | None:
    names = SHARED_EVENTS.get(line.text)
    if names is None:
        return None
    return (line.text, *(line.fields.get(name) for name in names))


def _offset(
    own: Mapping[tuple[Any, ...], float], reference: Mapping[tuple[Any, ...], float]
) -> float | None:
    differences = [at - reference[key] for key, at in own.items() if key in reference]
    return median(differences) if differences else None


def in_order(
    lines: Iterable[LogLine], offsets: Mapping[InstanceId, float | None]
) -> Iterator[tuple[float, LogLine]]:
    """Yield lines in the order of their time by the reference's time of day.

    :param lines: The lines.
    :param offsets: What ``clock_offsets`` returned.
    """
    timed = [(x.written_at - (offsets.get(x.instance) or 0.0), x) for x in lines]
    yield from sorted(timed, key=lambda pair: pair[0])
