"""All result codes of the release."""

import importlib
import pkgutil
from collections.abc import Iterator

import mothshunt
from mothshunt.core.codes import ResultCode
from mothshunt.util import wire

CODES_MODULE = "codes"


def all_codes() -> tuple[ResultCode, ...]:
    """Return the result codes of all slices, sorted by number."""
    codes = {code.number: code for code in _codes()}
    return tuple(code for _, code in sorted(codes.items()))


def repeated_codes() -> tuple[str, ...]:
    """Return the numbers and names that more than one result code has."""
    seen: set[str] = set()
    repeated: set[str] = set()
    for code in _codes():
        for text in (str(code.number), code.name):
            (repeated if text in seen else seen).add(text)
    return tuple(sorted(repeated))


def _codes() -> Iterator[ResultCode]:
    unique = {id(code): code for code in _found_codes()}
    yield from unique.values()


def _found_codes() -> Iterator[ResultCode]:
    modules = [wire]
    for found in pkgutil.walk_packages(mothshunt.__path__, "mothshunt."):
        if found.name.endswith(f".{CODES_MODULE}"):
            modules.append(importlib.import_module(found.name))
    for module in modules:
        for value in vars(module).values():
            if isinstance(value, ResultCode):
                yield value
