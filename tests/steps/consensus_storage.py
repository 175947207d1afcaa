"""Steps for the data folder of the replicated log."""

import errno
import itertools
import shutil
import tempfile
from contextlib import suppress
from pathlib import Path
from random import Random
from unittest.mock import patch

from behave import given, then, when

from mothshunt.consensus import files, records, segments
from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.founding import FoundingRecord
from mothshunt.consensus.messages import Ballot
from mothshunt.consensus.segments import SegmentedLog
from mothshunt.consensus.state import NodeState
from mothshunt.consensus.storage import Storage
from mothshunt.consensus.types import (
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from mothshunt.consensus.voters import Member, Membership
from mothshunt.core.codes import MothshuntError

SMALL_BYTES = 200
LARGE_BYTES = 1 << 20
FIRST_LOG = "log-000000000001"
RECORD = FoundingRecord(
    initial=("a", "b", "c"),
    promised=Ballot(3, "b"),
    accepted=Ballot(2, "a"),
    membership=Membership(
        voters=(Member(id="a", host="127.0.0.1", port=1, replica=7),)
    ),
)


def entry(index, term=1, data=None):
    command = data if data is not None else f"command {index}".encode()
    return Entry(term=term, index=index, kind=EntryKind.COMMAND, data=command)


def snapshot(index, term=1):
    return Snapshot(index=index, term=term, membership=Membership(), data=b"state")


def storage(folder, segment_bytes=LARGE_BYTES, instance="a"):
    return Storage(folder, instance, segment_bytes)


def read(folder, **arguments):
    opened = storage(folder, **arguments)
    try:
        return opened.open()
    finally:
        opened.close()


def code_of_reading(folder, **arguments):
    try:
        read(folder, **arguments)
    except MothshuntError as error:
        return error.failure.code.number
    return None


def write(folder, writes, segment_bytes=LARGE_BYTES):
    opened = storage(folder, segment_bytes)
    opened.open()
    for batch in writes:
        opened.write(batch)
    opened.close()


def make_folder(context, last, segment_bytes):
    context.folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    batches = [[WriteHardState(hard_state=HardState(term=2, voted_for=7))]]
    batches += [[WriteEntries(entries=(entry(i),))] for i in range(1, last + 1)]
    write(context.folder, batches, segment_bytes)


def copies(context):
    """Give one fresh copy of the folder after another."""
    base = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    number = 0
    while True:
        number += 1
        shutil.copytree(context.folder, base / str(number))
        yield base / str(number)


@given("a data folder with entries 1 to {last:d} in one file")
def one_file(context, last):
    make_folder(context, last, LARGE_BYTES)


@given("a data folder with entries 1 to {last:d} in small files")
def small_files(context, last):
    make_folder(context, last, SMALL_BYTES)


@when("a snapshot at index {index:d} is written that keeps entries from {first:d} on")
def snapshot_written(context, index, first):
    context.logs_before = sorted(context.folder.glob("log-*"))
    done = WriteSnapshot(snapshot=snapshot(index), reset=False, first_kept=first)
    write(context.folder, [[done]], SMALL_BYTES)


@then(
    "reading the folder gives entries {first:d} to {last:d} and the snapshot at {at:d}"
)
def reads_with_snapshot(context, first, last, at):
    durable = read(context.folder)
    kept = [e for e in durable.entries if e.index >= first]
    assert kept == [entry(i) for i in range(first, last + 1)], durable.entries
    assert durable.snapshot == snapshot(at), durable.snapshot
    assert durable.hard_state == HardState(term=2, voted_for=7), durable.hard_state


@then("files that hold only entries before {first:d} are gone")
def files_gone(context, first):
    remaining = sorted(context.folder.glob("log-*"))
    assert len(remaining) < len(context.logs_before), remaining
    lowest = read(context.folder).entries[0].index
    assert lowest <= first, lowest
    assert len(list(context.folder.glob("snapshot-*"))) == 1


@then("reading the folder gives entries {first:d} to {last:d}")
def reads_entries(context, first, last):
    durable = read(context.folder)
    assert [e.index for e in durable.entries] == list(range(first, last + 1))


def frame_ends(folder):
    data = (folder / FIRST_LOG).read_bytes()
    starts = [i for i in range(len(data)) if data.startswith(records.MAGIC, i)]
    return [*starts[1:], len(data)]


@then("cutting the file at any byte of the last frame leaves entries 1 to {last:d}")
def cut_anywhere(context, last):
    ends = frame_ends(context.folder)
    folders = copies(context)
    for size in range(ends[-2], ends[-1]):
        folder = next(folders)
        with (folder / FIRST_LOG).open("rb+") as file:
            file.truncate(size)
        indices = [e.index for e in read(folder).entries]
        assert indices == list(range(1, last + 1)), (size, indices)
        assert (folder / FIRST_LOG).stat().st_size == ends[-2]
    context.folder = folder


@then("after the cut entries are written and read back")
def written_after_cut(context):
    write(context.folder, [[WriteEntries(entries=(entry(5), entry(6)))]])
    assert [e.index for e in read(context.folder).entries] == [1, 2, 3, 4, 5, 6]


@when("a frame is torn whose command holds the bytes of a frame")
def tear_frame_in_frame(context):
    path = context.folder / FIRST_LOG
    size = path.stat().st_size
    inner = records.encode(b"inner", 0)
    write(context.folder, [[WriteEntries(entries=(entry(6, data=inner * 3),))]])
    data = path.read_bytes()
    path.write_bytes(data[:-1])
    assert path.stat().st_size > size + len(inner) * 2


@then("damaging any byte before the last frame fails with code {number:d}")
def damage_anywhere(context, number):
    ends = frame_ends(context.folder)
    folders = copies(context)
    for position in range(ends[-2]):
        folder = next(folders)
        data = bytearray((folder / FIRST_LOG).read_bytes())
        data[position] ^= 0x01
        (folder / FIRST_LOG).write_bytes(data)
        assert code_of_reading(folder) == number, position


@then("cutting the first file short fails with code {number:d}")
def cut_first_file(context, number):
    folder = next(copies(context))
    with (folder / FIRST_LOG).open("rb+") as file:
        file.truncate(file.seek(0, 2) - 1)
    assert code_of_reading(folder) == number


@then("removing a file between others fails with code {number:d}")
def remove_middle_file(context, number):
    folder = next(copies(context))
    (folder / "log-000000000002").unlink()
    assert code_of_reading(folder) == number


@when('the file "{name}" is damaged')
def damage_file(context, name):
    path = context.folder / name
    data = bytearray(path.read_bytes())
    data[-1] ^= 0xFF
    path.write_bytes(data)


@when('the file "{name}" is removed')
def remove_file(context, name):
    (context.folder / name).unlink()


@then("reading the folder fails with code {number:d}")
def reading_fails(context, number):
    assert code_of_reading(context.folder) == number, code_of_reading(context.folder)


@then("it holds no record of a founding")
def holds_no_record(context):
    assert storage(context.folder).read_founding() is None


@when("a record of a founding is kept in it")
def keep_record(context):
    storage(context.folder).keep_founding(RECORD)


@then("the same record of a founding is read back")
def read_record(context):
    assert storage(context.folder).read_founding() == RECORD


@then("reading the record of a founding fails with code {number:d}")
def reading_record_fails(context, number):
    numbers = []
    try:
        storage(context.folder).read_founding()
    except MothshuntError as error:
        numbers.append(error.failure.code.number)
    assert numbers == [number], numbers


@then("reading it twice at a time fails with code {number:d}")
def read_twice(context, number):
    first = storage(context.folder)
    first.open()
    assert code_of_reading(context.folder) == number
    first.close()
    assert code_of_reading(context.folder) is None


@then("reading it as another instance fails with code {number:d}")
def read_as_other(context, number):
    assert code_of_reading(context.folder, instance="b") == number


@when("entries {first:d} to {last:d} of term {term:d} replace the earlier ones")
def entries_replace(context, first, last, term):
    entries = tuple(entry(i, term) for i in range(first, last + 1))
    write(context.folder, [[WriteEntries(entries=entries)]])


@then('reading the folder gives entries 1 to {last:d} of terms "{terms}"')
def reads_terms(context, last, terms):
    entries = read(context.folder).entries
    expected = [int(term) for term in terms.split(",")]
    assert [e.term for e in entries] == expected, entries
    assert [e.index for e in entries] == list(range(1, last + 1)), entries


def no_space(*_):
    raise OSError(errno.ENOSPC, "no space left on device")


def write_until_log(folder, writes):
    """Write up to the log, as a process whose disk is full after the snapshot."""
    with patch.object(SegmentedLog, "append", no_space), suppress(OSError):
        write(folder, [writes])
    assert not list(folder.glob(f"*{files.ASIDE_SUFFIX}"))


@when("a snapshot at index {index:d} of term {term:d} is written without its reset")
def snapshot_without_reset(context, index, term):
    done = WriteSnapshot(
        snapshot=snapshot(index, term), reset=True, first_kept=index + 1
    )
    write_until_log(context.folder, [done])


@when(
    "a snapshot at index {index:d} of term {term:d} is written, and the disk is full"
    " before entries {first:d} to {last:d}"
)
def snapshot_before_entries(context, index, term, first, last):
    late = WriteEntries(entries=tuple(entry(i) for i in range(first, last + 1)))
    done = WriteSnapshot(snapshot=snapshot(index, term), reset=False, first_kept=1)
    write_until_log(context.folder, [late, done])


@when(
    "a process opens the folder and writes entries {first:d} to {last:d}"
    " of term {term:d}"
)
def opened_and_written(context, first, last, term):
    entries = tuple(entry(i, term) for i in range(first, last + 1))
    write(context.folder, [[WriteEntries(entries=entries)]])


@when("a process opens the folder while the disk is full")
def opened_while_full(context):
    context.errors = []
    opened = storage(context.folder)
    with patch.object(SegmentedLog, "append", no_space):
        try:
            opened.open()
        except OSError as error:
            context.errors.append(error)
    opened.close()


@then("it ended with an error of the disk")
def ended_with_disk_error(context):
    assert [error.errno for error in context.errors] == [errno.ENOSPC]


@then(
    "reading the folder gives the snapshot at {index:d}, and entries {first:d} to"
    " {last:d}"
)
def reads_after_snapshot(context, index, first, last):
    durable = read(context.folder)
    assert durable.snapshot.index == index, durable.snapshot
    later = [e.index for e in durable.entries if e.index > index]
    assert later == list(range(first, last + 1)), durable.entries


@then("a node started from the folder ends at entry {index:d}")
def node_ends_at(context, index):
    state = NodeState.from_durable(
        read(context.folder),
        instance="a",
        config=ConsensusConfig(),
        random=Random(1),
        now=0.0,
    )
    assert state.log.last_index == index, state.log.last_index


@when(
    "power is lost at each moment while a snapshot at index {index:d} drops files",
)
def power_lost_while_dropping(context, index):
    context.copies = copies(context)
    context.folders = []
    removed = {}
    unlink, sync_folder = Path.unlink, files.sync_folder

    def record_unlink(path, *arguments):
        removed[path.name] = path.read_bytes()
        unlink(path, *arguments)
        for count in range(len(removed) + 1):
            for kept in itertools.combinations(removed, count):
                folder = next(context.copies)
                for name in kept:
                    (folder / name).write_bytes(removed[name])
                context.folders.append(folder)

    def record_sync(folder):
        sync_folder(folder)
        removed.clear()

    done = WriteSnapshot(snapshot=snapshot(index), reset=False, first_kept=index + 1)
    with (
        patch.object(Path, "unlink", record_unlink),
        patch.object(files, "sync_folder", record_sync),
        patch.object(segments, "sync_folder", record_sync, create=True),
    ):
        write(context.folder, [[done]], SMALL_BYTES)


@then("after each combination of kept and lost removals the folder is read")
def reads_after_power_loss(context):
    assert len(context.folders) > 5, len(context.folders)
    for folder in context.folders:
        assert code_of_reading(folder) is None, sorted(folder.iterdir())


@then("a node started from the folder holds the snapshot and no entry")
def node_holds_snapshot(context):
    durable = read(context.folder)
    assert durable.entries == (), durable.entries
    state = NodeState.from_durable(
        durable, instance="a", config=ConsensusConfig(), random=Random(1), now=0.0
    )
    assert (state.log.base_index, state.log.base_term) == (4, 2)
    assert state.log.last_index == 4, state.log.last_index
    assert state.synced_index == 4, state.synced_index
