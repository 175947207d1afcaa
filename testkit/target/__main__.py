"""Run stand-in targets: ``python -m testkit.target --config FILE``, or one by flags."""

import argparse
import asyncio
import signal
import sys
from pathlib import Path

import aiohttp

from testkit.target.config import Endpoint, TargetConfig, TargetHostConfig
from testkit.target.runs import RunRecord, journal_path
from testkit.target.server import StandInTarget


def parse_arguments(arguments: list[str] | None = None) -> TargetHostConfig:
    """Return the settings that the command line asks for.

    :param arguments: Words of the command line; those of the process by default.
    """
    parser = argparse.ArgumentParser(
        prog="python -m testkit.target", description="Runs stand-in targets."
    )
    parser.add_argument(
        "--config", type=Path, help="JSON file with entries and targets"
    )
    parser.add_argument("--entry", action="append", default=[], help="IP:PORT")
    parser.add_argument("--target", help="name of the target")
    parser.add_argument("--customer")
    parser.add_argument("--service")
    parser.add_argument("--region")
    parser.add_argument("--availability-zone")
    parser.add_argument("--listen", help="IP:PORT")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--service-time-ms", type=float, default=5.0)
    options = parser.parse_args(arguments)
    if options.config is not None:
        result = TargetHostConfig.from_file(options.config)
        if result.is_error():
            parser.error("; ".join(f"{f.path}: {f.problem}" for f in result.error))
        return result.ok
    needed = ("target", "customer", "service", "region", "availability_zone", "listen")
    missing = [name for name in needed if getattr(options, name) is None]
    if missing or not options.entry:
        parser.error("give --config, or --entry and all of: " + ", ".join(needed))
    target = TargetConfig(
        target=options.target,
        customer=options.customer,
        service=options.service,
        region=options.region,
        availability_zone=options.availability_zone,
        listen=_endpoint(options.listen),
        slots=options.slots,
        service_time_ms=options.service_time_ms,
    )
    entries = tuple(_endpoint(text) for text in options.entry)
    return TargetHostConfig(entries=entries, targets=(target,))


def _endpoint(text: str) -> Endpoint:
    host, _, port = text.rpartition(":")
    return Endpoint(host=host, port=int(port))


def _record(config: TargetHostConfig, target: TargetConfig) -> RunRecord:
    if config.runs_folder is None:
        return RunRecord()
    path = journal_path(Path(config.runs_folder), target.target)
    return RunRecord(journal=path.open("ab", buffering=0))


async def async_run(config: TargetHostConfig) -> None:
    """Run targets until SIGTERM or SIGINT, then let them leave.

    :param config: The targets.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with aiohttp.ClientSession() as session:
        targets = [
            StandInTarget(
                config=item,
                entries=config.entries,
                session=session,
                record=_record(config, item),
            )
            for item in config.targets
        ]
        await asyncio.gather(*(target.async_start() for target in targets))
        print("listening", flush=True)
        await stop.wait()
        await asyncio.gather(*(target.async_stop() for target in targets))


def main() -> int:
    """Run the command line; return the exit code."""
    asyncio.run(async_run(parse_arguments()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
