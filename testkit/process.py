"""Processes that the kit starts, signals and ends by their own pid."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

KILL_WAIT_S = 10.0
POLL_S = 0.05
REPOSITORY = Path(__file__).resolve().parent.parent
_CHILD_SCRIPT = Path(__file__).resolve().parent / "child.py"


class ManagedProcess:
    """Run one Python module as a process; only this process is ever signalled.

    :param name: Name for messages and for the log file.
    :param module: Module to run, as after ``python -m``.
    :param arguments: Its command line.
    :param log_path: File that its output is added to.
    """

    def __init__(
        self, *, name: str, module: str, arguments: list[str], log_path: Path
    ) -> None:
        self.name = name
        self.log_path = log_path
        self._command = [
            *(sys.executable, "-S", "-I", str(_CHILD_SCRIPT), str(os.getpid())),
            *(sys.executable, "-m", module, *arguments),
        ]
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, which must not be running."""
        assert not self.is_running(), f"{self.name} is running"
        environment = {**os.environ, "PYTHONPATH": str(REPOSITORY)}
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=self.log_path.parent,
                # A terminal's Ctrl-C is for the kit, which then stops what it started.
                start_new_session=True,
            )

    def is_running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Return the pid of the process."""
        assert self._process is not None, f"{self.name} was never started"
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or ``None`` before there is one."""
        return None if self._process is None else self._process.poll()

    def kill(self) -> None:
        """End the process at once, as a crash would."""
        if self.is_running():
            self._signal(signal.SIGKILL)
            self.wait(KILL_WAIT_S)

    def freeze(self) -> None:
        """Stop the process from running until ``thaw``."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process run on."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a graceful stop without waiting for it."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the end of the process and return its exit code.

        :param timeout_s: Seconds to wait.
        :raises TimeoutError: When it is still running then.
        """
        assert self._process is not None, f"{self.name} was never started"
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            text = f"{self.name} did not end within {timeout_s} s\n{self.log_tail()}"
            raise TimeoutError(text) from None

    def log_tail(self, lines: int = 20) -> str:
        """Return the last lines of the log file.

        :param lines: How many.
        """
        if not self.log_path.exists():
            return ""
        return "\n".join(
            self.log_path.read_text(errors="replace").splitlines()[-lines:]
        )

    def _signal(self, number: int) -> None:
        if not self.is_running():
            return
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)


def wait_until(
    condition: Callable[[], bool], timeout_s: float, what: str, poll_s: float = POLL_S
) -> float:
    """Wait until a condition holds and return the seconds that it took.

    :param condition: Asked again and again.
    :param timeout_s: Seconds to wait.
    :param what: Name of the condition, for the error.
    :param poll_s: Seconds between two questions.
    :raises TimeoutError: When it does not hold in time.
    """
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout_s:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        time.sleep(poll_s)
    return time.monotonic() - start
