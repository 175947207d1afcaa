"""Operations on routing items and on the evacuation of availability zones."""

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin.const import ATTR_ZONE
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope
from mothshunt.admin.parameters import ReadQuery
from mothshunt.admin.routing_model import (
    EvacuationDocument,
    EvacuationList,
    PatchBody,
    PatchDocument,
    RoutingDocument,
)
from mothshunt.core.codes import Failure
from mothshunt.core.types import AvailabilityZoneId
from mothshunt.routing.coordinator import RoutingCoordinator
from mothshunt.routing.messages import PatchOutcome


class RoutingHandlers:
    """Read and change routing items; each item has a version of its own.

    :param routing: Has changes committed.
    """

    def __init__(self, routing: RoutingCoordinator) -> None:
        self._routing = routing

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/routing",
                summary="Show the routes, services, limits and workspaces in force.",
                role=AccessRole.READ,
                scope=Scope.DEPLOYMENT,
                handler=self._async_get,
                answer=RoutingDocument,
            ),
            Route(
                method="POST",
                path="/v1/routing",
                summary="Set and drop routing items; the highest version of each wins.",
                role=AccessRole.CHANGE,
                scope=Scope.DEPLOYMENT,
                handler=self._async_patch,
                body=PatchBody,
                answer=PatchDocument,
            ),
            Route(
                method="GET",
                path="/v1/evacuations",
                summary="Name the availability zones that are evacuated.",
                role=AccessRole.READ,
                scope=Scope.DEPLOYMENT,
                handler=self._async_evacuations,
                answer=EvacuationList,
            ),
            Route(
                method="PUT",
                path="/v1/evacuations/{availability_zone}",
                summary="Send no new requests to the targets of an availability zone.",
                role=AccessRole.DRAIN,
                scope=Scope.DEPLOYMENT,
                handler=self._async_evacuate,
                answer=EvacuationDocument,
            ),
            Route(
                method="DELETE",
                path="/v1/evacuations/{availability_zone}",
                summary="Take an evacuated availability zone back.",
                role=AccessRole.DRAIN,
                scope=Scope.DEPLOYMENT,
                handler=self._async_end_evacuation,
                answer=EvacuationDocument,
            ),
        )

    async def _async_get(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        items = await self._routing.async_items()
        return items.map(
            lambda held: Reply(body=RoutingDocument.from_items(held))
        ).map_error(_refusal)

    async def _async_patch(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        body = call.document(PatchBody)
        if body.is_error():
            return Error(body.error)
        patched = await self._routing.async_patch(body.ok.patch(call.operator.id))
        return patched.map(_patch_reply).map_error(_refusal)

    async def _async_evacuations(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        zones = await self._routing.async_evacuated_zones()
        return zones.map(
            lambda names: Reply(body=EvacuationList(evacuated_zones=names))
        ).map_error(_refusal)

    async def _async_evacuate(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        return await self._async_set(call, is_evacuated=True)

    async def _async_end_evacuation(
        self, call: Call[ReadQuery]
    ) -> Result[Reply, Refusal]:
        return await self._async_set(call, is_evacuated=False)

    async def _async_set(
        self, call: Call[ReadQuery], *, is_evacuated: bool
    ) -> Result[Reply, Refusal]:
        zone = AvailabilityZoneId(call.path_values[ATTR_ZONE])
        revision = await self._routing.async_set_evacuation(
            call.operator.id,
            zone,
            is_evacuated=is_evacuated,
            receipt=call.receipt,
        )
        if revision.is_error():
            return Error(_refusal(revision.error))
        document = EvacuationDocument(
            availability_zone=zone, evacuated=is_evacuated, revision=revision.ok
        )
        return Ok(Reply(body=document, revision=revision.ok))


def _patch_reply(outcome: PatchOutcome) -> Reply:
    document = PatchDocument(revision=outcome.revision, changed=outcome.changed)
    return Reply(body=document, revision=outcome.revision)


def _refusal(failure: Failure) -> Refusal:
    return Refusal(failure=failure)
