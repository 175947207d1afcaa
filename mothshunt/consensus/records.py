"""Frames of the files in the data folder: a length, a checksum and a payload."""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

MAGIC = b"MSR1"
_HEADER = struct.Struct("<4sII")


class Tail(Enum):
    """How a file of frames ends."""

    WHOLE = "whole"
    #: The last frame was not written to its end.
    TORN = "torn"
    #: A bad frame is followed by a good one.
    DAMAGED = "damaged"


@dataclass(frozen=True, kw_only=True, slots=True)
class Scan:
    """Hold what was found in a file.

    :param payloads: Payloads of the good frames up to the first bad one.
    :param end: Offset behind the last of them, in bytes.
    :param tail: How the file ends.
    """

    payloads: tuple[bytes, ...]
    end: int
    tail: Tail


def encode(payload: bytes, seed: int) -> bytes:
    """Return the frame of a payload.

    :param payload: What to keep.
    :param seed: Start of the checksum, which no one who chooses payloads knows.
    """
    return _HEADER.pack(MAGIC, len(payload), _checksum(payload, seed)) + payload


def scan(data: bytes, seed: int) -> Scan:
    """Read all frames of a file.

    Each frame was synced before the next one was written, so a bad frame with a good
    one behind it cannot come from a crash.

    :param data: The whole file.
    :param seed: Start of the checksum.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _payload_at(data, offset, seed)
        if payload is None:
            tail = Tail.DAMAGED if _has_frame(data, offset + 1, seed) else Tail.TORN
            return Scan(payloads=tuple(payloads), end=offset, tail=tail)
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Scan(payloads=tuple(payloads), end=offset, tail=Tail.WHOLE)


def _checksum(payload: bytes, seed: int) -> int:
    return zlib.crc32(payload, zlib.crc32(len(payload).to_bytes(4, "little"), seed))


def _payload_at(data: bytes, offset: int, seed: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    magic, size, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if magic != MAGIC or start + size > len(data):
        return None
    payload = data[start : start + size]
    return payload if _checksum(payload, seed) == checksum else None


def _has_frame(data: bytes, start: int, seed: int) -> bool:
    return any(
        _payload_at(data, offset, seed) is not None
        for offset in _magic_offsets(data, start)
    )


def _magic_offsets(data: bytes, start: int) -> Iterator[int]:
    offset = data.find(MAGIC, start)
    while offset >= 0:
        yield offset
        offset = data.find(MAGIC, offset + 1)
