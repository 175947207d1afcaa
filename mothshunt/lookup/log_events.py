"""Log lines of the lookup slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import (
    AvailabilityZoneId,
    RegionId,
)
from mothshunt.helpers.log import Level, log_event


@log_event("no entry instance for look-ups", slice_name="lookup", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class LookupsUnanswered:
    """Look-ups answered without an entry instance, as none takes requests.

    :param region: Region of the client that sent the last such look-up.
    :param availability_zone: Availability zone of that client.
    :param unanswered: Number of such look-ups since the previous such line.
    :param known: Number of entry instances that this instance knows.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId
    unanswered: int
    known: int
