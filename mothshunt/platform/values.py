"""Values as the platform writes them."""

import ipaddress
import math
import re
from typing import Any

from mothshunt.routing.const import LARGEST_NUMBER

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$", re.ASCII)
_VERSION = re.compile(r"^r(\d{1,18})$", re.ASCII)
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


class BadValueError(ValueError):
    """Tell which value of a document is not what it must be.

    :param path: Place in the document.
    :param problem: What is wrong there.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")


def seconds(value: Any, path: str, most_s: float = LARGEST_NUMBER) -> float:
    """Read a time such as ``1500ms`` or ``2.5s``, in seconds.

    The platform sets no limit to the digits of a time; a longer one than the greatest
    result is valid and read as that.

    :param value: The value.
    :param path: Place in the document.
    :param most_s: Greatest result, in seconds.
    :raises BadValueError: When it is no time.
    """
    match = _DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise BadValueError(path, "not a time")
    return min(float(match[1]) * _SECONDS_BY_UNIT[match[2]], most_s)


def version(value: Any, path: str) -> int:
    """Read a version such as ``r12``.

    :param value: The value.
    :param path: Place in the document.
    :raises BadValueError: When it is no version.
    """
    match = _VERSION.match(value) if isinstance(value, str) else None
    if match is None:
        raise BadValueError(path, "not a version")
    return int(match[1])


def text(value: Any, path: str, max_length: int = 255) -> str:
    """Read a text that is not empty and can be encoded.

    :param value: The value.
    :param path: Place in the document.
    :param max_length: Characters that it may have.
    :raises BadValueError: When it is none.
    """
    content = any_text(value, path, max_length)
    try:
        content.encode()
    except UnicodeEncodeError:
        raise BadValueError(path, "half of a surrogate pair") from None
    return content


def any_text(value: Any, path: str, max_length: int) -> str:
    """Read a text that is not empty; it may contain halves of surrogate pairs.

    :param value: The value.
    :param path: Place in the document.
    :param max_length: Characters that it may have.
    :raises BadValueError: When it is none.
    """
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise BadValueError(path, "not a text")
    return value


def whole(value: Any, path: str, least: int, most: int) -> int:
    """Read a whole number.

    :param value: The value.
    :param path: Place in the document.
    :param least: Least value.
    :param most: Greatest value.
    :raises BadValueError: When it is none, or out of bounds.
    """
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    if not is_whole or not least <= value <= most:
        raise BadValueError(path, f"not a whole number from {least} to {most}")
    return int(value)


def number(value: Any, path: str) -> float:
    """Read a number that is finite.

    :param value: The value.
    :param path: Place in the document.
    :raises BadValueError: When it is none.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    try:
        if is_number and math.isfinite(value):
            return float(value)
    except OverflowError:
        # JSON allows whole numbers that exceed the range of a float.
        raise BadValueError(path, "not a number") from None
    raise BadValueError(path, "not a number")


def flag(value: Any, path: str) -> bool:
    """Read a truth value.

    :param value: The value.
    :param path: Place in the document.
    :raises BadValueError: When it is none.
    """
    if not isinstance(value, bool):
        raise BadValueError(path, "neither true nor false")
    return value


def table(value: Any, path: str) -> dict[str, Any]:
    """Read a table.

    :param value: The value.
    :param path: Place in the document.
    :raises BadValueError: When it is none.
    """
    if not isinstance(value, dict):
        raise BadValueError(path, "not a table")
    return value


def rows(value: Any, path: str) -> list[Any]:
    """Read a list; an absent one is empty.

    :param value: The value.
    :param path: Place in the document.
    :raises BadValueError: When it is none.
    """
    if value is None:
        return []
    if not isinstance(value, list):
        raise BadValueError(path, "not a list")
    return value


def address(value: Any, path: str) -> tuple[str, int]:
    """Read an address such as ``10.0.0.4:8080``.

    :param value: The value.
    :param path: Place in the document.
    :return: IP number and port.
    :raises BadValueError: When it is none.
    """
    host, _, port = text(value, path).rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise BadValueError(path, "not an IP number") from None
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise BadValueError(path, "not a port")
    return host, whole(int(port), path, 1, 65535)
