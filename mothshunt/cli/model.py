"""Results of commands."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any


class ExitCode(IntEnum):
    """Exit code of a command, for use in scripts."""

    OK = 0
    #: A check found warnings, but no error.
    WARNINGS = 1
    #: Wrong usage, or errors in a file that was checked.
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN_OUTCOME = 5
    UNREACHABLE = 6
    NOT_IN_FORCE = 7
    INTERRUPTED = 130


@dataclass(frozen=True, kw_only=True, slots=True)
class CommandFailure:
    """Tell why a command did not succeed.

    :param exit_code: Exit code of the process.
    :param text: Text for a person.
    :param document: Error document of the API, where there was one.
    """

    exit_code: ExitCode
    text: str
    document: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class CommandOutput:
    """Carry what a command prints.

    :param document: JSON document.
    :param exit_code: Exit code of the process.
    """

    document: Any
    exit_code: ExitCode = ExitCode.OK
