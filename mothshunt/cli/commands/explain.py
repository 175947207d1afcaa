"""Commands that explain requests from the logs; they ask no instance."""

import argparse
import math
from collections.abc import Sequence
from pathlib import Path

from expression import Error, Ok, Result

from mothshunt.cli import losses, story
from mothshunt.cli.log_lines import LogBook
from mothshunt.cli.model import CommandFailure, CommandOutput, ExitCode
from mothshunt.cli.parsing import Subparsers, add_local_command

#: Length of the steps of time that losses are summed up by, in seconds.
DEFAULT_STEP_S = 2.0
#: Shortest such step, in seconds.
MIN_STEP_S = 0.01


def add_commands(subparsers: Subparsers) -> None:
    """Add the commands of this module.

    :param subparsers: Where to add them.
    """
    explain = add_local_command(
        subparsers,
        "explain",
        "tell the story of a request from the logs of any number of processes",
        explain_request,
    )
    explain.add_argument("request_id", metavar="ID", help="id of the request")
    explain.add_argument("files", nargs="+", metavar="FILE", help="files with logs")
    lost = add_local_command(
        subparsers,
        "losses",
        "sum up which requests were refused, failed or late, when and why",
        sum_up_losses,
    )
    lost.add_argument("files", nargs="+", metavar="FILE", help="files with logs")
    lost.add_argument(
        "--step",
        type=positive_seconds,
        default=DEFAULT_STEP_S,
        metavar="SECONDS",
        help="length of the steps of time (default: %(default)s)",
    )
    lost.add_argument(
        "--by-instance",
        action="store_true",
        help="tell the instance in place of the route",
    )


def positive_seconds(text: str) -> float:
    """Read a time of the command line, in seconds.

    :param text: The time.
    :raises argparse.ArgumentTypeError: It is no time above 0.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not MIN_STEP_S <= seconds < math.inf:
        raise argparse.ArgumentTypeError(f"{text} is no time of {MIN_STEP_S} s or more")
    return seconds


def sum_up_losses(
    arguments: argparse.Namespace,
) -> Result[CommandOutput, CommandFailure]:
    """Sum up what was lost.

    :param arguments: Hold the files, the step and what the rows tell.
    """
    book = _read(arguments.files)
    if book.is_error():
        return Error(book.error)
    document = losses.sum_up(book.ok, arguments.step, by_instance=arguments.by_instance)
    if document is None:
        text = f"no line could be read (bad lines: {book.ok.bad_lines})"
        return Error(CommandFailure(exit_code=ExitCode.REFUSED, text=text))
    return Ok(CommandOutput(document=document))


def explain_request(
    arguments: argparse.Namespace,
) -> Result[CommandOutput, CommandFailure]:
    """Tell the story of a request.

    :param arguments: Hold the request's id and the files.
    """
    book = _read(arguments.files)
    if book.is_error():
        return Error(book.error)
    document = story.tell(book.ok, arguments.request_id)
    if document is None:
        text = (
            f"no line names the request {arguments.request_id}; it may have been left "
            f"out under load (bad lines: {book.ok.bad_lines})"
        )
        return Error(CommandFailure(exit_code=ExitCode.REFUSED, text=text))
    return Ok(CommandOutput(document=document))


def _read(files: Sequence[str]) -> Result[LogBook, CommandFailure]:
    book = LogBook()
    for file in files:
        try:
            with Path(file).open(encoding="utf-8", errors="replace") as lines:
                book.read(lines)
        except OSError as error:
            text = f"{file}: {error.strerror}"
            return Error(CommandFailure(exit_code=ExitCode.USAGE, text=text))
    return Ok(book)
