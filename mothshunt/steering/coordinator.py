"""Wiring of the choice of a target, with a bounded wait for room."""

import asyncio
from collections.abc import Set as AbstractSet
from random import Random

from expression import Error, Result

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.contract.model import Contract
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    RegionId,
    ServiceName,
    TargetId,
)
from mothshunt.discovery.model import TargetDirectory
from mothshunt.limits.coordinator import LimitsHolderCoordinator
from mothshunt.membership.model import EntryDirectory
from mothshunt.metrics.registry import Metrics
from mothshunt.steering import codes
from mothshunt.steering.chooser import Chooser, Place
from mothshunt.steering.const import RETRY_AFTER_MIN_S, WAIT_S, WAITING_MAX
from mothshunt.steering.model import Choice, Outcome

#: Codes for which room may come free within moments.
_WORTH_WAITING = range(2203, 2400)


class SteeringCoordinator:
    """Choose targets for this entry instance.

    :param region: Region of this instance.
    :param availability_zone: Availability zone of this instance.
    :param incarnation: Incarnation of this instance; seeds the breaking of ties.
    :param directory: Targets that are known.
    :param entries: Entry instances that are reachable.
    :param configuration: Configuration in force.
    :param limits: Shares of this instance.
    :param clock: Source of the present time.
    :param metrics: Metrics of this process.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        availability_zone: AvailabilityZoneId,
        incarnation: Incarnation,
        directory: TargetDirectory,
        entries: EntryDirectory,
        configuration: ConfigurationSource,
        limits: LimitsHolderCoordinator,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._room: asyncio.Event = asyncio.Event()
        self._waiting = 0
        self._chooser = Chooser(
            place=Place(region=region, availability_zone=availability_zone),
            directory=directory,
            holder=limits.holder,
            entry_count=lambda: len(entries.entries()),
            rng=Random(incarnation),
            started_at=clock.monotonic(),
        )

    async def async_start(self) -> None:
        """Start to listen for renewed shares."""
        self._limits.on_granted(self._wake)

    async def async_stop(self) -> None:
        """Let every waiting request go on to its answer."""
        self._wake()

    def choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        now: float,
    ) -> Result[Choice, Failure]:
        """Choose a target at once; see ``TargetChooser``."""
        result = self._try(contract, service, idempotent, excluded, now)
        if result.is_error():
            self._count_refusal(result.error)
        return result

    async def async_choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        deadline: float,
    ) -> Result[Choice, Failure]:
        """Choose a target, waiting a moment for room when there is none.

        :param contract: Contract in force of the customer.
        :param service: Service that is asked for.
        :param idempotent: Whether the request may be repeated.
        :param excluded: Targets that must not be chosen.
        :param deadline: Monotonic time by which the caller needs an answer, in
            seconds; the wait ends far earlier.
        :return: The choice; or a failure that says when to come back.
        """
        now = self._clock.monotonic()
        give_up_at = min(now + WAIT_S, deadline)
        result = self._try(contract, service, idempotent, excluded, now)
        while result.is_error() and result.error.code.number in _WORTH_WAITING:
            if self._waiting >= WAITING_MAX:
                result = Error(_too_many_waiting())
                break
            if not await self._async_room(give_up_at - self._clock.monotonic()):
                break
            now = self._clock.monotonic()
            result = self._try(contract, service, idempotent, excluded, now)
        if result.is_error():
            self._count_refusal(result.error)
        return result

    def may_dispatch(self, choice: Choice, now: float) -> bool:
        """Tell whether the request may still be sent; ask right before sending.

        :param choice: What was chosen.
        :param now: Monotonic time, in seconds.
        """
        return self._limits.holder.may_dispatch(choice.permit, now)

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Give the room back and learn; see ``TargetChooser``."""
        self._chooser.finish(choice, outcome, now)
        self._metrics.count("mothshunt_attempts_total", outcome=outcome.value)
        self._wake()

    def _try(
        self,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        now: float,
    ) -> Result[Choice, Failure]:
        self._limits.refresh()
        result = self._chooser.choose(
            contract=contract,
            service=service,
            idempotent=idempotent,
            excluded=excluded,
            drains=self._configuration.current().drains,
            now=now,
        )
        if result.is_error():
            self._limits.ask_soon()
        return result

    async def _async_room(self, timeout_s: float) -> bool:
        """Wait until room may have come free; ``False`` when none did in time."""
        if timeout_s <= 0:
            return False
        self._waiting += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._room.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True

    def _wake(self) -> None:
        self._room.set()
        self._room = asyncio.Event()

    def _count_refusal(self, failure: Failure) -> None:
        self._metrics.count("mothshunt_refusals_total", reason=failure.code.name)


def _too_many_waiting() -> Failure:
    return Failure(code=codes.TOO_MANY_WAITING, retry_after_s=RETRY_AFTER_MIN_S)
