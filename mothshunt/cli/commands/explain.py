"""Command that explains a request from the logs; it asks no instance."""

import argparse
from pathlib import Path

from expression import Error, Ok, Result

from mothshunt.cli import story
from mothshunt.cli.log_lines import LogBook
from mothshunt.cli.model import CommandFailure, CommandOutput, ExitCode
from mothshunt.cli.parsing import Subparsers, add_local_command


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


def explain_request(
    arguments: argparse.Namespace,
) -> Result[CommandOutput, CommandFailure]:
    """Tell the story of a request.

    :param arguments: Hold the request's id and the files.
    """
    book = LogBook()
    for file in arguments.files:
        try:
            with Path(file).open(encoding="utf-8", errors="replace") as lines:
                book.read(lines)
        except OSError as error:
            text = f"{file}: {error.strerror}"
            return Error(CommandFailure(exit_code=ExitCode.USAGE, text=text))
    document = story.tell(book, arguments.request_id)
    if document is None:
        text = (
            f"no line names the request {arguments.request_id}; it may have been left "
            f"out under load (bad lines: {book.bad_lines})"
        )
        return Error(CommandFailure(exit_code=ExitCode.REFUSED, text=text))
    return Ok(CommandOutput(document=document))
