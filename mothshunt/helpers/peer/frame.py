"""Frames of a stream: a length prefix and a msgpack array."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.helpers.peer import codes, const
from mothshunt.util import wire

LENGTH_BYTES = 4


class FrameKind(IntEnum):
    """Purpose of a frame."""

    HEARTBEAT = 0
    MESSAGE = 1
    REQUEST = 2
    ANSWER = 3


@dataclass(frozen=True, slots=True)
class Frame:
    """Frame of a stream, decoded.

    :param kind: Purpose of the frame.
    :param correlation: Number that matches an answer to its request; 0 in other frames.
    :param message: A registered message; ``None`` in a heartbeat.
    """

    kind: FrameKind
    correlation: int = 0
    message: Any = None


HEARTBEAT = Frame(FrameKind.HEARTBEAT)


def encode(frame: Frame) -> bytes:
    """Encode a frame with its length prefix.

    :param frame: The frame.
    """
    body = None if frame.message is None else wire.to_wire(frame.message)
    document = [wire.WIRE_VERSION, int(frame.kind), frame.correlation, body]
    data = wire.pack_plain(document)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> Frame:
    """Decode a frame without its length prefix.

    :param data: msgpack bytes.
    :raises MothshuntError: With code 1103 (``peer_frame_malformed``).
    """
    try:
        version, kind, correlation, body = msgpack.unpackb(data, raw=False)
        frame_kind = FrameKind(kind)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _malformed(str(error)) from error
    if version != wire.WIRE_VERSION or not isinstance(correlation, int):
        raise _malformed(f"version {version!r:.20}")
    if frame_kind is FrameKind.HEARTBEAT:
        return HEARTBEAT
    try:
        return Frame(frame_kind, correlation, wire.from_wire_or_raise(body))
    except MothshuntError as error:
        raise _malformed(error.failure.detail) from error


async def async_read(
    reader: asyncio.StreamReader, on_received: Callable[[int], None]
) -> bytes:
    """Read one frame, without its length prefix and not decoded.

    :param reader: Incoming half of a stream.
    :param on_received: Called with the number of bytes of each part that arrives.
    :return: msgpack bytes.
    :raises MothshuntError: With code 1102 (``peer_frame_too_large``).
    """
    prefix = await reader.readexactly(LENGTH_BYTES)
    on_received(LENGTH_BYTES)
    size = int.from_bytes(prefix, "big")
    if size > const.MAX_FRAME_BYTES:
        raise MothshuntError(
            Failure(code=codes.FRAME_TOO_LARGE, detail=f"{size} bytes")
        )
    data = bytearray()
    while len(data) < size:
        part = await reader.read(size - len(data))
        if not part:
            raise asyncio.IncompleteReadError(bytes(data), size)
        on_received(len(part))
        data += part
    return bytes(data)


def _malformed(detail: str) -> MothshuntError:
    return MothshuntError(Failure(code=codes.FRAME_MALFORMED, detail=detail[:120]))
