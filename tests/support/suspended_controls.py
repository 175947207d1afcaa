"""Orders to control processes that are suspended at any moment, for as long as 6 s.

``python -m tests.support.suspended_controls FIRST LAST [JOBS]`` plays many seeds.
"""

import asyncio
import contextlib
import itertools
import json
import random
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from datetime import datetime

import aiohttp

from tests.support.platform_deployment import ZONES, PlatformDeployment, Process

DURATION_S = 25.0
ORDER_TIMEOUT_S = 1.0
CONFIRM_WITHIN_S = 15.0
#: Ranges of the length of a suspension, in seconds. After one of the first range the
#: streams to the other processes are still open.
SUSPENSIONS_S = ((1.0, 2.5), (0.5, 6.0))
#: Time in which a confirmed order is in force at the process that logs it first, and in
#: which an order that waited would be run, in seconds.
SETTLED_S = 0.3


@dataclass
class Order:
    """An order of the operator of a zone, and when it was in progress."""

    is_evacuated: bool
    sent_at: float
    confirmed_at: float = float("inf")


@dataclass
class SuspendedControls:
    """Evacuate zones and take them back while control processes are suspended."""

    platform: PlatformDeployment
    random: random.Random
    orders_by_zone: dict = field(default_factory=dict)
    repeated_attempts: int = 0
    suspended: Process | None = None

    async def async_play(self):
        """Play for some time, then wait until all orders are settled."""
        until = time.time() + DURATION_S
        await self.platform.async_until(
            lambda: self._async_try("Finish", "z-0", self.platform.controls[0])
        )
        suspending = asyncio.create_task(self._async_suspend())
        try:
            await asyncio.gather(*(self._async_operate(z, until) for z in ZONES))
        finally:
            suspending.cancel()
            await asyncio.wait([suspending])
        await asyncio.sleep(1.0)

    async def _async_suspend(self):
        while True:
            await asyncio.sleep(self.random.uniform(0.1, 2.0))
            process = self.random.choice(self.platform.controls)
            process.popen.send_signal(signal.SIGSTOP)
            self.suspended = process
            try:
                await asyncio.sleep(
                    self.random.uniform(*self.random.choice(SUSPENSIONS_S))
                )
            finally:
                self.suspended = None
                process.popen.send_signal(signal.SIGCONT)

    async def _async_operate(self, zone, until):
        orders = self.orders_by_zone[zone] = []
        while time.time() < until:
            order = Order(len(orders) % 2 == 0, time.time())
            orders.append(order)
            verb = "Begin" if order.is_evacuated else "Finish"
            give_up_at = time.time() + CONFIRM_WITHIN_S
            controls = self.random.sample(self.platform.controls, 3)
            # Half of the orders go to the suspended process first, the others last.
            controls.sort(
                key=lambda process: process is self.suspended,
                reverse=self.random.random() < 0.5,
            )
            processes = itertools.cycle(controls)
            while not await self._async_try(verb, zone, next(processes)):
                assert time.time() < give_up_at, f"{verb} {zone} is never confirmed"
                self.repeated_attempts += 1
            order.confirmed_at = time.time()
            await asyncio.sleep(self.random.choice([0.0, 0.05, 0.4, 1.0]))

    async def _async_try(self, verb, zone, process):
        url = f"http://{process.ip}:8649/-/Evacuate.{verb}/{zone}"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url) as response,
            ):
                return response.status == 200
        return False

    def find_errors(self):
        """Return the changes that no order in progress asked for, and wrong ends."""
        errors = []
        zones_by_revision = {}
        for at, revision, zones in sorted(self._read_changes()):
            if revision not in zones_by_revision:
                zones_by_revision[revision] = zones
                errors += [
                    f"{zone} is {zone in zones} at {revision}, by no order at {at:.3f}"
                    for zone in ZONES
                    if (zone in zones) not in self._wanted(zone, at)
                ]
        last_zones = zones_by_revision[max(zones_by_revision)]
        for zone, orders in self.orders_by_zone.items():
            if (zone in last_zones) is not orders[-1].is_evacuated:
                errors.append(f"{zone} is {zone in last_zones} at the end")
        return errors

    def _wanted(self, zone, at):
        """Return the states that the orders in progress ask for, and the last one."""
        sent = [order for order in self.orders_by_zone[zone] if order.sent_at <= at]
        active = [o for o in sent[:-1] if at <= o.confirmed_at + SETTLED_S]
        if sent and at <= sent[-1].confirmed_at:
            active += sent[-2:-1]
        states = {order.is_evacuated for order in [*active, *sent[-1:]]}
        return states if len(sent) > 1 else states | {False}

    def _read_changes(self):
        for process in self.platform.controls:
            for text in (process.folder / "log").read_text().splitlines():
                line = json.loads(text) if text.startswith("{") else {}
                if line.get("text") == "configuration in force":
                    at = datetime.fromisoformat(line["time"]).timestamp()
                    yield at, line["revision"], line["evacuated_zones"]


def play(stack, seed):
    """Play one seed and return its errors and the number of repeated attempts."""
    platform = PlatformDeployment(stack, 3, 0)
    controls = SuspendedControls(platform, random.Random(seed))
    platform.run(controls.async_play())
    return controls.find_errors(), controls.repeated_attempts


def main():
    """Play seeds, each in a process of its own; return how many had errors."""
    if len(sys.argv) == 2:
        with contextlib.ExitStack() as stack:
            errors, repeated = play(stack, int(sys.argv[1]))
        print(f"seed {sys.argv[1]}: {repeated} repeated attempts, {errors}")
        return len(errors)
    first, last, jobs = map(int, [*sys.argv[1:], "4"][:3])
    command = [sys.executable, "-m", "tests.support.suspended_controls"]
    with ThreadPoolExecutor(jobs) as pool:
        ended = pool.map(
            lambda seed: subprocess.run([*command, str(seed)], check=False).returncode,
            range(first, last + 1),
        )
    return sum(code != 0 for code in ended)


if __name__ == "__main__":
    sys.exit(main())
