"""Stand-ins for many entry instances: their control half in one process.

Usage: ``python -m bench.stand_ins PLAN``; the plan is a JSON file with a list of
settings files. Prints ``ready`` when all have joined, then the bytes on their streams
from time to time, until ``SIGTERM``.
"""

import asyncio
import json
import random
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

from expression import Result

from mothshunt.core.types import CustomerId, InstanceState
from mothshunt.daemon.base import Base
from mothshunt.discovery import const
from mothshunt.discovery.announcements import Announcements
from mothshunt.discovery.coordinator import DiscoveryCoordinator
from mothshunt.discovery.messages import AnnouncedLoad, Announcement, TargetRows
from mothshunt.discovery.state import TargetTable
from mothshunt.limits.coordinator import LeaseHolderCoordinator
from mothshunt.limits.holder import LeaseHolder
from mothshunt.limits.model import LimitKey, LimitKind, Permit
from mothshunt.settings.config import Settings

CUSTOMER = CustomerId("rackhaven")
TARGETS_PER_STAND_IN = 3
COUNT_INTERVAL_S = 0.5
LOADS = (0, 1, 2, 3, 4)


@dataclass(slots=True, eq=False)
class ControlHalf:
    """Run all that an entry instance runs, but for its HTTP servers.

    :param base: Parts that every instance has.
    :param discovery: Targets that are known.
    """

    base: Base
    discovery: DiscoveryCoordinator
    _announced: set[int] = field(default_factory=set)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    @classmethod
    def from_config(cls, settings: Settings) -> "ControlHalf":
        """Build a stand-in.

        :param settings: Settings of the instance that it stands for.
        """
        base = Base.from_config(settings)
        table = TargetTable()
        discovery = DiscoveryCoordinator(
            network=base.network,
            clock=base.clock,
            source=base.holder,
            entries=base.view,
            hub=base.uplink.hub,
            table=table,
            announcements=Announcements(settings.instance.id, table),
        )
        return cls(base, discovery)

    async def async_start(self) -> None:
        """Join the deployment and follow it."""
        base = self.base

        def on_target_rows(peer: str, rows: TargetRows) -> None:
            if peer == base.uplink.hub():
                self.discovery.apply_rows(rows)

        await base.async_start()
        base.network.on_message(TargetRows, on_target_rows)
        base.uplink.on_attach(self.discovery.on_attach)
        await base.async_connect()
        match await base.reporter.async_join():
            case Result(tag="ok", ok=incarnation):
                pass
            case Result(error=failure):
                raise SystemExit(failure.detail)
        await base.follower.async_wait_until_current()
        await self.discovery.async_start()
        limits = LeaseHolderCoordinator(
            instance=base.settings.instance.id,
            incarnation=incarnation,
            region=base.settings.instance.region,
            configuration=base.holder,
            control=base.uplink,
            clock=base.clock,
            metrics=base.metrics,
        )
        await limits.async_start()
        base.reporter.set_state(InstanceState.READY)
        base.load.read = lambda: random.choice(LOADS)
        self._tasks.append(asyncio.create_task(self._async_announce()))
        self._tasks.append(asyncio.create_task(self._async_use_shares(limits.holder)))

    async def _async_use_shares(self, holder: LeaseHolder) -> None:
        """Hold room for a number of requests that changes."""
        region = self.base.settings.instance.region
        key = LimitKey(customer=CUSTOMER, kind=LimitKind.REGION, name=region)
        limit_set = holder.limit_set((key,))
        permits: list[Permit] = []
        while True:
            now = self.base.clock.monotonic()
            for permit in permits:
                holder.release(permit, now)
            permits.clear()
            for _ in range(random.choice(LOADS)):
                if holder.check_capacity(limit_set, idempotent=False, now=now) is None:
                    permits.append(holder.acquire(limit_set, now))
            await asyncio.sleep(const.RENEW_INTERVAL_MS / 1000)

    async def _async_announce(self) -> None:
        """Renew the announcements of a few targets, with a load that changes."""
        while True:
            for number in range(TARGETS_PER_STAND_IN):
                announcement = self._announcement(number)
                now = self.base.clock.monotonic()
                match self.discovery.announcements.announce(announcement, now):
                    case Result(tag="ok", ok=row):
                        if number not in self._announced:
                            self.discovery.send_soon(row)
                            self._announced.add(number)
                    case Result(error=failure):
                        raise SystemExit(failure.detail)
            await asyncio.sleep(const.RENEW_INTERVAL_MS / 1000)

    def _announcement(self, number: int) -> Announcement:
        own = self.base.settings.instance
        return Announcement(
            target=f"{own.id}-target-{number}",
            incarnation=1,
            customer=CUSTOMER,
            service="cabinet-status",
            host="127.0.0.1",
            port=9000,
            region=own.region,
            availability_zone=own.availability_zone,
            slots=4,
            load=AnnouncedLoad(in_flight=random.choice(LOADS)),
        )


async def async_run(paths: list[Path]) -> None:
    """Run a stand-in for each settings file until ``SIGTERM``.

    :param paths: The settings files.
    """
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    halves = []
    for path in paths:
        settings = Settings.from_file(path)
        assert settings.is_ok(), settings
        halves.append(ControlHalf.from_config(settings.ok))
    await asyncio.gather(*(half.async_start() for half in halves))
    print("ready", flush=True)
    while not stop.is_set():
        traffic = [half.base.network.traffic for half in halves]
        count = sum(item.bytes_sent + item.bytes_received for item in traffic)
        print(json.dumps({"bytes": count}), flush=True)
        await asyncio.sleep(COUNT_INTERVAL_S)


if __name__ == "__main__":
    plan = json.loads(Path(sys.argv[1]).read_text())
    asyncio.run(async_run([Path(item) for item in plan]))
