"""Contract limits on the requests of one customer at this instance."""

from mothshunt.contract.model import Contract
from mothshunt.core.types import RegionId
from mothshunt.limits.holder import Holder, Lane
from mothshunt.limits.shares import keys_for, region_key


class CustomerLimits:
    """Cache of one customer's limits by the region of the target.

    :param contract: Contract of the customer.
    :param home: Region of this instance.
    :param holder: Shares of the limits that this instance holds.
    """

    def __init__(self, contract: Contract, home: RegionId, holder: Holder) -> None:
        self.contract = contract
        self._home = home
        self._holder = holder
        self._lane_by_region: dict[RegionId, Lane] = {}

    def lane(self, region: RegionId) -> Lane:
        """Return the limits that apply to a request to a target of a region.

        :param region: Region of the target.
        """
        lane = self._lane_by_region.get(region)
        if lane is None:
            keys = keys_for(self.contract, self._home, region)
            lane = self._lane_by_region[region] = self._holder.lane(keys)
        return lane

    def utilization(self, region: RegionId, now: float) -> float:
        """Return the utilization of this instance's share of a region's capacity.

        :param region: The region.
        :param now: Monotonic time, in seconds.
        """
        key = region_key(self.contract.customer, region)
        capacity = self._holder.capacity(key, now)
        return self._holder.in_use(key) / capacity if capacity else 1.0
