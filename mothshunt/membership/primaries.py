"""Choice of the control instances that tell an instance of each change at once."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mothshunt.core.types import AvailabilityZoneId, InstanceId, RegionId
from mothshunt.membership import const
from mothshunt.util.hashing import hash_text


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Say where an instance runs.

    :param region: Its region.
    :param availability_zone: Its availability zone.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId


def choose_primaries(
    attached: Iterable[InstanceId],
    place_by_id: Mapping[InstanceId, Place],
    own_id: InstanceId,
    own: Place,
) -> frozenset[InstanceId]:
    """Return the nearest control instances; equally near ones are shared out.

    The others are heard of as well, only later; two are enough for the loss of one.

    :param attached: Control instances that a stream leads to.
    :param place_by_id: Where they run, as far as they told.
    :param own_id: Name of the instance that chooses.
    :param own: Where it runs.
    """

    def distance(control: InstanceId) -> tuple[bool, bool, int]:
        place = place_by_id.get(control)
        is_far = place is None or place.region != own.region
        is_other_zone = is_far or (
            place is not None and place.availability_zone != own.availability_zone
        )
        return (is_far, is_other_zone, hash_text(f"{own_id} {control}"))

    return frozenset(sorted(attached, key=distance)[: const.PRIMARIES])
