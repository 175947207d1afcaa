"""Frames of a stream: a length prefix and a msgpack array."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.helpers.peer import codes, compression, const
from mothshunt.util import wire

LENGTH_BYTES = 4


class FrameKind(IntEnum):
    """Purpose of a frame."""

    HEARTBEAT = 0
    MESSAGE = 1
    REQUEST = 2
    ANSWER = 3
    #: Another frame in zlib format; sent only to peers that announced to accept it.
    COMPRESSED = 4


@dataclass(frozen=True, slots=True)
class Frame:
    """Frame of a stream, decoded.

    :param kind: Purpose of the frame.
    :param correlation: Number that matches an answer to its request; in a heartbeat,
        ``ACCEPTS_COMPRESSED`` or 0; 0 in other frames.
    :param message: A registered message; ``None`` in a heartbeat.
    """

    kind: FrameKind
    correlation: int = 0
    message: Any = None


#: Correlation of a heartbeat whose sender accepts compressed frames. Releases that
#: don't know it ignore the correlation of heartbeats.
ACCEPTS_COMPRESSED = 1

HEARTBEAT = Frame(FrameKind.HEARTBEAT)
ANNOUNCEMENT = Frame(FrameKind.HEARTBEAT, ACCEPTS_COMPRESSED)


@dataclass(slots=True, eq=False)
class EncodedFrame:
    """Frame with its length prefix, ready to be sent.

    :param plain: The bytes for peers that accept no compressed frames.
    :param compressed: The bytes for all others; ``None`` where that gains nothing.
    :param streams: Number of streams on which it waits.
    """

    plain: bytes
    compressed: bytes | None
    streams: int = 0

    @property
    def size(self) -> int:
        """Number of bytes for a peer that accepts compressed frames."""
        return len(self.plain if self.compressed is None else self.compressed)

    @property
    def is_large(self) -> bool:
        """Whether it counts to the bound on what waits on all streams."""
        return len(self.plain) >= const.MIN_LARGE_BYTES

    def data(self, *, accepts_compressed: bool) -> bytes:
        """Return the bytes for a peer.

        :param accepts_compressed: Whether the peer accepts compressed frames.
        """
        if self.compressed is None or not accepts_compressed:
            return self.plain
        return self.compressed


def encode(frame: Frame) -> EncodedFrame:
    """Encode a frame with its length prefix.

    :param frame: The frame.
    """
    plain = _pack(frame.kind, frame.correlation, _body(frame.message))
    compressed = None
    if const.MIN_COMPRESSED_BYTES <= len(plain) <= const.MAX_DECOMPRESSED_BYTES:
        content = compression.compress(plain[LENGTH_BYTES:])
        if len(content) < len(plain) * const.MAX_COMPRESSION_RATIO:
            compressed = _pack(FrameKind.COMPRESSED, 0, content)
    return EncodedFrame(plain, compressed)


def _body(message: Any) -> Any:
    return None if message is None else wire.to_wire(message)


def _pack(kind: FrameKind, correlation: int, body: Any) -> bytes:
    data = wire.pack_plain([wire.WIRE_VERSION, int(kind), correlation, body])
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> Frame:
    """Decode a frame without its length prefix.

    :param data: msgpack bytes.
    :raises MothshuntError: With code 1103 (``peer_frame_malformed``), or 1102 where
        what was compressed is too large.
    """
    kind, correlation, body = _unpack(data)
    if kind is FrameKind.COMPRESSED:
        if not isinstance(body, bytes):
            raise _malformed("compressed content is not bytes")
        kind, correlation, body = _unpack(compression.decompress(body))
    if kind is FrameKind.COMPRESSED:
        raise _malformed("a compressed frame within another")
    if kind is FrameKind.HEARTBEAT:
        return Frame(kind, correlation)
    try:
        return Frame(kind, correlation, wire.from_wire_or_raise(body))
    except MothshuntError as error:
        raise _malformed(error.failure.detail) from error


def _unpack(data: bytes) -> tuple[FrameKind, int, Any]:
    try:
        version, kind, correlation, body = msgpack.unpackb(data, raw=False)
        frame_kind = FrameKind(kind)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _malformed(str(error)) from error
    if version != wire.WIRE_VERSION or not isinstance(correlation, int):
        raise _malformed(f"version {version!r:.20}")
    return frame_kind, correlation, body


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
