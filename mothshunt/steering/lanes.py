"""Limits that requests of one customer fall under at this instance."""

from mothshunt.contract.model import Contract
from mothshunt.core.types import RegionId
from mothshunt.limits.holder import LeaseHolder, LimitSet
from mothshunt.limits.shares import limit_keys, region_key


class Lanes:
    """Keep the limits of each region of the targets ready.

    :param contract: Contract of the customer.
    :param home: Region of this instance.
    :param holder: Shares of this instance.
    """

    def __init__(self, contract: Contract, home: RegionId, holder: LeaseHolder) -> None:
        self.contract = contract
        self._home = home
        self._holder = holder
        self._lane_by_region: dict[RegionId, LimitSet] = {}

    def lane(self, region: RegionId) -> LimitSet:
        """Return the limits of a request to a target.

        :param region: Region of the target.
        """
        lane = self._lane_by_region.get(region)
        if lane is None:
            keys = limit_keys(self.contract, self._home, region)
            lane = self._lane_by_region[region] = self._holder.limit_set(keys)
        return lane

    def use_ratio(self, region: RegionId, now: float) -> float:
        """Return the part in use of the share held of a region's capacity.

        :param region: The region.
        :param now: Monotonic time, in seconds.
        """
        key = region_key(self.contract.customer, region)
        capacity = self._holder.capacity(key, now)
        return self._holder.in_use(key) / capacity if capacity else 1.0
