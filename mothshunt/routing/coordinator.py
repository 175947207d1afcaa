"""Changes and confirmed reads of the routing items at a control instance."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, TypeVar

from expression import Error, Ok, Result

from mothshunt.configuration.decode import ItemDecoder
from mothshunt.configuration.model import ItemKey, Section
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.consensus import codes as consensus_codes
from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    OperatorId,
    Ran,
    Revision,
    TargetId,
)
from mothshunt.helpers import log
from mothshunt.helpers.log import get_logger
from mothshunt.receipt.model import Receipt
from mothshunt.routing import codes, const
from mothshunt.routing.applier import routing_items
from mothshunt.routing.log_events import EvacuationSet, RoutingItemsSet, TargetRetires
from mothshunt.routing.messages import (
    EvacuationOutcome,
    PatchOutcome,
    PatchRouting,
    PatchStatus,
    RetireOutcome,
    RetireTarget,
    SetEvacuation,
)
from mothshunt.routing.model import RetiredState, RetiredTarget
from mothshunt.routing.state import RoutingItems
from mothshunt.util import wire

_LOGGER = get_logger("routing")

_INVALID_CODES: dict[int, ResultCode] = {
    code.number: code
    for code in (
        codes.INVALID_ITEM,
        codes.UNKNOWN_SERVICE,
        codes.PLACE_TAKEN,
        codes.KEY_TAKEN,
    )
}

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class RoutingCoordinator:
    """Commit of routing commands, and reads that a majority has confirmed.

    :param state: The replicated configuration.
    :param log: The replicated log from which the configuration is built.
    """

    state: ReplicatedConfiguration
    log: ReplicatedLog
    _decoder: ItemDecoder = field(default_factory=ItemDecoder)

    async def async_patch(self, patch: PatchRouting) -> Result[PatchOutcome, Failure]:
        """Commit the routing items that a patch sets and drops.

        :param patch: The patch.
        :return: The outcome, once a majority has committed it; or a failure with code
            2701 to 2705 or 2708.
        """
        match await self._async_propose(patch, PatchOutcome):
            case Result(
                tag="ok", ok=PatchOutcome(status=PatchStatus.INVALID) as invalid
            ):
                failure = Failure(
                    code=_INVALID_CODES.get(invalid.code, codes.INVALID_ITEM),
                    detail=invalid.detail,
                )
                _LOGGER.failure("routing call refused", failure)
                return Error(failure)
            case Result(tag="ok", ok=outcome):
                log.write(
                    RoutingItemsSet(
                        revision=outcome.revision,
                        items=outcome.changed,
                        operator=patch.operator,
                    )
                )
                return Ok(outcome)
            case Result(error=failure):
                return Error(failure)

    async def async_items(self) -> Result[RoutingItems, Failure]:
        """Return all routing items after a majority confirmed that they are current."""
        confirmed = await self.log.async_read_barrier(const.COMMIT_TIMEOUT_S)
        return confirmed.map(lambda _: routing_items(self.state.store, self._decoder))

    async def async_evacuated_zones(
        self,
    ) -> Result[tuple[AvailabilityZoneId, ...], Failure]:
        """Return the evacuated availability zones, sorted, confirmed by a majority."""
        confirmed = await self.log.async_read_barrier(const.COMMIT_TIMEOUT_S)
        return confirmed.map(lambda _: self._evacuated_zones())

    def _evacuated_zones(self) -> tuple[AvailabilityZoneId, ...]:
        evacuations = self._decoder.values(self.state.store, Section.EVACUATION)
        evacuated = (item for item in evacuations.values() if item.is_evacuated)
        return tuple(sorted(item.availability_zone for item in evacuated))

    async def async_set_evacuation(
        self,
        operator: OperatorId,
        zone: AvailabilityZoneId,
        *,
        is_evacuated: bool,
        receipt: Receipt,
    ) -> Result[Revision, Failure]:
        """Begin or end the evacuation of an availability zone.

        :param operator: Operator who requests it.
        :param zone: The zone.
        :param is_evacuated: Whether the zone's targets shall get no new requests.
        :param receipt: Receipt of the operator's call.
        :return: Revision of the change; or a failure with code 1201, 1202, 2704 or
            2706.
        """
        key = ItemKey(section=Section.EVACUATION, name=zone)
        delay_s = self._reversal_delay_s(key, is_evacuated)
        refusal = receipt.find_refusal()
        if refusal is None:
            await asyncio.sleep(delay_s)
            refusal = receipt.find_refusal()
        if refusal is not None:
            _LOGGER.failure(f"evacuation call for {zone} refused", refusal)
            return Error(refusal)
        command = SetEvacuation(
            operator=operator,
            availability_zone=zone,
            is_evacuated=is_evacuated,
            base_revision=min(self.state.store.revision_of(key), receipt.revision),
        )
        timeout_s = const.COMMIT_TIMEOUT_S - delay_s
        match await self._async_propose(command, EvacuationOutcome, timeout_s):
            case Result(tag="ok", ok=EvacuationOutcome(is_accepted=True) as outcome):
                log.write(
                    EvacuationSet(
                        zone=zone, evacuated=is_evacuated, revision=outcome.revision
                    )
                )
                return Ok(outcome.revision)
            case Result(tag="ok"):
                return Error(Failure(code=codes.SUPERSEDED, detail=zone))
            case Result(error=failure):
                return Error(failure)

    def _reversal_delay_s(self, key: ItemKey, is_evacuated: bool) -> float:
        evacuations = self._decoder.values(self.state.store, Section.EVACUATION)
        stored = evacuations.get(key.name)
        if stored is None or stored.is_evacuated is is_evacuated:
            return 0.0
        return const.REVERSAL_DELAY_S

    async def async_retire(
        self, target: TargetId, incarnation: Incarnation, state: RetiredState
    ) -> Result[Revision, Failure]:
        """Record that a target leaves or has left.

        :param target: Name of the target.
        :param incarnation: Incarnation that leaves or has left.
        :param state: Whether it leaves or has left.
        :return: Revision of the record; or a failure with code 2704.
        """
        retired = RetiredTarget(target=target, incarnation=incarnation, state=state)
        key = ItemKey(section=Section.RETIRED_TARGET, name=target)
        stored = self._decoder.values(self.state.store, Section.RETIRED_TARGET).get(
            target
        )
        if stored == retired:
            # Only commands that a majority has committed are applied here.
            return Ok(self.state.store.revision_of(key))
        outcome = await self._async_propose(
            RetireTarget(retired=retired), RetireOutcome
        )
        if outcome.is_ok():
            log.write(
                TargetRetires(
                    target=target,
                    incarnation=incarnation,
                    state=state.value,
                    revision=outcome.ok.revision,
                )
            )
        return outcome.map(lambda recorded: recorded.revision)

    async def _async_propose(
        self, command: object, kind: type[T], timeout_s: float = const.COMMIT_TIMEOUT_S
    ) -> Result[T, Failure]:
        proposed = await self.log.async_propose(wire.pack(command), timeout_s)
        if proposed.is_error():
            return Error(_not_committed(proposed.error))
        unpacked: Result[Any, Failure] = wire.unpack(proposed.ok)
        if unpacked.is_ok() and isinstance(unpacked.ok, kind):
            return Ok(unpacked.ok)
        detail = "the log returned an outcome of an unexpected type"
        return Error(_not_committed(Failure(code=codes.NOT_COMMITTED, detail=detail)))


def _not_committed(cause: Failure) -> Failure:
    code = codes.NOT_COMMITTED
    if cause.code is consensus_codes.COMMAND_TOO_LARGE:
        code = codes.TOO_LARGE
    failure = Failure(
        code=code, detail=f"{cause.code.name}: {cause.detail}", ran=Ran.UNKNOWN
    )
    _LOGGER.failure("routing command not committed", failure)
    return failure
