"""Text stream that never blocks on its reader."""

import os
from collections.abc import Callable


class BoundedStream:
    """Text stream to a file descriptor that drops lines instead of blocking.

    A reader that stops reading must not block the process.

    :param descriptor: File descriptor, such as that of standard output.
    :param on_dropped: Called with the number of lines that were dropped.
    """

    def __init__(self, descriptor: int, on_dropped: Callable[[int], None]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._on_dropped = on_dropped
        self._unwritten = b""

    def write(self, text: str) -> int:
        """Write a text, or drop it if the descriptor would block or fails.

        :param text: Complete lines.
        :return: Number of characters in the text.
        """
        data = text.encode("utf-8", "backslashreplace")
        try:
            self._flush_unwritten()
            if self._unwritten:
                self._on_dropped(1)
                return len(text)
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._on_dropped(1)
            return len(text)
        except OSError:
            # The reader is gone, so nothing can be written; the line is only counted.
            self._on_dropped(1)
            return len(text)
        # The rest of a partly written line is written before the next text.
        self._unwritten = data[written:]
        return len(text)

    def _flush_unwritten(self) -> None:
        if self._unwritten:
            written = os.write(self._descriptor, self._unwritten)
            self._unwritten = self._unwritten[written:]

    def flush(self) -> None:
        """Do nothing; text that the descriptor accepts is written at once."""

    def close(self) -> None:
        """Do nothing; the descriptor belongs to the process."""
