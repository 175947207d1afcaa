"""Graceful leave of an entry instance."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.drain import const
from mothshunt.drain.state import LeavePlan
from mothshunt.helpers.log import get_logger

_LOGGER = get_logger("drain")


@dataclass(slots=True, eq=False)
class LeaveCoordinator:
    """Keep an instance that leaves in service until nobody can depend on it.

    :param source: The configuration in force.
    :param clock: Source of the present time.
    :param in_flight: Returns the requests in flight here.
    """

    source: ConfigurationSource
    clock: Clock
    in_flight: Callable[[], int]

    async def async_outlive_lookups(self) -> None:
        """Wait until every look-up answer that named the instance has expired."""
        plan = LeavePlan.from_configuration(
            self.source.current(), self.clock.monotonic()
        )
        remaining_s = plan.serve_until - self.clock.monotonic()
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
