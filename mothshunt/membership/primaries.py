"""Choice of the control instances that send an instance each change at once."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from mothshunt.core.types import AvailabilityZoneId, InstanceId, RegionId
from mothshunt.membership import const
from mothshunt.util.hashing import hash_text


@dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """Region and availability zone of an instance.

    :param region: Its region.
    :param availability_zone: Its availability zone.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId


def order_by_distance(
    attached: Iterable[InstanceId],
    location_by_id: Mapping[InstanceId, Location],
    own_id: InstanceId,
    own: Location,
) -> tuple[InstanceId, ...]:
    """Return the control instances in the order of their distance.

    Ties are broken by a hash per instance.

    :param attached: Connected control instances.
    :param location_by_id: Regions and zones of those that have sent them.
    :param own_id: Name of the instance that chooses.
    :param own: Its region and availability zone.
    """

    def distance(control: InstanceId) -> tuple[bool, bool, int]:
        location = location_by_id.get(control)
        is_far = location is None or location.region != own.region
        is_other_zone = is_far or (
            location is not None and location.availability_zone != own.availability_zone
        )
        return (is_far, is_other_zone, hash_text(f"{own_id} {control}"))

    return tuple(sorted(attached, key=distance))


def choose_primaries(nearest: Sequence[InstanceId]) -> frozenset[InstanceId]:
    """Return the control instances that send an instance each change at once.

    The other control instances send changes too, but later. Two primaries are enough
    to tolerate the loss of one.

    :param nearest: Connected control instances, nearest first.
    """
    return frozenset(nearest[: const.PRIMARY_COUNT])
