"""Encoding of messages between instances with msgpack."""

from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

import msgpack
from expression import Error, Ok, Result

from mothshunt.core.codes import Failure, MothshuntError, ResultCode
from mothshunt.util import schema

WIRE_VERSION = 1

T = TypeVar("T")

BAD_MESSAGE = ResultCode(
    number=1104,
    name="bad_message",
    http_status=400,
    summary="A message from a peer could not be decoded.",
    action="Check that all instances run the same release.",
)

_CLASS_BY_KIND: dict[str, type[Any]] = {}
_KIND_BY_CLASS: dict[type[Any], str] = {}
_OMITTED_IF_EMPTY_BY_CLASS: dict[type[Any], tuple[str, ...]] = {}


def message(
    kind: str, *, omit_if_empty: tuple[str, ...] = ()
) -> Callable[[type[T]], type[T]]:
    """Register a frozen dataclass as a message between instances.

    :param kind: Unique name in the form ``slice.message``.
    :param omit_if_empty: Fields that are not sent while they are empty, so that a
        feature that is not in use adds nothing to the message. Receivers of an older
        release ignore fields that they don't know.
    :return: Class decorator.
    """

    def register(cls: type[T]) -> type[T]:
        if kind in _CLASS_BY_KIND:
            raise ValueError(f"message kind {kind} is registered twice")
        _CLASS_BY_KIND[kind] = cls
        _KIND_BY_CLASS[cls] = kind
        if omit_if_empty:
            _OMITTED_IF_EMPTY_BY_CLASS[cls] = omit_if_empty
        return cls

    return register


def kind_of(value: object) -> str:
    """Return the registered kind of a message.

    :param value: Instance of a registered class.
    :return: Its kind.
    """
    return _KIND_BY_CLASS[type(value)]


def to_wire(value: object) -> list[Any]:
    """Convert a message to ``[kind, body]``.

    :param value: Instance of a registered class.
    :return: Plain data for msgpack.
    """
    body = schema.to_plain(value)
    for name in _OMITTED_IF_EMPTY_BY_CLASS.get(type(value), ()):
        if not body[name]:
            del body[name]
    return [kind_of(value), body]


def from_wire_or_raise(document: object) -> Any:
    """Convert ``[kind, body]`` like ``from_wire``, but raise an exception on failure.

    For code run on each frame of a stream, see ``schema.from_plain_or_raise``.

    :param document: Plain data from msgpack.
    :return: The message.
    :raises MothshuntError: With code 1104 when it can't be converted.
    """
    if not isinstance(document, list) or len(document) != 2:
        raise _bad_message("message is not a list of kind and body")
    kind, body = document
    cls = _CLASS_BY_KIND.get(kind) if isinstance(kind, str) else None
    if cls is None:
        raise _bad_message(f"unknown message kind {kind!r:.80}")
    try:
        return schema.from_plain_or_raise(cls, body)
    except schema.FaultsError as error:
        raise _bad_message(f"invalid message of kind {kind}: {error}") from error


def from_wire(document: object) -> Result[Any, Failure]:
    """Convert ``[kind, body]`` to a message.

    :param document: Plain data from msgpack.
    :return: The message, or a failure with code 1104.
    """
    try:
        return Ok(from_wire_or_raise(document))
    except MothshuntError as error:
        return Error(error.failure)


def pack(value: object) -> bytes:
    """Encode a message to bytes.

    :param value: Instance of a registered class.
    :return: msgpack bytes.
    """
    return pack_plain(to_wire(value))


def pack_plain(document: object) -> bytes:
    """Encode plain data to bytes; enumeration members are replaced by their values.

    :param document: Dictionaries, lists and scalars.
    :return: msgpack bytes.
    """
    return bytes(msgpack.packb(document, use_bin_type=True, default=_plain_scalar))


def unpack(data: bytes) -> Result[Any, Failure]:
    """Decode bytes to a message.

    :param data: msgpack bytes.
    :return: The message, or a failure with code 1104.
    """
    try:
        document = msgpack.unpackb(data, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        return Error(Failure(code=BAD_MESSAGE, detail=str(error)[:80]))
    return from_wire(document)


def _bad_message(detail: str) -> MothshuntError:
    return MothshuntError(Failure(code=BAD_MESSAGE, detail=detail))


def _plain_scalar(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"cannot encode a value of type {type(value).__name__}")
