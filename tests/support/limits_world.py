"""Contracts and instances for tests of limits, target choice and look-ups."""

from mothshunt.configuration.model import Configuration
from mothshunt.contract.model import (
    Contract,
    LinkLimit,
    RegionCapacity,
    ServiceContract,
    ShiftLimit,
)
from mothshunt.core.types import Preference, Revision, Role
from mothshunt.membership.model import InstanceRecord

REGIONS = ("north", "centre", "south")


def entry_record(name: str, region: str, seat: int, zone: str = "a") -> InstanceRecord:
    """Return the membership record of an entry instance."""
    return InstanceRecord(
        id=name,
        region=region,
        availability_zone=f"{region}-{zone}",
        roles=(Role.ENTRY,),
        traffic_host="127.0.0.1",
        traffic_port=8000,
        admin_host="127.0.0.1",
        admin_port=8001,
        peer_host="127.0.0.1",
        peer_port=8002,
        seat=seat,
    )


def contract(
    capacity: int,
    timeout_s: float = 2.0,
    *,
    weighs: Preference = Preference.HEADROOM,
    shift: ShiftLimit | None = None,
    link: int | None = None,
    cold_ramp_s: float = 0.0,
    connections: int = 300,
) -> Contract:
    """Return a contract with one service and the same capacity in each region."""
    links = () if link is None else tuple(_links(link))
    return Contract(
        customer="sleman",
        weighs=weighs,
        services=(
            ServiceContract(
                service="inventory",
                request_timeout_ms=int(timeout_s * 1000),
                cold_ramp_s=cold_ramp_s,
                connections_per_target=connections,
            ),
        ),
        regions=tuple(RegionCapacity(region=r, capacity=capacity) for r in REGIONS),
        links=links,
        shift=shift or ShiftLimit(cap=12, step=4),
    )


def _links(capacity: int):
    for start in REGIONS:
        for end in REGIONS:
            if start != end:
                yield LinkLimit(from_region=start, to_region=end, capacity=capacity)


def configuration(
    capacity: int,
    timeout_s: float,
    records: list[InstanceRecord],
    revision: int = 1,
    **terms: object,
) -> Configuration:
    """Return a configuration with one contract."""
    return configuration_of(contract(capacity, timeout_s, **terms), records, revision)


def configuration_of(
    item: Contract, records: list[InstanceRecord], revision: int = 1
) -> Configuration:
    """Return a configuration with the given contract."""
    return Configuration(
        revision=Revision(revision),
        contract_by_customer={item.customer: item},
        instance_by_id={record.id: record for record in records},
    )
