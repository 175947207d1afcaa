"""Selection of targets at an entry instance, with a short wait for capacity."""

import asyncio
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from expression import Error, Result

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.contract.model import Contract
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import (
    AvailabilityZoneId,
    CustomerId,
    Incarnation,
    RegionId,
    ServiceName,
    TargetId,
)
from mothshunt.discovery.model import TargetDirectory
from mothshunt.limits.coordinator import LeaseHolderCoordinator
from mothshunt.membership.model import EntryDirectory
from mothshunt.metrics.registry import Metrics
from mothshunt.steering import codes
from mothshunt.steering.chooser import Chooser, Location
from mothshunt.steering.const import HOME_REGION_WAIT_S, MIN_RETRY_AFTER_S
from mothshunt.steering.model import Choice, Outcome
from mothshunt.steering.waiting import WaitQueue, wait_deadline

#: Refusals for reasons that a short wait would not change.
_NO_WAIT_CODES = frozenset(
    {codes.UNKNOWN_SERVICE, codes.NO_TARGET, codes.TARGETS_FAILING}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Request:
    """Request for which a target is to be chosen."""

    contract: Contract
    service: ServiceName
    idempotent: bool
    excluded: AbstractSet[TargetId]


class SteeringCoordinator:
    """Selection of targets for the requests of this entry instance.

    :param region: Region of this instance.
    :param availability_zone: Availability zone of this instance.
    :param incarnation: Incarnation of this instance; seed of the random generator.
    :param directory: Known targets.
    :param entries: Reachable entry instances.
    :param configuration: Configuration in force.
    :param limits: Shares of the limits that this instance holds.
    :param clock: Source of the current time.
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
        limits: LeaseHolderCoordinator,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._waiting: WaitQueue[asyncio.Future[None]] = WaitQueue()
        self._chooser = Chooser(
            location=Location(region=region, availability_zone=availability_zone),
            directory=directory,
            holder=limits.holder,
            entry_count=lambda: len(entries.entries()),
            rng=Random(incarnation),
            started_at=clock.monotonic(),
        )

    async def async_start(self) -> None:
        """Subscribe to renewals of the shares and register the metrics."""
        self._limits.on_renewal_attempt(self._wake_all)
        self._metrics.gauge("mothshunt_waiting_requests", lambda: len(self._waiting))

    async def async_stop(self) -> None:
        """Wake all waiting requests, so that each tries once more."""
        self._wake_all()

    def choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        now: float,
    ) -> Result[Choice, Failure]:
        """Choose a target without a wait; see ``TargetChooser``."""
        request = _Request(
            contract=contract, service=service, idempotent=idempotent, excluded=excluded
        )
        result = self._choose_target(
            request, now, count_refusal=True, stay_in_region=False
        )
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
        """Choose a target; wait briefly for capacity if there is none.

        :param contract: Contract in force of the customer.
        :param service: Service that the request is for.
        :param idempotent: Whether the request may be repeated.
        :param excluded: Targets that must not be chosen.
        :param deadline: Monotonic time by which the caller needs a response, in
            seconds; the wait ends well before it.
        :return: The choice, or a failure with a retry-after time.
        """
        request = _Request(
            contract=contract, service=service, idempotent=idempotent, excluded=excluded
        )
        result = await self._async_try_until_refused(request, deadline)
        if result.is_error():
            self._count_refusal(result.error)
        return result

    def may_dispatch(self, choice: Choice, now: float) -> bool:
        """Whether the request may still be sent; call it right before sending.

        :param choice: A choice that is not finished.
        :param now: Monotonic time, in seconds.
        """
        return self._limits.holder.may_dispatch(choice.permit, now)

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Release the capacity and record the outcome; see ``TargetChooser``."""
        self._chooser.finish(choice, outcome, now)
        self._metrics.count("mothshunt_attempts_total", outcome=outcome.value)
        self._wake_next_request(choice.target.customer, choice.target.service)

    async def _async_try_until_refused(
        self, request: _Request, deadline: float
    ) -> Result[Choice, Failure]:
        """Choose a target; while capacity is lacking, wait for it and try again."""
        now = self._clock.monotonic()
        stay_until = now + HOME_REGION_WAIT_S
        refuse_at = wait_deadline(now, deadline)
        result = self._choose_target(
            request, now, count_refusal=True, stay_in_region=True
        )
        counted_remote = False
        while result.is_error() and result.error.code not in _NO_WAIT_CODES:
            stay_in_region = now < stay_until
            wait_until = min(stay_until, refuse_at) if stay_in_region else refuse_at
            if now >= refuse_at:
                break
            if not await self._async_wait(request, wait_until - now):
                return Error(_too_many_waiting())
            now = self._clock.monotonic()
            stay_in_region = now < stay_until
            count_refusal = not stay_in_region and not counted_remote
            counted_remote = counted_remote or count_refusal
            result = self._choose_target(
                request, now, count_refusal=count_refusal, stay_in_region=stay_in_region
            )
        return result

    def _choose_target(
        self,
        request: _Request,
        now: float,
        *,
        count_refusal: bool,
        stay_in_region: bool,
    ) -> Result[Choice, Failure]:
        self._limits.refresh()
        result = self._chooser.choose(
            contract=request.contract,
            service=request.service,
            idempotent=request.idempotent,
            excluded=request.excluded,
            drains=self._configuration.current().drains,
            now=now,
            count_refusal=count_refusal,
            stay_in_region=stay_in_region,
        )
        if result.is_error():
            self._limits.request_renewal()
        return result

    async def _async_wait(self, request: _Request, timeout_s: float) -> bool:
        """Wait until capacity may be free; return ``False`` if too many wait."""
        wakeup = asyncio.get_running_loop().create_future()
        customer = request.contract.customer
        queued = (customer, request.service, request.idempotent, wakeup)
        if not self._waiting.add(*queued):
            return False
        try:
            async with asyncio.timeout(timeout_s):
                await wakeup
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            # The caller left after this request was woken: wake the next one instead.
            if wakeup.done() and not wakeup.cancelled():
                self._wake_next_request(customer, request.service)
            raise
        finally:
            self._waiting.discard(*queued)
        return True

    def _wake_next_request(self, customer: CustomerId, service: ServiceName) -> None:
        wakeup = self._waiting.pop_next(customer, service)
        if wakeup is not None:
            _wake_waiter(wakeup)

    def _wake_all(self) -> None:
        for wakeup in list(self._waiting.pop_all()):
            _wake_waiter(wakeup)

    def _count_refusal(self, failure: Failure) -> None:
        self._metrics.count("mothshunt_choices_refused_total", reason=failure.code.name)


def _wake_waiter(wakeup: asyncio.Future[None]) -> None:
    if not wakeup.done():
        wakeup.set_result(None)


def _too_many_waiting() -> Failure:
    return Failure(code=codes.TOO_MANY_WAITING, retry_after_s=MIN_RETRY_AFTER_S)
