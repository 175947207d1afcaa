"""Frames of a stream: a length, then a msgpack array."""

import asyncio
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
    """Hold one frame.

    :param kind: Purpose of the frame.
    :param correlation: Number that joins an answer to its request; 0 elsewhere.
    :param message: A registered message; ``None`` in a heartbeat.
    """

    kind: FrameKind
    correlation: int = 0
    message: Any = None


HEARTBEAT = Frame(FrameKind.HEARTBEAT)


def encode(frame: Frame) -> bytes:
    """Encode a frame with its length in front.

    :param frame: The frame.
    """
    body = None if frame.message is None else wire.to_wire(frame.message)
    document = [wire.WIRE_VERSION, int(frame.kind), frame.correlation, body]
    data = wire.pack_plain(document)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> Frame:
    """Decode a frame without its length.

    :param data: msgpack bytes.
    :raises MothshuntError: With code 1103.
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


async def async_read(reader: asyncio.StreamReader) -> bytes:
    """Read one frame without its length and without decoding it.

    :param reader: Incoming half of a stream.
    :return: msgpack bytes.
    :raises MothshuntError: With code 1102.
    """
    size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if size > const.MAX_FRAME_BYTES:
        raise MothshuntError(
            Failure(code=codes.FRAME_TOO_LARGE, detail=f"{size} bytes")
        )
    return await reader.readexactly(size)


def _malformed(detail: str) -> MothshuntError:
    return MothshuntError(Failure(code=codes.FRAME_MALFORMED, detail=detail[:120]))
