"""What operators and targets ask for during a soak."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from testkit.routed_deployment import RoutedDeployment
from testkit.shape import REGIONS
from testkit.soak.callers import HOST_NAME
from testkit.soak.history import (
    CONTROL_FAULT_STRETCH_S,
    IN_FORCE_BOUND_S,
    LEAVE_BOUND_S,
    History,
    Move,
    Span,
)
from testkit.soak.plan import Change, ChangeKind
from testkit.soak.targets import SoakTarget

SERVICES = ("stock", "stock-moved")
#: Time for which a change is sent again until it is confirmed, in seconds.
CONFIRM_WITHIN_S = 30.0
#: Time for which requests are watched after a bound has passed, in seconds.
WATCHED_FOR_S = 3.0
#: Time for which a zone stays evacuated and a target away, in seconds: over the
#: longest bound of their begin, or nothing would be held against it.
HELD_FOR_S = IN_FORCE_BOUND_S + CONTROL_FAULT_STRETCH_S + WATCHED_FOR_S
AWAY_FOR_S = LEAVE_BOUND_S + CONTROL_FAULT_STRETCH_S + WATCHED_FOR_S
RETRY_PAUSE_S = 0.3
#: Time for which a target says that it leaves in answers only, in seconds: over the
#: bound that then holds.
TOLD_BEFORE_S = LEAVE_BOUND_S + 2.0


@dataclass(slots=True, eq=False)
class Operator:
    """Make the changes of a plan, one of each kind at a time.

    :param routed: The deployment.
    :param history: Where confirmations are noted.
    :param now: Returns the time of the soak, in seconds.
    """

    routed: RoutedDeployment
    history: History
    now: Callable[[], float]
    version: int = 0
    confirmed_version: int = 0
    _zone: str = ""
    #: Each move waits for the one before, so that the last one asked for holds.
    _moving: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def async_make(self, change: Change) -> None:
        """Make one change.

        :param change: The change.
        """
        match change.kind:
            case ChangeKind.MOVE_ROUTES:
                await self.async_move()
            case ChangeKind.RETIRE_TARGET:
                # One that callers don't reach would tell nobody that it leaves.
                service = SERVICES[self.version % len(SERVICES)]
                targets = [t for t in self.routed.targets if t.service == service]
                await self._async_retire(targets[change.number % len(targets)])
            case ChangeKind.EVACUATE:
                await self._async_evacuate(REGIONS[change.number % len(REGIONS)])

    async def async_move(self) -> None:
        """Send all routes to the other service, under the next version."""
        async with self._moving:
            self.version += 1
            version, service = self.version, SERVICES[self.version % len(SERVICES)]
            asked_at = self.now()
            path = self.routed.write(f"items-{version}.json", _items(version, service))
            confirmed_at = math.inf
            if await self._async_confirm("routing", "apply", path):
                confirmed_at = self.now()
                self.confirmed_version = version
            # One that was never confirmed may be in force all the same.
            self.history.moves.append(
                Move(service=service, asked_at=asked_at, confirmed_at=confirmed_at)
            )

    async def _async_retire(self, target: SoakTarget) -> None:
        if target.tells_leaving:
            return
        # Its answers tell of it sooner than its renewals do.
        target.tells_leaving = True
        await asyncio.sleep(TOLD_BEFORE_S)
        target.state = "leaving"
        key = (target.name, target.incarnation)
        give_up_at = self.now() + CONFIRM_WITHIN_S
        while self.now() < give_up_at:
            status, _ = await self.routed.send("POST", "/v1/targets", target.renewal())
            if status // 100 == 2:
                since = self.now()
                await asyncio.sleep(AWAY_FOR_S)
                span = Span(since=since, until=self.now())
                self.history.away_by_target[key] = span
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        target.begin_again()

    async def _async_evacuate(self, region: str) -> None:
        if self._zone:
            return
        self._zone = f"{region}-a"
        if await self._async_confirm("zone", "evacuate", self._zone):
            since = self.now()
            await asyncio.sleep(HELD_FOR_S)
            span = Span(since=since, until=self.now())
            self.history.evacuations_by_zone[self._zone].append(span)
        await self._async_confirm("zone", "take-back", self._zone)
        self._zone = ""

    async def _async_confirm(self, *words: str) -> bool:
        """Send a change until it is confirmed; tell whether it was in time."""
        give_up_at = self.now() + CONFIRM_WITHIN_S
        while self.now() < give_up_at:
            done = await asyncio.to_thread(self.routed.command, *words)
            if done.returncode == 0:
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False


def _items(version: int, service: str) -> dict:
    def route(name: str, kind: str) -> dict:
        return {
            "name": name,
            "version": version,
            "host": HOST_NAME,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "services": [{"service": service}],
            "max_attempts": 2,
        }

    return {
        "services": [{"name": name, "version": 1} for name in SERVICES],
        "routes": [route("stock", "idempotent"), route("orders", "non_idempotent")],
    }
