"""The log on disk: files of frames that are only ever appended to.

A frame holds a list of items. Entries replace all earlier ones from the index of the
first of them; a reset drops all earlier ones. Nothing is overwritten in place, so a
crash can only tear the last frame.
"""

import contextlib
import os
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

import msgpack

from mothshunt.consensus import codes, records
from mothshunt.consensus.files import sync_folder
from mothshunt.consensus.types import NO_INDEX, Entry, EntryKind
from mothshunt.consensus.voters import ReplicaId
from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.core.types import LogIndex, Term

PREFIX = "log-"
FIRST_NUMBER = 1
_ENTRIES = 0
_RESET = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Reset:
    """Drop all earlier entries; the next one follows an index.

    :param index: Last index that the snapshot holds.
    """

    index: LogIndex


@dataclass(kw_only=True, slots=True)
class Segment:
    """Describe one file of the log.

    :param number: Its number; they are consecutive.
    :param path: The file.
    :param last_index: Highest index of the entries in it.
    """

    number: int
    path: Path
    last_index: LogIndex = NO_INDEX


Item = tuple[Entry, ...] | Reset


class SegmentedLog:
    """Append to the files of the log, and read them at the start.

    :param folder: Folder of the files.
    :param replica: Number of the data folder, part of each checksum.
    :param segment_bytes: Size after which a new file is begun.
    """

    def __init__(self, folder: Path, replica: ReplicaId, segment_bytes: int) -> None:
        self._folder = folder
        self._replica = replica
        self._segment_bytes = segment_bytes
        self._segments: list[Segment] = []
        self._file: BinaryIO | None = None

    def create(self) -> None:
        """Make the first file, so that a missing one is noticed later."""
        # Not touch(): it takes a file for there whose times it could set.
        self._path(FIRST_NUMBER).open("ab").close()
        sync_folder(self._folder)

    def load(self) -> tuple[Entry, ...]:
        """Read all entries; cut a torn frame off the end.

        :raises MothshuntError: With code 4020 when a frame in the middle is damaged.
        """
        self._segments = self._find_segments()
        entries: list[Entry] = []
        for segment in self._segments:
            is_last = segment is self._segments[-1]
            for payload in self._read_segment(segment, is_last=is_last):
                for item in _decode(payload):
                    _replay(entries, item, segment)
        return tuple(entries)

    def _find_segments(self) -> list[Segment]:
        numbers = sorted(
            int(path.name.removeprefix(PREFIX))
            for path in self._folder.glob(f"{PREFIX}*")
        )
        if not numbers:
            raise _damaged(self._folder, "there is no file of the log")
        if numbers != list(range(numbers[0], numbers[-1] + 1)):
            raise _damaged(self._folder, f"a file is missing among {numbers}")
        return [Segment(number=n, path=self._path(n)) for n in numbers]

    def _path(self, number: int) -> Path:
        return self._folder / f"{PREFIX}{number:012d}"

    def _seed(self, segment: Segment) -> int:
        return zlib.crc32(f"{self._replica}/{segment.number}".encode())

    def _read_segment(self, segment: Segment, *, is_last: bool) -> tuple[bytes, ...]:
        data = segment.path.read_bytes()
        scan = records.scan(data, self._seed(segment))
        if scan.tail is records.Tail.DAMAGED:
            raise _damaged(segment.path, f"bad frame at byte {scan.end}")
        if scan.tail is records.Tail.TORN:
            if not is_last:
                raise _damaged(segment.path, f"cut off at byte {scan.end}")
            os.truncate(segment.path, scan.end)
            with segment.path.open("rb+") as file:
                os.fsync(file.fileno())
        return scan.payloads

    def append(self, items: Sequence[Item]) -> None:
        """Write items as one frame and sync it.

        :param items: Entries and resets, in order.
        """
        file = self._writable()
        segment = self._segments[-1]
        frame = records.encode(_encode(items), self._seed(segment))
        file.write(frame)
        file.flush()
        os.fdatasync(file.fileno())
        for item in items:
            if isinstance(item, Reset):
                for earlier in self._segments:
                    earlier.last_index = NO_INDEX
            elif item:
                segment.last_index = max(segment.last_index, item[-1].index)

    def _writable(self) -> BinaryIO:
        if self._file is not None and self._file.tell() < self._segment_bytes:
            return self._file
        if self._file is not None:
            self._file.close()
            number = self._segments[-1].number + 1
            self._segments.append(Segment(number=number, path=self._path(number)))
        self._file = self._segments[-1].path.open("ab")
        sync_folder(self._folder)
        return self._file

    def drop_before(self, first_kept: LogIndex) -> None:
        """Delete the oldest files that hold nothing to keep.

        :param first_kept: First index whose entry must be kept.
        """
        while len(self._segments) > 1 and self._segments[0].last_index < first_kept:
            self._segments.pop(0).path.unlink()
            # Without it, a power loss may keep this file and lose the one after it.
            sync_folder(self._folder)

    def close(self) -> None:
        """Close the file that is written to."""
        if self._file is None:
            return
        # A failed disk fails once more here. What is still buffered was never
        # synced, so nobody was told of it.
        with contextlib.suppress(OSError):
            self._file.close()
        self._file = None


def _replay(entries: list[Entry], item: Item, segment: Segment) -> None:
    if isinstance(item, Reset):
        entries.clear()
        return
    if entries:
        first = entries[0].index
        if not first <= item[0].index <= entries[-1].index + 1:
            raise _damaged(segment.path, f"a gap before index {item[0].index}")
        del entries[item[0].index - first :]
    entries.extend(item)
    segment.last_index = max(segment.last_index, item[-1].index)


def _encode(items: Sequence[Item]) -> bytes:
    return bytes(msgpack.packb([_plain(item) for item in items], use_bin_type=True))


def _plain(item: Item) -> list[Any]:
    if isinstance(item, Reset):
        return [_RESET, item.index]
    return [_ENTRIES, [[e.term, e.index, e.kind.value, e.data] for e in item]]


def _decode(payload: bytes) -> list[Item]:
    items: list[Item] = []
    for kind, body in msgpack.unpackb(payload, raw=False):
        if kind == _RESET:
            items.append(Reset(index=LogIndex(body)))
            continue
        entries = tuple(
            Entry(
                term=Term(term),
                index=LogIndex(index),
                kind=EntryKind(entry_kind),
                data=data,
            )
            for term, index, entry_kind, data in body
        )
        items.append(entries)
    return items


def _damaged(path: Path, detail: str) -> MothshuntError:
    failure = Failure(code=codes.LOG_DAMAGED, path=str(path), detail=detail)
    return MothshuntError(failure)
