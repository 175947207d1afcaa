"""Selection of the entry instances nearest to a caller."""

from collections.abc import Iterable, Sequence

from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.membership.roster_messages import ReadyEntry

#: Fewest ready entry instances of the caller's zone for an answer with only those, so
#: that the loss of one does not leave the caller without any until its next look-up.
MIN_ENTRIES = 2
#: Most entry instances in an answer.
MAX_ENTRIES = 64
#: Shortest lifetime of an answer, in seconds: entry instances that start together
#: become ready within about half a second, and some callers cache an answer for several
#: times its lifetime.
MIN_LIFETIME_S = 0.25


def nearest_entries(
    ready: Iterable[ReadyEntry], region: RegionId, zone: AvailabilityZoneId
) -> Sequence[ReadyEntry]:
    """Return the entry instances of the caller's zone, of its region, or all.

    The zone is used if it has at least ``MIN_ENTRIES``, the region if it has any.

    :param ready: Entry instances that accept requests.
    :param region: Region of the caller.
    :param zone: Availability zone of the caller.
    """
    entries = list(ready)
    in_zone = [e for e in entries if e.row.availability_zone == zone]
    if len(in_zone) >= MIN_ENTRIES:
        return in_zone[:MAX_ENTRIES]
    in_region = [e for e in entries if e.row.region == region]
    if in_region:
        return in_region[:MAX_ENTRIES]
    return entries[:MAX_ENTRIES]


def answer_lifetime_s(
    entries: Iterable[ReadyEntry], max_lifetime_s: float, now: float
) -> float:
    """Return the lifetime of an answer, in seconds.

    When many entry instances start together, the first one that is ready is alone in
    all answers. So the lifetime is no longer than the newest entry instance of the
    answer has been ready: others may become ready just as soon.

    :param entries: Entry instances in the answer.
    :param max_lifetime_s: Longest lifetime of an answer, in seconds.
    :param now: Monotonic time, in seconds.
    """
    newest_ready_for_s = now - max((e.ready_since for e in entries), default=now)
    return min(max_lifetime_s, max(MIN_LIFETIME_S, newest_ready_for_s))
