"""Renewals and leave notices that targets send to a control instance."""

import time
from dataclasses import dataclass

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import Incarnation, TargetId
from mothshunt.helpers.log import get_logger
from mothshunt.receipt.model import Receipt
from mothshunt.registry.coordinator import RegistryPublisher
from mothshunt.registry.messages import Renewal, RenewalState
from mothshunt.routing import codes
from mothshunt.routing.coordinator import RoutingCoordinator
from mothshunt.routing.model import RetiredState
from mothshunt.util import wire

MILLISECONDS_PER_SECOND = 1000
_LOGGER = get_logger("registry")


@dataclass(slots=True, eq=False)
class TargetIntake:
    """Receiver of renewals and leave notices.

    A leave is confirmed once a majority of the control instances has stored it.

    :param publisher: Sends renewals on to other instances.
    :param routing: Commits leaves to the replicated log.
    """

    publisher: RegistryPublisher
    routing: RoutingCoordinator

    async def async_renew(self, renewal: Renewal) -> Result[None, Failure]:
        """Apply a renewal; commit the leave if the target is leaving.

        A renewal that can't be sent on is refused: in one message with other targets,
        it would keep them from being sent as well.

        :param renewal: The renewal.
        :return: Nothing; or a failure with code 2701 if it can't be encoded, or 2704 if
            the target is leaving and no majority has stored that.
        """
        try:
            wire.pack(renewal)
        except (ValueError, OverflowError) as error:
            return Error(_not_encoded(renewal, error))
        self.publisher.renew(renewal)
        if renewal.state is not RenewalState.LEAVING:
            return Ok(None)
        retired = await self.routing.async_retire(
            renewal.target, renewal.incarnation, RetiredState.LEAVING
        )
        return retired.map(lambda _: None)

    async def async_leave(
        self, target: TargetId, incarnation: Incarnation | None, receipt: Receipt
    ) -> Result[None, Failure]:
        """Commit that a target has left.

        :param target: Name of the target.
        :param incarnation: Incarnation that left. ``None`` stands for the newest known
            one or, if the target is not known, for all that started before now.
        :param receipt: Receipt of the target's call.
        :return: Nothing; or a failure with code 1202 if the target may have started
            again since, or 2704 if no majority has stored it.
        """
        if incarnation is None:
            refusal = receipt.find_age_refusal()
            if refusal is not None:
                _LOGGER.failure(f"leave of target {target!a:.80} refused", refusal)
                return Error(refusal)
            incarnation = self._newest_incarnation(target)
        retired = await self.routing.async_retire(
            target, incarnation, RetiredState.LEFT
        )
        return retired.map(lambda _: None)

    def _newest_incarnation(self, target: TargetId) -> Incarnation:
        known = self.publisher.follower.registry.known_by_target.get(target)
        if known is not None:
            return known.renewal.incarnation
        return Incarnation(int(time.time() * MILLISECONDS_PER_SECOND))


def _not_encoded(renewal: Renewal, error: Exception) -> Failure:
    detail = f"target {renewal.target!a:.80} can't be encoded: {error!s:.80}"
    failure = Failure(code=codes.INVALID_ITEM, detail=detail)
    _LOGGER.failure("renewal refused", failure)
    return failure
