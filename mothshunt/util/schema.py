"""Validation of documents and their conversion from and to dataclasses."""

from dataclasses import dataclass
from typing import Any, TypeVar

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """Fault in a document.

    :param path: JSON pointer to the faulty value, such as ``/regions/0/capacity``.
    :param problem: What is wrong with it.
    """

    path: str
    problem: str


class FaultsError(Exception):
    """Failure to convert a document that does not match its dataclass.

    :param faults: All faults found.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__(f"{faults[0].path}: {faults[0].problem}")
        self.faults = faults


_ADAPTER_BY_CLASS: dict[type[Any], TypeAdapter[Any]] = {}


def _adapter(cls: type[T]) -> TypeAdapter[T]:
    adapter = _ADAPTER_BY_CLASS.get(cls)
    if adapter is None:
        adapter = _ADAPTER_BY_CLASS.setdefault(cls, TypeAdapter(cls))
    return adapter


def from_json(cls: type[T], text: bytes | str) -> Result[T, tuple[Fault, ...]]:
    """Parse a JSON text into an instance of a dataclass.

    :param cls: Dataclass of the result.
    :param text: JSON text.
    :return: The instance, or all faults found.
    """
    try:
        return Ok(_adapter(cls).validate_json(text))
    except ValidationError as error:
        return Error(_faults(error))


def from_plain(cls: type[T], document: object) -> Result[T, tuple[Fault, ...]]:
    """Convert dictionaries and lists to an instance of a dataclass.

    :param cls: Dataclass of the result.
    :param document: Plain data, as returned by a JSON or msgpack decoder.
    :return: The instance, or all faults found.
    """
    try:
        return Ok(from_plain_or_raise(cls, document))
    except FaultsError as error:
        return Error(error.faults)


def from_plain_or_raise(cls: type[T], document: object) -> T:
    """Convert plain data like ``from_plain``, but raise an exception on faults.

    For code run on each frame of a stream: creating a result object takes longer than
    the conversion of a small message.

    :param cls: Dataclass of the result.
    :param document: Plain data, as returned by a JSON or msgpack decoder.
    :raises FaultsError: When the document has faults; the exception holds all of them.
    """
    try:
        return _adapter(cls).validate_python(document)
    except ValidationError as error:
        raise FaultsError(_faults(error)) from error


def to_plain(value: object) -> Any:
    """Convert a dataclass to dictionaries and lists.

    :param value: Instance of a dataclass.
    :return: Plain data; enumeration members stay as they are.
    """
    return _adapter(type(value)).dump_python(value, mode="python")


def to_json(value: object, *, indent: int | None = None) -> bytes:
    """Encode a dataclass as JSON text.

    :param value: Instance of a dataclass.
    :param indent: Spaces of indentation; ``None`` for a single line.
    :return: The JSON text in UTF-8.
    """
    return _adapter(type(value)).dump_json(value, indent=indent)


def json_schema(cls: type[Any]) -> dict[str, Any]:
    """Return the JSON schema of a dataclass.

    :param cls: Dataclass to describe.
    :return: JSON schema.
    """
    return _adapter(cls).json_schema()


def _faults(error: ValidationError) -> tuple[Fault, ...]:
    return tuple(
        Fault(
            path="/" + "/".join(str(part) for part in item["loc"]),
            problem=item["msg"],
        )
        for item in error.errors(include_url=False)
    )
