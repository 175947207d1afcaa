"""Limits of contracts, and the static shares of entry instances."""

from collections.abc import Iterator, Mapping

from mothshunt.configuration.model import Configuration
from mothshunt.contract.model import Contract
from mothshunt.core.types import CustomerId, RegionId, Role
from mothshunt.limits.const import ENTRY_SEATS_PER_REGION, STATIC_SHARE_DIVISOR
from mothshunt.limits.model import LimitKey, LimitKind
from mothshunt.membership.model import InstanceRecord

_LINK_SEPARATOR = ">"


def region_key(customer: CustomerId, region: RegionId) -> LimitKey:
    """Return the key of the capacity of a region.

    :param customer: Customer whose contract sets the limit.
    :param region: The region.
    """
    return LimitKey(customer=customer, kind=LimitKind.REGION, name=region)


def link_key(
    customer: CustomerId, from_region: RegionId, to_region: RegionId
) -> LimitKey:
    """Return the key of the limit on a link between regions.

    :param customer: Customer whose contract sets the limit.
    :param from_region: Region of the entry instance.
    :param to_region: Region of the target.
    """
    name = f"{from_region}{_LINK_SEPARATOR}{to_region}"
    return LimitKey(customer=customer, kind=LimitKind.LINK, name=name)


def shift_key(customer: CustomerId) -> LimitKey:
    """Return the key of the shift cap of a contract.

    :param customer: Customer whose contract sets the limit.
    """
    return LimitKey(customer=customer, kind=LimitKind.SHIFT, name="")


def limit_keys(
    contract: Contract, home: RegionId, region: RegionId
) -> tuple[LimitKey, ...]:
    """Return the limits that apply to a request.

    :param contract: Contract of the customer.
    :param home: Region of the entry instance, the home of the request.
    :param region: Region of the target.
    """
    customer = contract.customer
    capacity = region_key(customer, region)
    if region == home:
        return (capacity,)
    if contract.link_limit(home, region) is None:
        return (capacity, shift_key(customer))
    return (capacity, link_key(customer, home, region), shift_key(customer))


def _contract_limits(contract: Contract) -> Iterator[tuple[LimitKey, int]]:
    """Return each limit of a contract with its value in requests in flight.

    :param contract: Contract of the customer.
    """
    customer = contract.customer
    for item in contract.regions:
        yield region_key(customer, item.region), item.capacity
    for link in contract.links:
        yield link_key(customer, link.from_region, link.to_region), link.capacity
    yield shift_key(customer), contract.shift.cap


def limit_by_key(configuration: Configuration) -> Mapping[LimitKey, int]:
    """Return every limit in force, in requests in flight.

    :param configuration: Configuration in force.
    """
    return {
        key: limit
        for contract in configuration.contract_by_customer.values()
        for key, limit in _contract_limits(contract)
    }


def static_reserve(key: LimitKey, limit: int) -> int:
    """Return the part of a limit that is reserved for static shares.

    Only the capacity of a region has such a part, because a request that leaves its
    home region also needs shares that exist only as leases.

    :param key: The limit.
    :param limit: Its value in requests in flight.
    """
    if key.kind is not LimitKind.REGION:
        return 0
    return limit // STATIC_SHARE_DIVISOR


def static_share(key: LimitKey, limit: int, record: InstanceRecord | None) -> int:
    """Return the static share of one entry instance.

    :param key: The limit.
    :param limit: Its value in requests in flight.
    :param record: The instance; ``None`` when it is not registered.
    """
    if record is None or Role.ENTRY not in record.roles:
        return 0
    if record.region != key.name or record.seat >= ENTRY_SEATS_PER_REGION:
        return 0
    total = static_reserve(key, limit)
    upper = (record.seat + 1) * total // ENTRY_SEATS_PER_REGION
    return upper - record.seat * total // ENTRY_SEATS_PER_REGION


def max_request_timeout_s(contract: Contract) -> float:
    """Return the longest time that a request of the customer may run, in seconds.

    :param contract: Contract of the customer.
    """
    return max(item.request_timeout_ms for item in contract.services) / 1000
