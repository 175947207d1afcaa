"""Shapes of deployments: which instances there are, and with which roles."""

from collections.abc import Sequence
from dataclasses import dataclass

REGIONS = ("north", "centre", "south")
ZONES_PER_REGION = ("a", "b")
INSTANCES_PER_REGION = 3
#: Round-trip time between regions of each customer's profile, in seconds.
RACKHAVEN_REGION_RTT_S = 0.035
SLEMAN_REGION_RTT_S = 0.012


@dataclass(frozen=True, kw_only=True, slots=True)
class InstancePlan:
    """Say which instance to run.

    :param id: Unique name.
    :param region: Region.
    :param availability_zone: Availability zone.
    :param roles: ``entry``, ``control`` or both.
    """

    id: str
    region: str
    availability_zone: str
    roles: tuple[str, ...]

    @property
    def is_control(self) -> bool:
        """Tell whether it keeps durable state."""
        return "control" in self.roles

    @property
    def is_entry(self) -> bool:
        """Tell whether it serves callers."""
        return "entry" in self.roles


def today() -> tuple[InstancePlan, ...]:
    """Return nine instances, three a region, one of each three with both roles."""
    return tuple(
        InstancePlan(
            id=f"{region}-{number + 1}",
            region=region,
            availability_zone=f"{region}-{ZONES_PER_REGION[number % 2]}",
            roles=("entry", "control") if number == 0 else ("entry",),
        )
        for region in REGIONS
        for number in range(INSTANCES_PER_REGION)
    )


def small() -> tuple[InstancePlan, ...]:
    """Return three instances with both roles, one a region."""
    return tuple(
        InstancePlan(
            id=f"{region}-1",
            region=region,
            availability_zone=f"{region}-a",
            roles=("entry", "control"),
        )
        for region in REGIONS
    )


def small_with_entry() -> tuple[InstancePlan, ...]:
    """Return the small shape and one further entry instance, ``north-2``."""
    entry = InstancePlan(
        id="north-2", region="north", availability_zone="north-b", roles=("entry",)
    )
    return (*small(), entry)


def separate_roles(
    entry_regions: Sequence[str], *, entries_per_region: int = 1
) -> tuple[InstancePlan, ...]:
    """Return a control instance in each region, and entry instances in some.

    :param entry_regions: Regions that have entry instances.
    :param entries_per_region: Number of entry instances in each of them.
    """
    counted = (("control", REGIONS, 1), ("entry", entry_regions, entries_per_region))
    return tuple(
        InstancePlan(
            id=f"{region}-{role}" + (f"-{number + 1}" if number else ""),
            region=region,
            availability_zone=f"{region}-a",
            roles=(role,),
        )
        for role, regions, count in counted
        for number in range(count)
        for region in regions
    )


def single() -> tuple[InstancePlan, ...]:
    """Return one instance with both roles."""
    return small()[:1]
