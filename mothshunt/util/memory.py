"""Memory of the process."""

import resource
import sys

#: Unit of the kernel's figure: kibibytes on Linux, bytes on macOS.
_UNIT_BYTES = 1 if sys.platform == "darwin" else 1024


def peak_memory_bytes() -> int:
    """Return the largest resident memory that this process has had, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _UNIT_BYTES
