"""Choice of the entry instances that a request is relayed to."""

from collections.abc import Iterable, Mapping, Set
from random import Random

from mothshunt.core.types import InstanceId, RegionId
from mothshunt.isolation import const
from mothshunt.membership.roster_messages import EntryRow


def relay_candidates(
    entries: Iterable[EntryRow],
    own: EntryRow,
    home_regions: Set[RegionId],
    avoided_until_by_id: Mapping[InstanceId, float],
    now: float,
    random: Random,
) -> list[EntryRow]:
    """Return the entry instances to relay a request to, in this order.

    Those of the own region come first, at random, so that no neighbour gets the
    requests of all. If one of the own zone refused a relay lately, the whole zone may
    be isolated, and other zones come first. An instance of another region is used only
    if the request may be served there: its body must not go elsewhere.

    :param entries: Entry instances that accept requests.
    :param own: This instance.
    :param home_regions: Regions that the request is restricted to; empty for none.
    :param avoided_until_by_id: Times until which instances aren't used, in seconds.
    :param now: The present time, in seconds.
    :param random: Source of randomness.
    """
    allowed = [
        row
        for row in entries
        if row.instance != own.instance
        and (row.region == own.region or not home_regions or row.region in home_regions)
    ]
    avoided = {i for i, until in avoided_until_by_id.items() if now < until}
    is_zone_suspect = any(
        row.instance in avoided and row.availability_zone == own.availability_zone
        for row in allowed
    )
    usable = [row for row in allowed if row.instance not in avoided]
    random.shuffle(usable)

    def rank(row: EntryRow) -> tuple[bool, bool]:
        in_zone = row.availability_zone == own.availability_zone
        return row.region != own.region, is_zone_suspect and in_zone

    return sorted(usable, key=rank)[: const.MAX_RELAYS]


def may_withdraw(entries: Iterable[EntryRow], own: EntryRow) -> bool:
    """Whether the look-ups name another entry instance of the own region.

    :param entries: Entry instances that accept requests.
    :param own: This instance.
    """
    return any(
        row.region == own.region and row.instance != own.instance for row in entries
    )
