"""Wiring of the choice of a target, with a bounded wait for room."""

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
from mothshunt.steering.chooser import Chooser, Place
from mothshunt.steering.const import PATIENCE_S, RETRY_AFTER_MIN_S
from mothshunt.steering.model import Choice, Outcome
from mothshunt.steering.waiting import WaitingRoom, give_up_at

#: Refusals that name nothing that could change within moments.
_FINAL = frozenset({codes.UNKNOWN_SERVICE, codes.NO_TARGET, codes.TARGETS_FAILING})


@dataclass(frozen=True, kw_only=True, slots=True)
class _Request:
    """Say what one request asks the chooser for."""

    contract: Contract
    service: ServiceName
    idempotent: bool
    excluded: AbstractSet[TargetId]


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
        limits: LeaseHolderCoordinator,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._room: WaitingRoom[asyncio.Future[None]] = WaitingRoom()
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
        self._limits.on_renewal_attempt(self._wake_all)
        self._metrics.gauge("mothshunt_waiting_requests", lambda: len(self._room))

    async def async_stop(self) -> None:
        """Let every waiting request go on to its answer."""
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
        """Choose a target at once; see ``TargetChooser``."""
        request = _Request(
            contract=contract, service=service, idempotent=idempotent, excluded=excluded
        )
        result = self._try(request, now, counted=True, patient=False)
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
        request = _Request(
            contract=contract, service=service, idempotent=idempotent, excluded=excluded
        )
        result = await self._async_try(request, deadline)
        if result.is_error():
            self._count_refusal(result.error)
        return result

    def may_dispatch(self, choice: Choice, now: float) -> bool:
        """Tell whether the request may still be sent; ask right before sending.

        :param choice: What was chosen and is not finished.
        :param now: Monotonic time, in seconds.
        """
        return self._limits.holder.may_dispatch(choice.permit, now)

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Give the room back and learn; see ``TargetChooser``."""
        self._chooser.finish(choice, outcome, now)
        self._metrics.count("mothshunt_attempts_total", outcome=outcome.value)
        self._wake_next(choice.target.customer, choice.target.service)

    async def _async_try(
        self, request: _Request, deadline: float
    ) -> Result[Choice, Failure]:
        now = self._clock.monotonic()
        patient_until = now + PATIENCE_S
        refuse_at = give_up_at(now, deadline)
        result = self._try(request, now, counted=True, patient=True)
        counted_away = False
        while result.is_error() and result.error.code not in _FINAL:
            patient = now < patient_until
            wait_until = min(patient_until, refuse_at) if patient else refuse_at
            if now >= refuse_at:
                break
            if not await self._async_room(request, wait_until - now):
                return Error(_too_many_waiting())
            now = self._clock.monotonic()
            patient = now < patient_until
            counted = not patient and not counted_away
            counted_away = counted_away or counted
            result = self._try(request, now, counted=counted, patient=patient)
        return result

    def _try(
        self, request: _Request, now: float, *, counted: bool, patient: bool
    ) -> Result[Choice, Failure]:
        self._limits.refresh()
        result = self._chooser.choose(
            contract=request.contract,
            service=request.service,
            idempotent=request.idempotent,
            excluded=request.excluded,
            drains=self._configuration.current().drains,
            now=now,
            counted=counted,
            patient=patient,
        )
        if result.is_error():
            self._limits.request_renewal()
        return result

    async def _async_room(self, request: _Request, timeout_s: float) -> bool:
        """Wait until room may have come free; ``False`` when too many wait."""
        waiting = asyncio.get_running_loop().create_future()
        customer = request.contract.customer
        place = (customer, request.service, request.idempotent, waiting)
        if not self._room.add(*place):
            return False
        try:
            async with asyncio.timeout(timeout_s):
                await waiting
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            # Room that was offered to a caller that is gone goes to the next one.
            if waiting.done() and not waiting.cancelled():
                self._wake_next(customer, request.service)
            raise
        finally:
            self._room.discard(*place)
        return True

    def _wake_next(self, customer: CustomerId, service: ServiceName) -> None:
        waiting = self._room.take_next(customer, service)
        if waiting is not None:
            _wake(waiting)

    def _wake_all(self) -> None:
        for waiting in list(self._room.take_all()):
            _wake(waiting)

    def _count_refusal(self, failure: Failure) -> None:
        self._metrics.count("mothshunt_choices_refused_total", reason=failure.code.name)


def _wake(waiting: asyncio.Future[None]) -> None:
    if not waiting.done():
        waiting.set_result(None)


def _too_many_waiting() -> Failure:
    return Failure(code=codes.TOO_MANY_WAITING, retry_after_s=RETRY_AFTER_MIN_S)
