"""The program that runs one instance on the platform."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from mothshunt.core.types import InstanceId
from mothshunt.daemon.log_events import SettingsUnreadable
from mothshunt.daemon.routed import RoutedDaemon
from mothshunt.forwarding.model import HeaderConventions
from mothshunt.helpers import log
from mothshunt.helpers.bounded_stream import BoundedStream
from mothshunt.helpers.http_listener import HttpListener
from mothshunt.metrics.registry import Metrics
from mothshunt.platform import names
from mothshunt.platform.directory import DirectoryEndpoint
from mothshunt.platform.readiness import ReadinessEndpoint, refuse_malformed
from mothshunt.platform.settings import PlatformSettings, read_settings
from mothshunt.platform.values import BadValueError
from mothshunt.settings.config import Address

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_FATAL = 4
#: Time between two looks at the settings file, in seconds; it may change unannounced.
SETTINGS_INTERVAL_S = 1.0
#: Largest body of an operator's call: some thousands of routes.
MAX_CALL_BYTES = 8 * 1024 * 1024
METRIC_LINES_DROPPED = "mothshunt_log_lines_dropped_total"

_LOGGER = log.get_logger("platform")


@dataclass(slots=True, eq=False)
class Instance:
    """Run an instance and answer the platform's calls to it.

    :param path: The settings file.
    :param daemon: The instance.
    :param listeners: Where the platform's calls are answered.
    """

    path: Path
    daemon: RoutedDaemon
    listeners: list[HttpListener] = field(default_factory=list)
    _content: bytes = b""

    @classmethod
    def from_settings(
        cls, path: Path, content: bytes, settings: PlatformSettings
    ) -> "Instance":
        """Build an instance; nothing is started.

        :param path: The settings file.
        :param content: What it holds.
        :param settings: What it says.
        """
        daemon = RoutedDaemon.from_config(
            settings.settings,
            HeaderConventions(
                names=names.HEADERS, format_retry_after=names.format_retry_after
            ),
        )
        instance = cls(path, daemon, _content=content)
        instance._listen(settings)
        return instance

    def _listen(self, settings: PlatformSettings) -> None:
        daemon = self.daemon
        if daemon.control is not None:
            # An entry instance loads nothing of what it doesn't answer.
            from mothshunt.platform.endpoints import ControlEndpoints

            control = ControlEndpoints(daemon.control, settings.region_by_zone)
            self._add(settings.control, control.async_handle)
        directory = DirectoryEndpoint(daemon.directory)
        self._add(settings.directory, directory.async_handle)
        readiness = ReadinessEndpoint(lambda: daemon.is_ready)
        self._add(settings.readiness, readiness.async_handle)

    def _add(
        self,
        address: Address | None,
        handler: "Callable[[web.Request], object]",
    ) -> None:
        if address is None:
            return
        listener = HttpListener(
            host=address.host,
            port=address.port,
            handler=handler,  # type: ignore[arg-type]
            on_malformed=refuse_malformed,
            max_body_bytes=MAX_CALL_BYTES,
        )
        self.listeners.append(listener)

    async def async_start(self) -> None:
        """Answer the platform's calls, and start the instance."""
        for listener in self.listeners:
            await listener.async_start()
        await self.daemon.async_start()

    async def async_stop(self) -> None:
        """Stop whatever was started."""
        await self.daemon.async_stop()
        for listener in self.listeners:
            await listener.async_stop()

    async def async_follow_settings(self) -> None:
        """Read the settings file again whenever it changed."""
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Read the settings file again; one that can't be read changes nothing."""
        try:
            content = self.path.read_bytes()
            if content == self._content:
                return
            settings = read_settings(content)
        except (OSError, BadValueError) as error:
            log.write(SettingsUnreadable(error=str(error)))
            return
        self._content = content
        self.daemon.reload(settings.settings)


def read_instance() -> Instance | None:
    """Build the instance that the settings file describes; ``None`` if it can't be."""
    path = Path(os.environ.get(names.ENV_SETTINGS, ""))
    try:
        content = path.read_bytes()
        settings = read_settings(content)
    except (OSError, BadValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return None
    instance = Instance.from_settings(path, content, settings)
    set_up_logs(settings, instance.daemon.metrics)
    return instance


def run(instance: Instance) -> int:
    """Run an instance until it is told to stop; return the exit code.

    :param instance: The instance.
    """
    return asyncio.run(async_run(instance))


def set_up_logs(settings: PlatformSettings, metrics: Metrics) -> None:
    """Send all logs to standard output, without ever waiting for its reader.

    :param settings: What the settings file says.
    :param metrics: Counts the lines that nobody took.
    """

    def count(lines: int) -> None:
        metrics.count(METRIC_LINES_DROPPED, lines, slice="process")

    stream = BoundedStream(sys.stdout.fileno(), count)
    log.set_up(InstanceId(settings.name), settings.settings.log_level, stream)


async def async_run(instance: Instance) -> int:
    """Run an instance until it is told to stop; return the exit code.

    :param instance: The instance.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, instance.reload)
    instance.daemon.on_fatal(stop.set)
    starting = asyncio.create_task(instance.async_start())
    following = asyncio.create_task(instance.async_follow_settings())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait([starting, stopping], return_when=asyncio.FIRST_COMPLETED)
    failed = starting.done() and starting.exception() is not None
    if failed:
        _LOGGER.error("the start failed", error=repr(starting.exception()))
    elif starting.done():
        await stop.wait()
    starting.cancel()
    following.cancel()
    await asyncio.gather(starting, following, return_exceptions=True)
    await instance.async_stop()
    stopping.cancel()
    return EXIT_FATAL if failed or instance.daemon.fatal is not None else EXIT_OK
