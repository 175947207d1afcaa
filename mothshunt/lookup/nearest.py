"""Choice of the entry instances that a caller is told of, by its own place."""

from collections.abc import Iterable, Sequence

from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.membership.roster_messages import ReadyEntry

#: Entry instances that a caller is told of at least, where there are as many: one that
#: is lost must not leave the caller without any until it asks again.
MIN_ENTRIES = 2
#: Entry instances that a caller is told of at most.
MAX_ENTRIES = 64
#: Shortest time for which an answer may be kept, in seconds: entry instances that start
#: together are ready within about half a second, and some callers keep an answer for
#: several times its lifetime.
MIN_LIFETIME_S = 0.25


def nearest_entries(
    ready: Iterable[ReadyEntry], region: RegionId, zone: AvailabilityZoneId
) -> Sequence[ReadyEntry]:
    """Return the entry instances of the nearest distance that has enough of them.

    :param ready: Entry instances that take requests.
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
    entries: Iterable[ReadyEntry], longest_s: float, now: float
) -> float:
    """Return for how long a caller may keep an answer, in seconds.

    When many start together the first one that is ready is named alone, to all who
    ask. So an answer is kept no longer than its newest entry instance has been ready:
    others may follow it just as soon.

    :param entries: Entry instances that the answer names.
    :param longest_s: Longest time for which an answer may be kept, in seconds.
    :param now: The present time, in seconds.
    """
    newest_s = now - max((e.ready_since for e in entries), default=now)
    return min(longest_s, max(MIN_LIFETIME_S, newest_s))
