"""Probes that keep asking, and the time for which nothing was served."""

import asyncio
import itertools
import time
import uuid
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

from testkit.caller import Caller
from testkit.environment import Environment
from testkit.request import Outcome, Request

INTERVAL_S = 0.05
DEADLINE_MS = 1_000
GRACE_S = 0.25


@dataclass(slots=True)
class Probe:
    """Record when one kind of request of one caller was served.

    :param kind: ``lookup``, ``read`` or ``booking``.
    :param region: Region of the caller.
    :param served_at: Monotonic times of whole answers, in seconds.
    :param unknown: Requests whose outcome the caller doesn't know.
    """

    kind: str
    region: str
    served_at: list[float] = field(default_factory=list)
    unknown: int = 0

    def without_service_s(self, since: float, until: float) -> float:
        """Return the longest time without an answer.

        :param since: Monotonic time from which to look, in seconds.
        :param until: Monotonic time up to which to look, in seconds.
        """
        times = [since, *(t for t in self.served_at if since < t < until), until]
        return max(after - before for before, after in itertools.pairwise(times))


class Prober:
    """Run probes for look-ups, reads and bookings from callers.

    Each probe asks every ``INTERVAL_S``, whatever became of what it asked before.

    :param environment: The environment.
    :param customer: Customer.
    :param read: Service that is read from.
    :param commit: Service that is committed to.
    :param fixed_list: Whether callers use a fixed list of the entries of their
        region, and no look-ups.
    """

    def __init__(
        self,
        environment: Environment,
        *,
        customer: str,
        read: str,
        commit: str,
        fixed_list: bool = False,
    ) -> None:
        self._fixed_list = fixed_list
        self.booked: set[str] = set()
        self._environment = environment
        self._customer = customer
        self._read = read
        self._commit = commit
        self._stopped = asyncio.Event()
        self._numbers = itertools.count()
        self._prefix = uuid.uuid4().hex[:8]
        self.probes: list[Probe] = []
        self._futures: list[Any] = []

    def start(self, regions: Sequence[str]) -> None:
        """Begin to ask from callers of some regions.

        :param regions: Regions of the callers.
        """
        for region in regions:
            for kind, ask in (
                ("lookup", self._async_lookup),
                ("read", self._async_read),
                ("booking", self._async_book),
            ):
                if self._fixed_list and kind == "lookup":
                    continue
                caller = self._caller(region)
                probe = Probe(kind=kind, region=region)
                self.probes.append(probe)
                work = self._async_run(probe, caller, ask)
                self._futures.append(self._environment.submit(work))

    def _caller(self, region: str) -> Caller:
        caller = self._environment.caller(
            self._customer, region, len(self.probes) + 1, grace_s=GRACE_S
        )
        if self._fixed_list:
            entries = [
                self._environment.entry(item)
                for item in self._environment.deployment.entry_instances
                if item.plan.region == region
            ]
            for service in (self._read, self._commit):
                caller.fix_entries(service, entries)
        return caller

    def stop(self) -> None:
        """Ask no more, and wait for what is on its way."""
        self._environment.submit(_async_set(self._stopped)).result()
        for future in self._futures:
            future.result()

    async def _async_run(
        self,
        probe: Probe,
        caller: Caller,
        ask: Callable[[Probe, Caller], Coroutine[Any, Any, bool]],
    ) -> None:
        async def one() -> None:
            if await ask(probe, caller):
                probe.served_at.append(time.monotonic())

        async with asyncio.TaskGroup() as group:
            while not self._stopped.is_set():
                group.create_task(one())
                await asyncio.sleep(INTERVAL_S)

    async def _async_lookup(self, probe: Probe, caller: Caller) -> bool:
        caller.forget_lookups()
        return bool(await caller.async_lookup(self._read))

    async def _async_read(self, probe: Probe, caller: Caller) -> bool:
        return await self._async_send(probe, caller, self._read, "GET", None)

    async def _async_book(self, probe: Probe, caller: Caller) -> bool:
        key = f"{self._prefix}-{next(self._numbers)}"
        self.booked.add(key)
        return await self._async_send(probe, caller, self._commit, "POST", key)

    async def _async_send(
        self, probe: Probe, caller: Caller, service: str, method: str, key: str | None
    ) -> bool:
        request = Request(
            request_id=key or f"{self._prefix}-{next(self._numbers)}",
            service=service,
            method=method,
            key=key,
            body=b"" if key is None else b"one",
            deadline_ms=DEADLINE_MS,
        )
        result = await caller.async_send(request)
        if result.outcome is Outcome.WHOLE:
            return True
        refused_unrun = result.ran == "no" or result.outcome is Outcome.NOT_SENT
        probe.unknown += not refused_unrun
        return False


async def _async_set(event: asyncio.Event) -> None:
    event.set()
