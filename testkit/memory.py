"""Memory of a process, read from outside."""

from pathlib import Path

_BYTES_PER_KIB = 1024


def resident_bytes(pid: int) -> int:
    """Return the memory that a process has now, in bytes.

    :param pid: Its id.
    """
    return _status_bytes(pid, "VmRSS")


def peak_resident_bytes(pid: int) -> int:
    """Return the most memory that a process had since its start, in bytes.

    :param pid: Its id.
    """
    return _status_bytes(pid, "VmHWM")


def _status_bytes(pid: int, name: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        key, _, value = line.partition(":")
        if key == name:
            return int(value.split()[0]) * _BYTES_PER_KIB
    raise ValueError(f"process {pid} has no {name}")
