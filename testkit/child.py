"""Become a command that ends when the process that started it ends.

A test that is killed can't end what it started; the kernel does it then.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1


def main() -> None:
    """Replace this process by the command on the command line."""
    parent = int(sys.argv[1])
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        sys.exit(1)
    os.execv(sys.argv[2], sys.argv[2:])


if __name__ == "__main__":
    main()
