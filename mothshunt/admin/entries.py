"""Operation that tells callers of entry instances; any instance answers it."""

from dataclasses import dataclass

from expression import Ok, Result
from pydantic import ConfigDict

from mothshunt.access.model import AccessRole
from mothshunt.admin.const import MS_PER_S
from mothshunt.admin.instances import address_text
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope
from mothshunt.admin.parameters import ReadQuery
from mothshunt.admin.routing_model import EntryDocument, EntryList
from mothshunt.core.clock import Clock
from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.lookup.directory import EntryLookup, LookupAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceQuery(ReadQuery):
    """Say where a caller is.

    :param region: Region of the caller.
    :param availability_zone: Availability zone of the caller.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    region: str = ""
    availability_zone: str = ""


@dataclass(frozen=True, slots=True)
class EntryHandlers:
    """Tell callers of entry instances.

    :param directory: Finds them.
    :param clock: Source of the present time.
    """

    directory: EntryLookup
    clock: Clock

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/entries",
                summary="Name the entry instances that a caller should use.",
                role=AccessRole.READ,
                scope=Scope.OPEN,
                handler=self._async_entries,
                query=PlaceQuery,
                answer=EntryList,
            ),
        )

    async def _async_entries(self, call: Call[PlaceQuery]) -> Result[Reply, Refusal]:
        found = self.directory.find(
            RegionId(call.query.region),
            AvailabilityZoneId(call.query.availability_zone),
            self.clock.monotonic(),
        )
        nobody = LookupAnswer((), self.directory.max_lifetime_s)
        answer = found.default_value(nobody)
        document = EntryList(
            entries=tuple(
                EntryDocument(
                    id=entry.instance,
                    region=entry.region,
                    availability_zone=entry.availability_zone,
                    address=address_text(entry.host, entry.port),
                )
                for entry in answer.entries
            ),
            lifetime_ms=int(answer.lifetime_s * MS_PER_S),
        )
        return Ok(Reply(body=document))
