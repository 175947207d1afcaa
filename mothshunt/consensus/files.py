"""Whole files in the data folder, replaced atomically."""

import os
from pathlib import Path

from mothshunt.consensus import codes, records
from mothshunt.core.codes import Failure, MothshuntError

ASIDE_SUFFIX = ".tmp"
_SEED = 0


def sync_folder(folder: Path) -> None:
    """Make the names in a folder durable.

    :param folder: The folder.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace(path: Path, payload: bytes) -> None:
    """Write a file aside, sync it, rename it and sync the folder.

    :param path: The file.
    :param payload: Its new content.
    """
    aside = path.with_name(path.name + ASIDE_SUFFIX)
    with aside.open("wb") as file:
        file.write(records.encode(payload, _SEED))
        file.flush()
        os.fsync(file.fileno())
    aside.replace(path)
    sync_folder(path.parent)


def read(path: Path) -> bytes | None:
    """Return the content of a file, ``None`` where there is none.

    :param path: The file.
    :raises MothshuntError: With code 4021 when it is damaged.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    scan = records.scan(data, _SEED)
    if scan.tail is not records.Tail.WHOLE or len(scan.payloads) != 1:
        raise damaged(path, "its checksum does not match")
    return scan.payloads[0]


def damaged(path: Path, detail: str) -> MothshuntError:
    """Return the error for a damaged state file.

    :param path: The file.
    :param detail: What is wrong with it.
    """
    failure = Failure(code=codes.STATE_DAMAGED, path=str(path), detail=detail)
    return MothshuntError(failure)
