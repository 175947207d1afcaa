"""One run of the soak."""

import asyncio
import contextlib
import json
import shutil
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from testkit.rate_limits import RateLimitHistory
from testkit.routed_deployment import RoutedDeployment
from testkit.shape import REGIONS, separate_roles
from testkit.soak.callers import Caller
from testkit.soak.history import History
from testkit.soak.notices import Notices
from testkit.soak.operator import HELD_FOR_S, SERVICES, Operator
from testkit.soak.plan import LimitStep, Plan
from testkit.soak.supervisor import Supervisor
from testkit.soak.targets import SoakTarget

CALLERS = 6
TARGETS_PER_SERVICE = 6
#: Everything serves again within this time after the last fault, in seconds: the bound
#: on a recovery, and a start of all processes.
RECOVERY_BOUND_S = 20.0
STOP_BOUND_S = 15.0
#: Longest time that a run takes beside its faults, in seconds: its start, the last
#: changes and stops, and the recovery.
RUN_LIMIT_S = 180.0
LAG_INTERVAL_S = 0.05


@dataclass(kw_only=True, slots=True)
class Report:
    """Hold the outcome of one run.

    :param seed: Its seed.
    :param violations: Promises that were broken, a line each.
    :param counts: Requests by status, faults and changes by kind, and the runs that
        each bound in time was held against.
    :param lag_s: Longest time for which the test itself did not run, in seconds.
    """

    seed: int
    violations: list[str]
    counts: Counter[str]
    lag_s: float

    def text(self) -> str:
        """Return it as one line of JSON."""
        return json.dumps(
            {
                "seed": self.seed,
                "violations": self.violations,
                "lag_s": round(self.lag_s, 2),
                "counts": dict(sorted(self.counts.items())),
            }
        )


