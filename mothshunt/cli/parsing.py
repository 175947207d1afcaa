"""Building blocks of the parsers of commands."""

import argparse
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from expression import Result

from mothshunt.cli.client import ApiClient
from mothshunt.cli.model import CommandFailure, CommandOutput
from mothshunt.cli.output import FORMAT_JSON, FORMAT_TABLE

if TYPE_CHECKING:
    Subparsers = argparse._SubParsersAction[argparse.ArgumentParser]
else:
    Subparsers = argparse.Action

Command = Callable[
    [ApiClient, argparse.Namespace], Awaitable[Result[CommandOutput, CommandFailure]]
]
LocalCommand = Callable[[argparse.Namespace], Result[CommandOutput, CommandFailure]]


def add_group(subparsers: Subparsers, name: str, help_text: str) -> Subparsers:
    """Add a group of commands.

    :param subparsers: Where to add it.
    :param name: Name of the group.
    :param help_text: What its commands do.
    :return: Where to add its commands.
    """
    parser = subparsers.add_parser(
        name, help=help_text, description=_sentence(help_text)
    )
    return parser.add_subparsers(metavar="COMMAND", required=True)


def add_command(
    subparsers: Subparsers, name: str, help_text: str, command: Command
) -> argparse.ArgumentParser:
    """Add a command.

    :param subparsers: Where to add it.
    :param name: Name of the command.
    :param help_text: What it does.
    :param command: Carries it out.
    :return: Parser of its options.
    """
    parser = _add_parser(subparsers, name, help_text)
    parser.set_defaults(command=command)
    add_connection_options(parser, default=argparse.SUPPRESS)
    return parser


def add_local_command(
    subparsers: Subparsers, name: str, help_text: str, command: LocalCommand
) -> argparse.ArgumentParser:
    """Add a command that asks no instance.

    :param subparsers: Where to add it.
    :param name: Name of the command.
    :param help_text: What it does.
    :param command: Carries it out.
    :return: Parser of its options.
    """
    parser = _add_parser(subparsers, name, help_text)
    parser.set_defaults(local_command=command)
    _add_output_option(parser, argparse.SUPPRESS)
    return parser


def _add_parser(
    subparsers: Subparsers, name: str, help_text: str
) -> argparse.ArgumentParser:
    return subparsers.add_parser(name, help=help_text, description=_sentence(help_text))


def add_connection_options(parser: argparse.ArgumentParser, default: object) -> None:
    """Add the options that all commands share.

    :param parser: The parser.
    :param default: Default of each option; suppressed in commands, so that an option
        that stands before the command is kept.
    """
    group = parser.add_argument_group("options of all commands")
    group.add_argument(
        "--admin",
        action="append",
        metavar="URL",
        default=default,
        help="base URL of an administration API; repeat it for several, which are "
        "tried in turn (default: MOTHSHUNT_ADMIN, separated by commas)",
    )
    group.add_argument(
        "--token-file",
        metavar="FILE",
        default=default,
        help="file that holds the operator's token (default: MOTHSHUNT_TOKEN is the "
        "token)",
    )
    _add_output_option(group, default)
    group.add_argument(
        "--timeout",
        type=float,
        metavar="S",
        default=default,
        help="seconds in which to try again before giving up (default: 20)",
    )
    group.add_argument(
        "--wait-timeout",
        type=float,
        metavar="S",
        default=default,
        help="seconds that --wait waits (default: 30)",
    )


def _add_output_option(parser: "argparse._ActionsContainer", default: object) -> None:
    parser.add_argument(
        "--output",
        choices=(FORMAT_TABLE, FORMAT_JSON),
        default=default,
        help="form of the answer (default: table)",
    )


def _sentence(help_text: str) -> str:
    return help_text[0].upper() + help_text[1:] + "."
