"""What targets say of themselves, taken by a control instance."""

import time
from dataclasses import dataclass

from expression import Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import Incarnation, TargetId
from mothshunt.registry.coordinator import RegistryPublisher
from mothshunt.registry.messages import Renewal, RenewalState
from mothshunt.routing.coordinator import RoutingCoordinator
from mothshunt.routing.model import RetiredState

MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, eq=False)
class TargetIntake:
    """Take renewals and leaves; a leave is confirmed once a majority holds it.

    :param publisher: Passes renewals on.
    :param routing: Has leaves committed.
    """

    publisher: RegistryPublisher
    routing: RoutingCoordinator

    async def async_renew(self, renewal: Renewal) -> Result[None, Failure]:
        """Take what a target says of itself.

        :param renewal: What it says.
        :return: Nothing, or a failure with code 2704 when it leaves and no majority
            holds that.
        """
        self.publisher.renew(renewal)
        if renewal.state is not RenewalState.LEAVING:
            return Ok(None)
        retired = await self.routing.async_retire(
            renewal.target, renewal.incarnation, RetiredState.LEAVING
        )
        return retired.map(lambda _: None)

    async def async_leave(
        self, target: TargetId, incarnation: Incarnation | None
    ) -> Result[None, Failure]:
        """Take it that a target has left.

        :param target: Name of the target.
        :param incarnation: Incarnation that left; ``None`` where it is not told, for
            the newest that is known, or else all that started before now.
        :return: Nothing, or a failure with code 2704 when no majority holds it.
        """
        if incarnation is None:
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
