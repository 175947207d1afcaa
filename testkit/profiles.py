"""Stand-in targets of the two customers at today's sizes."""

from collections.abc import Iterator
from dataclasses import dataclass

from testkit.fleet import ANY_PORT
from testkit.ports import HOST
from testkit.shape import REGIONS, ZONES_PER_REGION
from testkit.target.config import Endpoint, TargetConfig

COLD_FACTOR = 4.0
COLD_REQUESTS = 40


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceProfile:
    """Describe the targets of one service.

    :param customer: Customer.
    :param service: Service.
    :param targets_per_zone: Targets in each availability zone.
    :param slots: Slots of the targets of a zone, in turn.
    :param service_time_ms: Time that a request takes when caches are warm.
    """

    customer: str
    service: str
    targets_per_zone: int
    slots: tuple[int, ...]
    service_time_ms: float


RACKHAVEN = tuple(
    ServiceProfile(
        customer="rackhaven",
        service=service,
        targets_per_zone=2,
        slots=(3, 4),
        service_time_ms=service_time_ms,
    )
    for service, service_time_ms in (
        ("cabinet-status", 8.0),
        ("site-access", 20.0),
        ("circuit-ordering", 30.0),
        ("remote-hands", 20.0),
    )
)
SLEMAN = (
    ServiceProfile(
        customer="sleman",
        service="inventory",
        targets_per_zone=3,
        slots=(5,),
        service_time_ms=8.0,
    ),
    *(
        ServiceProfile(
            customer="sleman",
            service=service,
            targets_per_zone=2,
            slots=(3,),
            service_time_ms=25.0,
        )
        for service in ("tray-reservation", "deposit-payment", "pickup-scheduling")
    ),
)
PROFILES_BY_CUSTOMER = {"rackhaven": RACKHAVEN, "sleman": SLEMAN}


def full_targets(profile: ServiceProfile) -> list[TargetConfig]:
    """Return all targets of a service, in all availability zones.

    :param profile: The service.
    """
    return list(_targets(profile, ZONES_PER_REGION, profile.targets_per_zone))


def thin_targets(profile: ServiceProfile) -> list[TargetConfig]:
    """Return one target of a service in each region.

    :param profile: The service.
    """
    return list(_targets(profile, ZONES_PER_REGION[:1], 1))


def _targets(
    profile: ServiceProfile, zones: tuple[str, ...], per_zone: int
) -> Iterator[TargetConfig]:
    for region in REGIONS:
        for zone in zones:
            for number in range(per_zone):
                yield TargetConfig(
                    target=f"{profile.service}-{region}-{zone}{number + 1}",
                    customer=profile.customer,
                    service=profile.service,
                    region=region,
                    availability_zone=f"{region}-{zone}",
                    listen=Endpoint(host=HOST, port=ANY_PORT),
                    slots=profile.slots[number % len(profile.slots)],
                    service_time_ms=profile.service_time_ms,
                    cold_factor=COLD_FACTOR,
                    cold_requests=COLD_REQUESTS,
                )
