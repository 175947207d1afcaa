"""Contract limits on the requests of one customer at this instance."""

from mothshunt.contract.model import Contract
from mothshunt.core.types import RegionId
from mothshunt.limits.holder import LeaseHolder, LimitSet
from mothshunt.limits.shares import limit_keys, region_key


class CustomerLimits:
    """Cache of one customer's limits by the region of the target.

    :param contract: Contract of the customer.
    :param home: Region of this instance.
    :param holder: Shares of the limits that this instance holds.
    """

    def __init__(self, contract: Contract, home: RegionId, holder: LeaseHolder) -> None:
        self.contract = contract
        self._home = home
        self._holder = holder
        self._limit_set_by_region: dict[RegionId, LimitSet] = {}

    def limit_set(self, region: RegionId) -> LimitSet:
        """Return the limits that apply to a request to a target of a region.

        :param region: Region of the target.
        """
        limit_set = self._limit_set_by_region.get(region)
        if limit_set is None:
            keys = limit_keys(self.contract, self._home, region)
            limit_set = self._limit_set_by_region[region] = self._holder.limit_set(keys)
        return limit_set

    def utilization(self, region: RegionId, now: float) -> float:
        """Return the utilization of this instance's share of a region's capacity.

        :param region: The region.
        :param now: Monotonic time, in seconds.
        """
        key = region_key(self.contract.customer, region)
        capacity = self._holder.capacity(key, now)
        return self._holder.in_use(key) / capacity if capacity else 1.0
