"""The program ``mothshuntd``."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from expression import Result

from mothshunt import __version__
from mothshunt.core.codes import Failure, MothshuntError
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
            return asyncio.run(async_run(settings, Path(parsed.config)))
        case Result(error=failures):
            for failure in failures:
                print(_line(parsed.config, failure), file=sys.stderr)
            return EXIT_BAD_SETTINGS


class Instance(Protocol):
    """Run one instance of a deployment, whichever way it routes."""

    fatal: Failure | None

    def on_fatal(self, listener: Callable[[], None]) -> None:
        """Call a listener when the instance can't go on; ``fatal`` then tells why.

        :param listener: Called in the event loop.
        """
        ...

    def reload(self, settings: Settings) -> None:
        """Take changed settings; what can't change while running stays as it is.

        :param settings: The new settings.
        """
        ...

    async def async_start(self) -> None:
        """Start, and serve once the configuration is current."""
        ...

    async def async_stop(self) -> None:
        """Leave gracefully, then stop whatever was started."""
        ...


def instance_of(settings: Settings) -> Instance:
    """Build an instance; nothing is started.

    :param settings: Settings of the instance.
    """
    # The other way to route is not loaded: the start is sooner.
    if settings.routing is not None:
        from mothshunt.daemon.routed import RoutedDaemon

        return RoutedDaemon.from_config(settings)
    from mothshunt.daemon.app import Daemon

    return Daemon.from_config(settings)


async def async_run(settings: Settings, path: Path) -> int:
    """Run an instance until it is told to stop; return the exit code.

    :param settings: Settings of the instance.
    :param path: File that they were read from; read again on SIGHUP.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon = instance_of(settings)
    loop.add_signal_handler(signal.SIGHUP, _reload, daemon, path)
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


def _reload(daemon: Instance, path: Path) -> None:
    match Settings.from_file(path):
        case Result(tag="ok", ok=settings):
            daemon.reload(settings)
        case Result(error=failures):
            for failure in failures:
                _LOGGER.failure("the settings can't be read", failure)


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
