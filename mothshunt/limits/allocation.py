"""Division of a limit among the holders that request shares of it."""

import zlib
from dataclasses import dataclass

from mothshunt.contract.model import ShiftLimit
from mothshunt.core.types import CustomerId, InstanceId, RegionId
from mothshunt.limits.messages import Holding
from mothshunt.limits.model import LimitKey, LimitKind
from mothshunt.limits.shares import link_key, shift_key
from mothshunt.limits.tally import LimitTotals

_CRC_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class HashRounding:
    """Rounding of fractional shares by a hash that differs in each lease period.

    When a limit is too small to give every holder a whole request, the holders that
    are rounded up change from one period to the next.

    :param holder: Holder whose share is rounded.
    :param period: Number of the lease period.
    """

    holder: InstanceId
    period: int

    def round(self, value: float) -> int:
        """Round up with the probability of the fraction, else round down.

        The sum over many holders is therefore close to the exact sum.

        :param value: A share, in requests.
        """
        whole = int(value)
        fraction = zlib.crc32(f"{self.holder} {self.period}".encode()) / _CRC_RANGE
        return whole + (fraction < value - whole)


def allocate(
    available: int,
    totals: LimitTotals,
    holding: Holding,
    is_home_region: bool,
    rounding: HashRounding,
) -> int:
    """Return the share of one holder.

    The order of precedence is: what holders in the limit's own region need, what
    holders in other regions want, and what holders in the own region want beyond
    their need. Half of the rest is divided evenly among holders in the own region.
    A step that is not covered is divided in proportion to what its holders need or
    want. The shares may add up to slightly more than what is available; the caller
    grants no more than is free.

    :param available: Requests to divide.
    :param totals: Sums over all holders, including this one.
    :param holding: What the holder needs and wants.
    :param is_home_region: Whether the limit is the capacity of the holder's region.
    :param rounding: Rounding of fractional shares.
    """
    after_needs = max(0, available - totals.home_needed)
    if not is_home_region:
        return _proportional_share(
            after_needs, holding.wanted, totals.remote_wanted, rounding
        )
    share = _proportional_share(available, holding.needed, totals.home_needed, rounding)
    left = max(0, after_needs - totals.remote_wanted)
    share += _proportional_share(
        left, holding.wanted - holding.needed, totals.home_peaks, rounding
    )
    spare = max(0, left - totals.home_peaks)
    return share + spare // (2 * max(1, totals.home_holders))


def _proportional_share(
    available: int, wanted: int, wanted_by_all: int, rounding: HashRounding
) -> int:
    if wanted_by_all <= available:
        return wanted
    return rounding.round(wanted * available / wanted_by_all)


def trim_cross_region_shares(share_by_key: dict[LimitKey, int], home: RegionId) -> None:
    """Reduce the shares that a holder could not use because another one is smaller.

    A request to a target in another region counts towards the capacity of that
    region, the shift cap and, where the contract limits it, the link between the
    regions.

    :param share_by_key: Shares of one holder; changed in place.
    :param home: Region of the holder.
    """
    remote: dict[CustomerId, list[LimitKey]] = {}
    for key in share_by_key:
        if key.kind is LimitKind.REGION and key.name != home:
            remote.setdefault(key.customer, []).append(key)
    for customer in {key.customer for key in share_by_key}:
        regions = remote.get(customer, [])
        shift = shift_key(customer)
        if shift not in share_by_key:
            share_by_key.update(dict.fromkeys(regions, 0))
            continue
        remote_total = sum(share_by_key[key] for key in regions)
        share_by_key[shift] = min(share_by_key[shift], remote_total)
        for key in regions:
            share_by_key[key] = min(share_by_key[key], share_by_key[shift])
            link = link_key(customer, home, RegionId(key.name))
            if link in share_by_key:
                share_by_key[link] = min(share_by_key[link], share_by_key[key])


@dataclass(slots=True)
class ShiftRamp:
    """Bound on shifted requests that moves by at most one step per interval.

    :param level: Shifted requests allowed now.
    :param changed_at: Monotonic time of the last step, in seconds.
    """

    level: int
    changed_at: float

    def update(self, shift: ShiftLimit, shifted: int, now: float) -> int:
        """Move the level towards the present use plus one step, and return it.

        :param shift: Shift limit of the contract.
        :param shifted: Requests that are shifted now.
        :param now: Monotonic time, in seconds.
        """
        if now - self.changed_at >= shift.step_interval_s:
            desired = shifted + shift.step
            desired = max(
                self.level - shift.step, min(desired, self.level + shift.step)
            )
            self.level = max(desired, shift.step)
            self.changed_at = now
        self.level = min(self.level, shift.cap)
        return self.level
