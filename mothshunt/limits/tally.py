"""Sums over the holders of one limit."""

from dataclasses import dataclass

from mothshunt.limits.messages import Holding


@dataclass(slots=True)
class LimitTotals:
    """Running sums over the holders of one limit.

    They are updated with each report, so that the cost of a renewal does not grow
    with the number of holders.

    :param outstanding: Leased shares that may be in use anywhere, in requests.
    :param in_use: Requests in flight as last reported.
    :param excess_static: Static shares in use beyond what the limit reserves now.
    :param home_holders: Holders in the region whose capacity is limited.
    :param home_needed: Leased shares that these holders need for average use.
    :param home_peaks: Leased shares that they want for peaks beyond their need.
    :param remote_wanted: Leased shares that holders in other regions want.
    """

    outstanding: int = 0
    in_use: int = 0
    excess_static: int = 0
    home_holders: int = 0
    home_needed: int = 0
    home_peaks: int = 0
    remote_wanted: int = 0

    def add_demand(self, holding: Holding, is_home_region: bool, sign: int) -> None:
        """Add the demand of a holder to the sums, or subtract it.

        :param holding: What the holder reported.
        :param is_home_region: Whether the limit is the capacity of the holder's
            region.
        :param sign: 1 to add, -1 to subtract.
        """
        if not is_home_region:
            self.remote_wanted += sign * holding.wanted
            return
        self.home_holders += sign
        self.home_needed += sign * holding.needed
        self.home_peaks += sign * (holding.wanted - holding.needed)
