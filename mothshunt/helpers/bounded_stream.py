"""Text stream that never waits for its reader."""

import os
from collections.abc import Callable


class BoundedStream:
    """Write lines to a file descriptor, and drop what it does not take at once.

    A reader that stops reading must not stop the process. What was dropped is told
    with the next line that is taken.

    :param descriptor: File descriptor, such as that of standard output.
    :param on_dropped: Called with the lines that were dropped.
    """

    def __init__(self, descriptor: int, on_dropped: Callable[[int], None]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._on_dropped = on_dropped
        self._rest = b""

    def write(self, text: str) -> int:
        """Write a text, or drop it.

        :param text: Whole lines.
        :return: Characters of the text.
        """
        data = text.encode("utf-8", "backslashreplace")
        try:
            self._flush_rest()
            if self._rest:
                self._on_dropped(1)
                return len(text)
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._on_dropped(1)
            return len(text)
        except OSError:
            # Without a reader there is nobody to tell; the counter tells of it.
            self._on_dropped(1)
            return len(text)
        # The end of a line that was begun goes first next time.
        self._rest = data[written:]
        return len(text)

    def _flush_rest(self) -> None:
        if self._rest:
            written = os.write(self._descriptor, self._rest)
            self._rest = self._rest[written:]

    def flush(self) -> None:
        """Do nothing; nothing is kept that the descriptor would take."""

    def close(self) -> None:
        """Do nothing; the descriptor belongs to the process."""
