"""Graceful shutdown of an entry instance."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration
from mothshunt.core.clock import Clock
from mothshunt.drain import const
from mothshunt.helpers.log import get_logger
from mothshunt.lookup.lifetime import AnswerExpiryBound

_LOGGER = get_logger("drain")


@dataclass(slots=True, eq=False)
class LeaveCoordinator:
    """Graceful shutdown of an entry instance: it serves until no caller relies on it.

    Callers cache look-up answers. They may send requests to the instance until every
    answer that names it has expired.

    :param clock: Source of the present time.
    :param in_flight: Returns the number of requests in flight at this instance.
    """

    clock: Clock
    in_flight: Callable[[], int]
    _expiry_bound: AnswerExpiryBound = field(default_factory=AnswerExpiryBound)
    #: Whether any contract was ever in force.
    _had_contracts: bool = False

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply the lifetimes of look-up answers.

        :param configuration: The configuration in force.
        """
        self._expiry_bound.update(configuration, self.clock.monotonic())
        self._had_contracts |= bool(configuration.contract_by_customer)

    def serve_until(self, now: float) -> float:
        """Return the monotonic time at which the last cached look-up answer expires.

        Without a contract no look-up was ever answered, so the wait is zero.

        :param now: Monotonic time at which the instance starts to leave, in seconds.
        """
        if not self._had_contracts:
            return now
        return self._expiry_bound.latest_expiry(now + const.LEAVING_PROPAGATION_S)

    async def async_wait_for_lookup_expiry(self) -> None:
        """Wait until every look-up answer that names this instance has expired."""
        now = self.clock.monotonic()
        remaining_s = self.serve_until(now) - now
        _LOGGER.info(
            "leaving; waiting for cached look-up answers to expire",
            remaining_s=remaining_s,
        )
        await asyncio.sleep(max(0.0, remaining_s))

    async def async_wait_for_requests(self) -> None:
        """Wait until no request is in flight."""
        logged_at = self.clock.monotonic()
        while (count := self.in_flight()) > 0:
            now = self.clock.monotonic()
            if now - logged_at >= const.PROGRESS_LOG_INTERVAL_S:
                _LOGGER.info("waiting for requests in flight to end", count=count)
                logged_at = now
            await asyncio.sleep(const.POLL_INTERVAL_S)
