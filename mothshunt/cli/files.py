"""Files that commands send."""

import sys
from pathlib import Path

from expression import Error, Ok, Result

from mothshunt.cli.model import CommandFailure, ExitCode

STANDARD_INPUT = "-"


def read_text(file: str) -> Result[bytes, CommandFailure]:
    """Read a file that a command sends.

    :param file: Path of the file; ``-`` reads standard input.
    """
    try:
        if file == STANDARD_INPUT:
            return Ok(sys.stdin.buffer.read())
        return Ok(Path(file).read_bytes())
    except OSError as error:
        text = f"{file}: {error.strerror}"
        return Error(CommandFailure(exit_code=ExitCode.USAGE, text=text))
