"""All result codes of the release."""

import importlib
import pkgutil
from dataclasses import dataclass
from types import ModuleType

import mothshunt
from mothshunt.core.codes import ResultCode
from mothshunt.util import wire

CODES_MODULE = "codes"


@dataclass(frozen=True, kw_only=True, slots=True)
class CodeModule:
    """Hold the result codes that one module defines.

    :param title: First line of the module's documentation.
    :param codes: Its result codes, sorted by number.
    """

    title: str
    codes: tuple[ResultCode, ...]


def code_modules() -> tuple[CodeModule, ...]:
    """Return the modules that define result codes, sorted by their first number."""
    modules = [wire]
    for found in pkgutil.walk_packages(mothshunt.__path__, "mothshunt."):
        if found.name.endswith(f".{CODES_MODULE}"):
            modules.append(importlib.import_module(found.name))
    holders = [holder for module in modules if (holder := _holder(module)).codes]
    return tuple(sorted(holders, key=lambda holder: holder.codes[0].number))


def all_codes() -> tuple[ResultCode, ...]:
    """Return the result codes of all modules, sorted by number."""
    codes = [code for module in code_modules() for code in module.codes]
    return tuple(sorted(codes, key=lambda code: code.number))


def repeated_codes() -> tuple[str, ...]:
    """Return the numbers and names that more than one result code has."""
    texts = [text for code in all_codes() for text in (str(code.number), code.name)]
    return tuple(sorted({text for text in texts if texts.count(text) > 1}))


def _holder(module: ModuleType) -> CodeModule:
    values = vars(module).values()
    codes = [value for value in values if isinstance(value, ResultCode)]
    return CodeModule(
        title=(module.__doc__ or "").split("\n", 1)[0],
        codes=tuple(sorted(codes, key=lambda code: code.number)),
    )
