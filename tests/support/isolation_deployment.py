"""Deployment whose entry instances can be partitioned from all targets."""

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import dataclass

import aiohttp

from mothshunt.core.const import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from testkit.routed_deployment import CALLERS_HOST, RoutedDeployment
from testkit.shape import REGIONS, InstancePlan
from testkit.target_proxies import TargetProxies

ENTRIES = (
    ("north-1", "north", "north-a"),
    ("north-2", "north", "north-a"),
    ("north-3", "north", "north-b"),
    ("centre-1", "centre", "centre-a"),
)
SERVICES = ("stock", "bills")
INTERVAL_S = 0.1
DEADLINE_S = 2.0
WORK_S = 0.05
RECOVERY_S = 4.0
NOT_RUN = (429, 503)


@dataclass(frozen=True)
class Attempt:
    """First attempt of a caller: when, where, what, and the status; 0 for none."""

    at: float
    entry: str
    path: str
    status: int
    error: str = ""


def plans():
    controls = [
        InstancePlan(
            id=f"{region}-control",
            region=region,
            availability_zone=f"{region}-a",
            roles=("control",),
        )
        for region in REGIONS
    ]
    entries = [
        InstancePlan(id=name, region=region, availability_zone=zone, roles=("entry",))
        for name, region, zone in ENTRIES
    ]
    return (*controls, *entries)


def items(version):
    """Return routes for reads of two services and for orders."""
    routes = [
        ("reads", "/stock/", "idempotent", "stock"),
        ("bills", "/bills/", "idempotent", "bills"),
        ("orders", "/orders/", "non_idempotent", "stock"),
    ]
    if version > 1:
        routes.append(("new", "/new/", "idempotent", "stock"))
    return {
        "services": [{"name": name, "version": version} for name in SERVICES],
        "routes": [
            {
                "name": name,
                "version": version,
                "host": CALLERS_HOST,
                "path_prefix": prefix,
                "kind": kind,
                "timeout_ms": int(DEADLINE_S * 1000),
                "target_latency_ms": 300,
                "services": [{"service": service}],
                "max_attempts": 2,
            }
            for name, prefix, kind, service in routes
        ],
    }


class IsolationDeployment:
    """Runs the deployment, its callers and the partitions.

    :param stack: Ends what was started.
    """

    def __init__(self, stack):
        routing = {"relays_when_isolated": True, "leave_s": 4.0}
        self.routed = RoutedDeployment(
            stack, plans(), redirects_targets=True, routing=routing
        )
        self.attempts = []
        self.recovery_attempts = []
        self.all_attempts = []
        self._numbers = itertools.count()
        self._began_at = 0.0
        for number in range(6):
            self.routed.add_target(SERVICES[number // 3], delay_s=WORK_S, slots=8)
        self.proxies = TargetProxies(self.routed.deployment.folder)
        names = [name for name, *_ in ENTRIES]
        ports = [target.port for target in self.routed.targets]
        self.routed.run(self.proxies.start(names, ports))
        stack.callback(lambda: self.routed.run(self.proxies.stop()))
        self.apply_routes(1)
        self.wait_all_named()
        self.routed.run(self._async_load(names, time.monotonic() + 2.0))

    def apply_routes(self, version):
        path = self.routed.write("items.json", items(version))
        done = self.routed.command(*f"routing apply {path}".split())
        assert done.returncode == 0, done

    def wait_all_named(self):
        async def all_named():
            _, answer = await self.routed.send("GET", "/v1/entries")
            return len(answer.get("entries", ())) == len(ENTRIES)

        self.routed.run(self.routed.async_until(all_named))

    def get(self, name, path):
        address = self.routed.address(self.routed.deployment[name])
        return self.routed.run(self.routed.get(address, CALLERS_HOST, path))[0]

    def run_partition(self, names, manner, span_s, meanwhile=None):
        """Partition entry instances under load; heal and go on for a while."""
        self.attempts = []
        self._began_at = time.monotonic()
        self.routed.run(self.proxies.partition(names, manner))
        load = self.routed._loop.submit(
            self._async_load([n for n, *_ in ENTRIES], self._began_at + span_s)
        )
        if meanwhile is not None:
            meanwhile()
        load.result(span_s + 2 * DEADLINE_S)
        self.routed.run(self.proxies.heal(names))
        during, self.attempts = self.attempts, []
        running = [
            name
            for name, *_ in ENTRIES
            if meanwhile is None or self.routed.deployment[name].process.is_running()
        ]
        self.routed.run(self._async_load(running, time.monotonic() + RECOVERY_S))
        self.recovery_attempts, self.attempts = self.attempts, during

    def shares(self, after_s):
        """Return the fraction of first attempts served, by entry instance."""
        counted = [a for a in self.attempts if a.at - self._began_at >= after_s]
        return self._shares(counted)

    def recovery_shares(self):
        """Return the same for the time after the partition."""
        return self._shares(self.recovery_attempts)

    def _shares(self, counted):
        asked = Counter(a.entry for a in counted)
        served = Counter(a.entry for a in counted if a.status == 200)
        for attempt in counted:
            if attempt.status != 200:
                print(round(attempt.at - self._began_at, 2), attempt)
        return {entry: served[entry] / asked[entry] for entry in asked}

    def closed_in_flight(self, name):
        errors = ("ServerDisconnectedError", "ClientOSError", "TimeoutError")
        return [a for a in self.attempts if a.entry == name and a.error in errors]

    def orders_run(self):
        return [
            path
            for target in self.routed.targets
            for path in target.requests
            if path.startswith("/orders/")
        ]

    def orders_answered_not_run(self):
        return [a.path for a in self.all_attempts if a.status in NOT_RUN]

    async def _async_load(self, names, until):
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            for name in names:
                group.create_task(self._async_load_one(session, name, until))
        self.all_attempts += self.attempts

    async def _async_load_one(self, session, name, until):
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until:
                number = next(self._numbers)
                place = ("/orders/", "/stock/", "/orders/", "/bills/")[number // 4 % 4]
                group.create_task(self._async_call(session, name, f"{place}{number}"))
                await asyncio.sleep(INTERVAL_S)

    async def _async_call(self, session, name, path):
        url = f"http://{self.routed.address(self.routed.deployment[name])}{path}"
        headers = {
            "Host": CALLERS_HOST,
            HEADER_REQUEST_ID: f"r{path}",
            HEADER_DEADLINE_MS: str(int(DEADLINE_S * 1000)),
        }
        method = "POST" if path.startswith("/orders/") else "GET"
        at, status, error = time.monotonic(), 0, ""
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + 1.0)
        try:
            async with session.request(
                method, url, headers=headers, timeout=timeout
            ) as answer:
                await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as caught:
            error = type(caught).__name__
        self.attempts.append(Attempt(at, name, path, status, error))
