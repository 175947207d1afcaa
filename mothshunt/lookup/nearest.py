"""Choice of the entry instances that a caller is told of, by its own place."""

from collections.abc import Iterable, Sequence

from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.membership.roster_messages import EntryReport

#: Entry instances that a caller is told of at least, where there are as many: one that
#: is lost must not leave the caller without any until it asks again.
MIN_ENTRIES = 2
#: Entry instances that a caller is told of at most.
MAX_ENTRIES = 64


def nearest_entries(
    ready: Iterable[EntryReport], region: RegionId, zone: AvailabilityZoneId
) -> Sequence[EntryReport]:
    """Return the entry instances of the nearest distance that has enough of them.

    :param ready: Entry instances that take requests.
    :param region: Region of the caller.
    :param zone: Availability zone of the caller.
    """
    reports = list(ready)
    in_zone = [report for report in reports if report.availability_zone == zone]
    if len(in_zone) >= MIN_ENTRIES:
        return in_zone[:MAX_ENTRIES]
    in_region = [report for report in reports if report.region == region]
    if in_region:
        return in_region[:MAX_ENTRIES]
    return reports[:MAX_ENTRIES]
