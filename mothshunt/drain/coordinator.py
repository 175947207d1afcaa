"""Graceful leave of an entry instance."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration
from mothshunt.core.clock import Clock
from mothshunt.drain import const
from mothshunt.helpers.log import get_logger
from mothshunt.lookup.lifetime import LifetimeBound

_LOGGER = get_logger("drain")


@dataclass(slots=True, eq=False)
class LeaveCoordinator:
    """Keep an instance that leaves in service until nobody can depend on it.

    :param clock: Source of the present time.
    :param in_flight: Returns the requests in flight here.
    """

    clock: Clock
    in_flight: Callable[[], int]
    _bound: LifetimeBound = field(default_factory=LifetimeBound)
    _has_contracts: bool = False

    def on_configuration(self, configuration: Configuration) -> None:
        """Take over the lifetimes of look-ups.

        :param configuration: The configuration in force.
        """
        self._bound.observe(configuration, self.clock.monotonic())
        self._has_contracts |= bool(configuration.contract_by_customer)

    def serve_until(self, now: float) -> float:
        """Return the time after which no cached look-up names the instance.

        :param now: Monotonic time of the leave, in seconds.
        """
        if not self._has_contracts:
            return now
        return self._bound.last_use(now + const.SPREAD_MARGIN_S)

    async def async_outlive_lookups(self) -> None:
        """Wait until every look-up answer that named the instance has expired."""
        now = self.clock.monotonic()
        remaining_s = self.serve_until(now) - now
        _LOGGER.info("leaving; look-ups are outlived first", remaining_s=remaining_s)
        await asyncio.sleep(max(0.0, remaining_s))

    async def async_finish(self) -> None:
        """Wait until no request is in flight."""
        told_at = self.clock.monotonic()
        while (count := self.in_flight()) > 0:
            now = self.clock.monotonic()
            if now - told_at >= const.PROGRESS_INTERVAL_S:
                _LOGGER.info("requests are still in flight", count=count)
                told_at = now
            await asyncio.sleep(const.POLL_S)
