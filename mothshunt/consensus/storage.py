"""The data folder of a control instance. All calls block; a thread makes them."""

import fcntl
import secrets
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any, BinaryIO

import msgpack

from mothshunt.consensus import codes, files, voters
from mothshunt.consensus.founding import FoundingRecord
from mothshunt.consensus.segments import Item, Reset, SegmentedLog
from mothshunt.consensus.types import (
    DurableState,
    Entry,
    HardState,
    Snapshot,
    Write,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from mothshunt.consensus.voters import ReplicaId
from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.core.types import InstanceId, LogIndex, Term
from mothshunt.helpers.log import get_logger
from mothshunt.util import wire

_LOGGER = get_logger("consensus")

LOCK_NAME = "lock"
IDENTITY_NAME = "identity"
VOTE_NAME = "vote"
FOUNDING_NAME = "founding"
SNAPSHOT_PREFIX = "snapshot-"
REPLICA_BITS = 62


class Storage:
    """Keep the durable state of one node.

    :param folder: Folder that only this class writes to.
    :param instance: Name of this instance.
    :param segment_bytes: Size after which a new file of the log is begun.
    """

    def __init__(self, folder: Path, instance: InstanceId, segment_bytes: int) -> None:
        self._folder = folder
        self._instance = instance
        self._segment_bytes = segment_bytes
        self._lock: BinaryIO | None = None
        self._log: SegmentedLog | None = None

    def open(self) -> DurableState:
        """Lock the folder and read it; give an empty one a number of its own.

        :raises MothshuntError: With codes 4020 to 4023.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._take_lock()
        for aside in self._folder.glob(f"*{files.ASIDE_SUFFIX}"):
            aside.unlink()
        replica = self._read_identity()
        self._log = self._segmented_log(replica)
        durable = DurableState(
            replica=replica,
            hard_state=self._read_vote(),
            snapshot=self._read_snapshot(),
            entries=self._log.load(),
        )
        self._check_joint(durable)
        return self._with_reset(durable)

    def _with_reset(self, durable: DurableState) -> DurableState:
        """Reset the log where the snapshot was written and the log after it was not.

        Entries that are written later would follow entries that the snapshot has
        replaced, and the next start could not tell these apart.

        :param durable: What the files hold.
        :raises OSError: When the reset can't be written.
        """
        snapshot = durable.snapshot
        if snapshot is None or snapshot.is_followed_by(durable.entries):
            return durable
        _LOGGER.warning(
            "the log is reset to its snapshot",
            index=snapshot.index,
            last=durable.entries[-1].index,
        )
        if self._log is None:
            raise AssertionError("the data folder is not open")
        self._log.append([Reset(index=snapshot.index)])
        return replace(durable, entries=())

    def _take_lock(self) -> None:
        lock = (self._folder / LOCK_NAME).open("wb")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            failure = Failure(code=codes.FOLDER_IN_USE, path=str(self._folder))
            raise MothshuntError(failure) from None
        self._lock = lock

    def _read_identity(self) -> ReplicaId:
        path = self._folder / IDENTITY_NAME
        content = files.read(path)
        if content is None:
            return self._make_identity(path)
        instance, replica = _unpack(content)
        if instance != self._instance:
            detail = f"it belongs to {instance}"
            failure = Failure(
                code=codes.FOLDER_FOREIGN, path=str(self._folder), detail=detail
            )
            raise MothshuntError(failure)
        return ReplicaId(replica)

    def _make_identity(self, path: Path) -> ReplicaId:
        # A process that ended at this place before has left an empty file of the log.
        others = [p.name for p in self._folder.iterdir() if p.stat().st_size > 0]
        if others:
            raise files.damaged(path, f"missing beside {sorted(others)}")
        replica = ReplicaId(secrets.randbits(REPLICA_BITS) + 1)
        self._segmented_log(replica).create()
        files.replace(path, _pack([self._instance, replica]))
        files.sync_folder(self._folder.parent)
        return replica

    def _segmented_log(self, replica: ReplicaId) -> SegmentedLog:
        return SegmentedLog(self._folder, replica, self._segment_bytes)

    def read_founding(self) -> FoundingRecord | None:
        """Return what the folder holds of the founding, where it takes part in one.

        :raises MothshuntError: With code 4021 when it is damaged.
        """
        path = self._folder / FOUNDING_NAME
        content = files.read(path)
        if content is None:
            return None
        result = wire.unpack(content)
        if result.is_error() or not isinstance(result.ok, FoundingRecord):
            raise files.damaged(path, "it does not hold a record of the founding")
        return result.ok

    def keep_founding(self, record: FoundingRecord) -> None:
        """Keep a record of the founding, synced.

        :param record: The record.
        :raises OSError: When it can't be kept.
        """
        files.replace(self._folder / FOUNDING_NAME, wire.pack(record))

    def _read_vote(self) -> HardState:
        content = files.read(self._folder / VOTE_NAME)
        if content is None:
            return HardState()
        term, voted_for = _unpack(content)
        return HardState(term=Term(term), voted_for=ReplicaId(voted_for))

    def _read_snapshot(self) -> Snapshot | None:
        paths = self._snapshot_paths()
        content = files.read(paths[-1]) if paths else None
        if content is None:
            return None
        index, term, membership, data = _unpack(content)
        return Snapshot(
            index=LogIndex(index),
            term=Term(term),
            membership=voters.decode(membership),
            data=data,
        )

    def _snapshot_paths(self) -> list[Path]:
        return sorted(self._folder.glob(f"{SNAPSHOT_PREFIX}*"))

    def _check_joint(self, durable: DurableState) -> None:
        """Check that the files fit together.

        :param durable: What they hold.
        """
        base = durable.snapshot.index if durable.snapshot else 0
        entries = durable.entries
        if entries and entries[0].index > base + 1:
            detail = f"no entries between {base} and {entries[0].index}"
            raise files.damaged(self._folder, detail)
        highest = entries[-1].term if entries else Term(0)
        if highest > durable.hard_state.term:
            path = self._folder / VOTE_NAME
            raise files.damaged(path, "its term is below that of the log")

    def write(self, writes: Sequence[Write]) -> None:
        """Write in the order asked for, and sync.

        :param writes: What a node asked for.
        """
        votes = [write for write in writes if isinstance(write, WriteHardState)]
        if votes:
            hard_state = votes[-1].hard_state
            content = _pack([hard_state.term, hard_state.voted_for])
            files.replace(self._folder / VOTE_NAME, content)
        snapshots = [write for write in writes if isinstance(write, WriteSnapshot)]
        # A snapshot comes before the entries that follow it, and before any is dropped.
        if snapshots:
            self._write_snapshot(snapshots[-1].snapshot)
        if self._log is None:
            raise AssertionError("the data folder is not open")
        items = _items(writes)
        if items:
            self._log.append(items)
        if snapshots:
            self._log.drop_before(snapshots[-1].first_kept)
            for path in self._snapshot_paths()[:-1]:
                path.unlink()

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        content = _pack(
            [
                snapshot.index,
                snapshot.term,
                voters.encode(snapshot.membership),
                snapshot.data,
            ]
        )
        path = self._folder / f"{SNAPSHOT_PREFIX}{snapshot.index:020d}"
        files.replace(path, content)

    def close(self) -> None:
        """Close the files and give the lock back."""
        if self._log is not None:
            self._log.close()
            self._log = None
        if self._lock is not None:
            self._lock.close()
            self._lock = None


def _items(writes: Sequence[Write]) -> list[Item]:
    items: list[Item] = []
    for write in writes:
        if isinstance(write, WriteEntries):
            items.append(_entries(write))
        elif isinstance(write, WriteSnapshot) and write.reset:
            items.append(Reset(index=write.snapshot.index))
    return items


def _entries(write: WriteEntries) -> tuple[Entry, ...]:
    return write.entries


def _pack(values: list[Any]) -> bytes:
    return bytes(msgpack.packb(values, use_bin_type=True))


def _unpack(content: bytes) -> Any:
    return msgpack.unpackb(content, raw=False)
