"""The two customers as they are today."""

from collections.abc import Iterator
from dataclasses import dataclass

from mothshunt.contract.model import (
    Contract,
    LinkLimit,
    RegionCapacity,
    ServiceContract,
    ShiftLimit,
)
from mothshunt.core.types import (
    AvailabilityZoneId,
    CustomerId,
    Incarnation,
    InstanceId,
    Preference,
    RegionId,
    Role,
    ServiceName,
    TargetId,
    TargetState,
)
from mothshunt.discovery.model import Target
from mothshunt.membership.model import InstanceRecord

REGIONS = (RegionId("north"), RegionId("centre"), RegionId("south"))
ZONES = ("a", "b")
ENTRIES_PER_REGION = 3
#: Part of all slots that the usual load keeps busy.
USUAL_LOAD = 0.45
#: Part of a region's capacity that may be shifted, all regions summed.
SHIFT_RATIO = 1.0
#: Capacity of a region over its slots; some requests are on their way or queued.
CAPACITY_RATIO = 1.25
SHIFT_STEPS = 4
REQUEST_TIMEOUT_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceProfile:
    """Describe one service.

    :param name: Name of the service.
    :param targets: Number of targets.
    :param slots: Slots of each target, given out in turn.
    :param run_s: Mean time that a target takes, in seconds.
    :param idempotent: Part of the requests that may be repeated.
    """

    name: ServiceName
    targets: int
    slots: tuple[int, ...]
    run_s: float
    idempotent: float

    def total_slots(self) -> int:
        """Return the slots of all targets."""
        return sum(self.slots[i % len(self.slots)] for i in range(self.targets))


@dataclass(frozen=True, kw_only=True, slots=True)
class CustomerProfile:
    """Describe one customer.

    :param name: Name of the customer.
    :param weighs: What the contract prefers.
    :param region_latency_s: Round trip between regions, in seconds.
    :param services: Services of the customer.
    """

    name: CustomerId
    weighs: Preference
    region_latency_s: float
    services: tuple[ServiceProfile, ...]

    def region_slots(self) -> int:
        """Return the slots of one region's targets."""
        return sum(item.total_slots() for item in self.services) // len(REGIONS)

    def region_capacity(self) -> int:
        """Return the contract's capacity of a region, in requests in flight."""
        return int(self.region_slots() * CAPACITY_RATIO)

    def shift_cap(self) -> int:
        """Return the shift cap of the contract, in requests in flight."""
        return int(self.region_slots() * SHIFT_RATIO)

    def contract(self) -> Contract:
        """Return the contract."""
        cap = self.shift_cap()
        capacity = self.region_capacity()
        return Contract(
            customer=self.name,
            weighs=self.weighs,
            services=tuple(
                ServiceContract(
                    service=item.name,
                    request_timeout_ms=int(REQUEST_TIMEOUT_S * 1000),
                    cold_ramp_s=3.0,
                )
                for item in self.services
            ),
            regions=tuple(RegionCapacity(region=r, capacity=capacity) for r in REGIONS),
            links=tuple(
                LinkLimit(from_region=start, to_region=end, capacity=cap)
                for start in REGIONS
                for end in REGIONS
                if start != end
            ),
            shift=ShiftLimit(cap=cap, step=cap // SHIFT_STEPS, step_interval_s=0.5),
        )

    def targets(self) -> Iterator[Target]:
        """Yield the targets, spread over the availability zones."""
        for service in self.services:
            for i in range(service.targets):
                region = REGIONS[i % len(REGIONS)]
                zone = ZONES[i // len(REGIONS) % len(ZONES)]
                yield Target(
                    id=TargetId(f"{service.name}-{i}"),
                    incarnation=Incarnation(1),
                    customer=self.name,
                    service=service.name,
                    host="127.0.0.1",
                    port=1,
                    region=region,
                    availability_zone=AvailabilityZoneId(f"{region}-{zone}"),
                    slots=service.slots[i // len(REGIONS) % len(service.slots)],
                    state=TargetState.SERVING,
                    first_seen_at=0.0,
                )


def entry_records() -> tuple[InstanceRecord, ...]:
    """Return the entry instances, three in each region."""
    return tuple(
        InstanceRecord(
            id=InstanceId(f"{region}-{seat}"),
            region=region,
            availability_zone=AvailabilityZoneId(f"{region}-{ZONES[seat % 2]}"),
            roles=(Role.ENTRY,),
            traffic_host="127.0.0.1",
            traffic_port=1,
            admin_host="127.0.0.1",
            admin_port=1,
            peer_host="127.0.0.1",
            peer_port=1,
            seat=seat,
        )
        for region in REGIONS
        for seat in range(ENTRIES_PER_REGION)
    )


def _service(
    name: str, targets: int, slots: tuple[int, ...], run_s: float, idempotent: float
) -> ServiceProfile:
    return ServiceProfile(
        name=ServiceName(name),
        targets=targets,
        slots=slots,
        run_s=run_s,
        idempotent=idempotent,
    )


RACKHAVEN = CustomerProfile(
    name=CustomerId("rackhaven"),
    weighs=Preference.LATENCY,
    region_latency_s=0.035,
    services=(
        _service("cabinet-status", 12, (4, 3), 0.04, 1.0),
        _service("site-access", 12, (4, 3), 0.12, 0.3),
        _service("circuit-ordering", 12, (4, 3), 0.12, 0.3),
        _service("remote-hands", 12, (4, 3), 0.12, 0.4),
    ),
)
SLEMAN = CustomerProfile(
    name=CustomerId("sleman"),
    weighs=Preference.HEADROOM,
    region_latency_s=0.012,
    services=(
        _service("inventory", 18, (5,), 0.06, 1.0),
        _service("tray-reservation", 12, (3,), 0.12, 0.3),
        _service("deposit-payment", 12, (3,), 0.12, 0.2),
        _service("pickup-scheduling", 12, (3,), 0.12, 0.3),
    ),
)
PROFILES = (RACKHAVEN, SLEMAN)