@dataclass(slots=True, eq=False)
class Soak:
    """Run processes, callers, targets and operators under the faults of one seed.

    :param seed: Seed of faults, changes, requests and misbehaviour.
    :param seconds: Time for which faults are made, in seconds.
    :param keep: Folder for the logs of a run that broke a promise.
    """

    seed: int
    seconds: float
    keep: Path | None = None
    history: History = field(default_factory=History)
    notices: Notices = field(default_factory=Notices)
    limits: RateLimitHistory = field(default_factory=RateLimitHistory)
    _counts: Counter[str] = field(default_factory=Counter)
    _started_at: float = field(default_factory=time.monotonic)

    def run(self) -> Report:
        """Make the run; return its outcome."""
        with contextlib.ExitStack() as stack:
            routed = RoutedDeployment(stack, separate_roles(REGIONS), with_proxies=True)
            # A folder that is lost later must not found another log.
            routed.deployment.change_routing(may_found=False)
            control = routed.deployment.control_instances
            self.history.control = frozenset(instance.id for instance in control)
            for number in range(TARGETS_PER_SERVICE * len(SERVICES)):
                routed.run_target(self._target(number))
            limit_s = self.seconds + RUN_LIMIT_S
            problems = routed.run(self._async_run(routed), limit_s)
            violations = [
                *self.history.violations(),
                *self.notices.violations(
                    self.history.sent_by_id, self.history.had_fault, self.history.lag_s
                ),
                *self.limits.violations(
                    self.history.sent_by_id, self.history.had_fault, self.history.lag_s
                ),
                *problems,
            ]
            if violations and self.keep is not None:
                folder = self.keep / f"seed-{self.seed}"
                shutil.copytree(routed.deployment.folder, folder, dirs_exist_ok=True)
        for sent in self.history.sent_by_id.values():
            self._counts[f"status {sent.status}"] += 1
        for promise, count in self.history.judged().items():
            self._counts[f"judged {promise}"] = count
        self._counts["judged limited"] = self.limits.judged(
            self.history.sent_by_id, self.history.had_fault
        )
        for notice in self.notices.given:
            kind = "pause" if notice.pause_s else "leaving"
            self._counts[f"noticed {kind}"] += 1
        return Report(
            seed=self.seed,
            violations=violations,
            counts=self._counts,
            lag_s=self.history.lag_s,
        )

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    def _target(self, number: int) -> SoakTarget:
        return SoakTarget(
            number + 1,
            SERVICES[number % len(SERVICES)],
            history=self.history,
            notices=self.notices,
            limits=self.limits,
            now=self._now,
            random=Random(f"{self.seed}/target/{number}"),
        )

    async def _async_run(self, routed: RoutedDeployment) -> list[str]:
        supervisor = Supervisor(routed.deployment, self.history, self._now)
        operator = Operator(routed, self.history, self._now)
        watching = [
            asyncio.create_task(supervisor.async_watch()),
            asyncio.create_task(self._async_measure_lag()),
        ]
        stop = asyncio.Event()
        await operator.async_move()
        problems = await self._async_wait_serving(routed, "at the start")
        callers = [
            asyncio.create_task(self._caller(routed, number).async_run(stop))
            for number in range(CALLERS)
        ]
        await self._async_follow_plan(routed, supervisor, operator)
        supervisor.heal()
        # Callers go on until the last change must have been in force for a while.
        await asyncio.sleep(HELD_FOR_S)
        problems += await self._async_wait_serving(routed, "after the last fault")
        problems += await self._async_check_kept(routed, operator)
        stop.set()
        await asyncio.gather(*callers)
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
        codes = await asyncio.to_thread(routed.deployment.stop, STOP_BOUND_S)
        problems += [f"EXIT {name}: {code}" for name, code in codes.items() if code]
        return problems

    async def _async_follow_plan(
        self, routed: RoutedDeployment, supervisor: Supervisor, operator: Operator
    ) -> None:
        deployment = routed.deployment
        plan = Plan.from_seed(
            self.seed,
            self.seconds,
            [instance.id for instance in deployment.entry_instances],
            sorted(self.history.control),
        )
        begun_at = self._now()
        steps = sorted(
            [*plan.faults, *plan.changes, *plan.limits], key=lambda step: step.at_s
        )
        running: list[asyncio.Task[None]] = []
        for step in steps:
            await asyncio.sleep(max(0.0, begun_at + step.at_s - self._now()))
            if isinstance(step, LimitStep):
                self._name_limit(routed, step)
                continue
            maker = supervisor if step in plan.faults else operator
            running.append(asyncio.create_task(maker.async_make(step)))
            self._counts[step.kind.value] += 1
        await asyncio.gather(*running)

    def _name_limit(self, routed: RoutedDeployment, step: LimitStep) -> None:
        """Let one target of each service name another limit."""
        self._counts["limit named" if step.per_s else "limit withdrawn"] += 1
        first = step.number * len(SERVICES)
        for target in routed.targets[first : first + len(SERVICES)]:
            target.name_limit(step.per_s)

    def _caller(self, routed: RoutedDeployment, number: int) -> Caller:
        region = REGIONS[number % len(REGIONS)]
        path = f"/v1/entries?region={region}&availability_zone={region}-a"

        async def look_up() -> list[str]:
            _, answer = await routed.send("GET", path)
            return [entry["address"] for entry in answer.get("entries", ())]

        entries = routed.deployment.entry_instances
        return Caller(
            name=f"caller-{number}",
            history=self.history,
            now=self._now,
            look_up=look_up,
            entry_by_address={routed.address(entry): entry.id for entry in entries},
            random=Random(f"{self.seed}/caller/{number}"),
        )

    async def _async_wait_serving(
        self, routed: RoutedDeployment, when: str
    ) -> list[str]:
        """Wait until each entry instance serves; tell which don't in time."""
        give_up_at = self._now() + RECOVERY_BOUND_S
        waiting = {entry.id for entry in routed.deployment.entry_instances}
        number = 0
        while waiting and self._now() < give_up_at:
            for name in list(waiting):
                number += 1
                address = routed.address(routed.deployment[name])
                status = await self._async_probe(routed, address, f"{when}-{number}")
                if status == 200:
                    waiting.discard(name)
            await asyncio.sleep(0.1)
        return [f"RECOVER {name} does not serve {when}" for name in sorted(waiting)]

    async def _async_probe(
        self, routed: RoutedDeployment, address: str, name: str
    ) -> int:
        """Send one read of the test's own, which no promise is held against."""
        request_id = f"probe-{name}".replace(" ", "-")
        status, _ = await routed.get(
            address, "shop.example", "/stock/1", request_id=request_id
        )
        self.history.runs_by_id.pop(request_id, None)
        return status

    async def _async_check_kept(
        self, routed: RoutedDeployment, operator: Operator
    ) -> list[str]:
        """Read the routes back; none may be older than what was confirmed."""
        words = ("routing", "show", "--output", "json")
        done = await asyncio.to_thread(routed.command, *words)
        if done.returncode != 0:
            return [f"LOST routes can't be read back: {done.stderr[-300:]}"]
        routes = json.loads(done.stdout)["routes"]
        return [
            f"LOST {route['name']} has version {route['version']},"
            f" {operator.confirmed_version} was confirmed"
            for route in routes
            if route["version"] < operator.confirmed_version
        ]

    async def _async_measure_lag(self) -> None:
        while True:
            before = self._now()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = self._now() - before - LAG_INTERVAL_S
            self.history.lag_s = max(self.history.lag_s, lag_s)
