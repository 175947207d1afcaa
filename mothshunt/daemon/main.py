"""The program ``mothshuntd``."""

import argparse
import asyncio
import signal
import sys
from pathlib import Path

from expression import Result

from mothshunt import __version__
from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.daemon.app import Daemon
from mothshunt.helpers import log
from mothshunt.settings.config import Settings

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_REFUSED = 3
EXIT_FATAL = 4

_LOGGER = log.get_logger("daemon")


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon; return the exit code.

    :param arguments: Arguments of the command line, without the program's name.
    """
    parsed = _parser().parse_args(arguments)
    match Settings.from_file(Path(parsed.config)):
        case Result(tag="ok", ok=settings):
            if parsed.check:
                print(f"{parsed.config}: the settings are valid")
                return EXIT_OK
            log.set_up(settings.instance.id, settings.log_level)
            return asyncio.run(async_run(settings))
        case Result(error=failures):
            for failure in failures:
                print(_line(parsed.config, failure), file=sys.stderr)
            return EXIT_BAD_SETTINGS


async def async_run(settings: Settings) -> int:
    """Run an instance until it is told to stop; return the exit code.

    :param settings: Settings of the instance.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon = Daemon.from_config(settings)
    daemon.on_fatal(stop.set)
    starting = asyncio.create_task(daemon.async_start())
    stopping = asyncio.create_task(stop.wait())
    code = EXIT_OK
    await asyncio.wait([starting, stopping], return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        code = _start_result(starting)
    if code == EXIT_OK:
        await stop.wait()
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    await daemon.async_stop()
    stopping.cancel()
    return EXIT_FATAL if daemon.fatal is not None else code


def _start_result(starting: "asyncio.Task[None]") -> int:
    error = starting.exception()
    if error is None:
        return EXIT_OK
    if isinstance(error, MothshuntError):
        _LOGGER.failure("the instance could not start", error.failure)
    else:
        _LOGGER.error("the instance could not start", error=repr(error))
    return EXIT_REFUSED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mothshuntd", description="Run one instance of mothshunt."
    )
    parser.add_argument("--config", required=True, help="JSON file with the settings")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def _line(path: str, failure: Failure) -> str:
    return f"{path}: {failure.code.number} {failure.path}: {failure.detail}"


if __name__ == "__main__":
    sys.exit(main())
