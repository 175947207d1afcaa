"""Entry point of the program ``mothshunt``."""

import argparse
import asyncio
import os
import sys
from pathlib import Path

from expression import Error, Ok, Result

from mothshunt import __version__
from mothshunt.cli.client import ApiClient
from mothshunt.cli.commands import (
    contract,
    drain,
    explain,
    members,
    operators,
    routing,
    status,
)
from mothshunt.cli.const import (
    DEFAULT_TIMEOUT_S,
    DEFAULT_WAIT_S,
    ENV_ADMIN,
    ENV_TOKEN,
)
from mothshunt.cli.model import CommandFailure, CommandOutput, ExitCode
from mothshunt.cli.output import FORMAT_TABLE, print_document, print_failure
from mothshunt.cli.parsing import LocalCommand, add_connection_options

DESCRIPTION = "Operate a mothshunt deployment through its administration API."
EPILOG = """\
exit codes:
  0  done
  1  a check found warnings, but no error
  2  wrong usage, or a check found errors
  3  refused; nothing was changed
  4  conflict: another change was accepted first
  5  the outcome is unknown; ask with: mothshunt change show ID
  6  no instance could be reached
  7  accepted, but not seen in force or drained within --wait-timeout
  130  interrupted; a change that was sent may have been accepted

examples:
  export MOTHSHUNT_ADMIN=http://127.0.0.1:7002,http://127.0.0.1:7012
  export MOTHSHUNT_TOKEN=...
  mothshunt contract apply rackhaven.json --wait
  mothshunt drain add availability-zone north-a --wait
  mothshunt routing check routes.json && mothshunt routing apply routes.json
  mothshunt status --output json
  mothshunt explain 4e7bef8d14c3fe79 /var/log/mothshunt/*.log
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="mothshunt",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"mothshunt {__version__}"
    )
    add_connection_options(parser, default=None)
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)
    contract.add_commands(subparsers)
    drain.add_commands(subparsers)
    routing.add_commands(subparsers)
    status.add_commands(subparsers)
    members.add_commands(subparsers)
    operators.add_commands(subparsers)
    explain.add_commands(subparsers)
    return parser


def main() -> None:
    """Run one command and exit with its exit code."""
    arguments = build_parser().parse_args()
    _set_defaults(arguments)
    try:
        exit_code = run(arguments)
    except KeyboardInterrupt:
        exit_code = ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader has gone, as head does; keep the interpreter from flushing.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        exit_code = ExitCode.OK
    sys.exit(exit_code)


def run(arguments: argparse.Namespace) -> ExitCode:
    """Run one command and print its output.

    :param arguments: Parsed options with their defaults set.
    :return: Exit code of the process.
    """
    local_command: LocalCommand | None = getattr(arguments, "local_command", None)
    if local_command is not None:
        result = local_command(arguments)
    else:
        result = asyncio.run(_async_run(arguments))
    if result.is_error():
        print_failure(result.error, arguments.output, sys.stderr)
        return result.error.exit_code
    print_document(result.ok.document, arguments.output, sys.stdout)
    sys.stdout.flush()
    return result.ok.exit_code


async def _async_run(
    arguments: argparse.Namespace,
) -> Result[CommandOutput, CommandFailure]:
    token = _token(arguments)
    if token.is_error():
        return Error(token.error)
    if not arguments.admin and getattr(arguments, "needs_deployment", True):
        text = f"no administration API: use --admin URL or set {ENV_ADMIN}"
        return Error(CommandFailure(exit_code=ExitCode.USAGE, text=text))
    async with ApiClient(arguments.admin, token.ok, arguments.timeout) as client:
        result: Result[CommandOutput, CommandFailure] = await arguments.command(
            client, arguments
        )
        return result


def _set_defaults(arguments: argparse.Namespace) -> None:
    if arguments.admin is None:
        addresses = os.environ.get(ENV_ADMIN, "").split(",")
        arguments.admin = [text.strip() for text in addresses if text.strip()]
    if arguments.output is None:
        arguments.output = FORMAT_TABLE
    if arguments.timeout is None:
        arguments.timeout = DEFAULT_TIMEOUT_S
    if arguments.wait_timeout is None:
        arguments.wait_timeout = DEFAULT_WAIT_S


def _token(arguments: argparse.Namespace) -> Result[str | None, CommandFailure]:
    if arguments.token_file is None:
        return Ok(os.environ.get(ENV_TOKEN))
    try:
        return Ok(Path(arguments.token_file).read_text().strip())
    except OSError as error:
        text = f"{arguments.token_file}: {error.strerror}"
        return Error(CommandFailure(exit_code=ExitCode.USAGE, text=text))


if __name__ == "__main__":
    main()
