"""Page of the log lines of a deployment that routes by hosts."""

import importlib
import importlib.util
import pkgutil
from collections.abc import Iterator
from typing import Any

import mothshunt
from mothshunt.admin.field_texts import field_texts, summary_text
from mothshunt.helpers.log import KIND_BY_CLASS, EventKind, FailureMet
from tools.markdown import table_row

HEAD = """\
# Log lines

Made from the code by `script/generate_docs`; don't edit it by hand.

Each process of a deployment that routes by hosts and path prefixes writes these JSON
lines to standard output. Common to all are `time` (the process's time of day, in UTC),
`level`, `instance`, `slice` and `text`. A field that has no value is left out.
`mothshunt explain ID FILE...` puts the lines on one request in order.

Other lines tell of a failure: their `text` says what was being done, and they have the
fields of the last table here.
"""


def log_lines_page() -> str:
    """Return the text of the page."""
    return "\n".join(_lines()) + "\n"


def _lines() -> Iterator[str]:
    yield HEAD
    modules = _import_event_modules()
    for cls, kind in sorted(
        KIND_BY_CLASS.items(), key=lambda item: (item[1].slice_name, item[1].text)
    ):
        if cls.__module__ in modules:
            yield from _event(cls, kind)
    yield "## Failures"
    yield ""
    yield from _fields(FailureMet)


def _import_event_modules() -> frozenset[str]:
    """Import the log events of all slices; return the names of the modules."""
    names = []
    for package in pkgutil.iter_modules(mothshunt.__path__, "mothshunt."):
        if package.ispkg and importlib.util.find_spec(f"{package.name}.log_events"):
            names.append(importlib.import_module(f"{package.name}.log_events").__name__)
    return frozenset(names)


def _event(cls: type[Any], kind: EventKind) -> Iterator[str]:
    yield f"## `{kind.text}`"
    yield ""
    level = kind.level.name.lower()
    yield f"{summary_text(cls)} Slice `{kind.slice_name}`, level `{level}`."
    yield ""
    if field_texts(cls):
        yield from _fields(cls)


def _fields(cls: type[Any]) -> Iterator[str]:
    yield "| Field | Meaning |"
    yield "| --- | --- |"
    for name, text in field_texts(cls).items():
        yield table_row((f"`{name}`", text))
    yield ""
