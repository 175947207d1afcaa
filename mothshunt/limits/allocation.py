"""Division of a limit among holders that want parts of it."""

import zlib
from dataclasses import dataclass

from mothshunt.contract.model import ShiftLimit
from mothshunt.core.types import CustomerId, InstanceId, RegionId
from mothshunt.limits.messages import Holding
from mothshunt.limits.model import LimitKey, LimitKind
from mothshunt.limits.shares import link_key, shift_key
from mothshunt.limits.tally import Tally

_CRC_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class Draw:
    """Decide who gets what is left over by whole numbers, another one each time.

    :param holder: Holder whose part is asked for.
    :param rotation: Number of the lease period.
    """

    holder: InstanceId
    rotation: int

    def round(self, part: float) -> int:
        """Round up with a chance of the fraction, so that sums come out right.

        :param part: A part, in requests.
        """
        whole = int(part)
        drawn = zlib.crc32(f"{self.holder} {self.rotation}".encode()) / _CRC_RANGE
        return whole + (drawn < part - whole)


def divide(
    total: int, tally: Tally, holding: Holding, at_home: bool, draw: Draw
) -> int:
    """Return the part of one holder.

    Needs of the entries of a region go first, then what entries of other regions
    want, then the peaks of the former; half of what is left is spread among them.
    What is short is divided in proportion. Parts may add up to slightly more than
    the total; the caller grants no more than is free.

    :param total: What is divided, in requests.
    :param tally: Sums over all holders, this one counted in.
    :param holding: What the holder needs and wants.
    :param at_home: Whether the limit is of the region of the holder.
    :param draw: Rounds the part.
    """
    after_needs = max(0, total - tally.home_needed)
    if not at_home:
        return _share(after_needs, holding.wanted, tally.away_wanted, draw)
    part = _share(total, holding.needed, tally.home_needed, draw)
    left = max(0, after_needs - tally.away_wanted)
    part += _share(left, holding.wanted - holding.needed, tally.home_peaks, draw)
    spare = max(0, left - tally.home_peaks)
    return part + spare // (2 * max(1, tally.home_holders))


def _share(total: int, wanted: int, wanted_by_all: int, draw: Draw) -> int:
    if wanted_by_all <= total:
        return wanted
    return draw.round(wanted * total / wanted_by_all)


def trim_shifted(share_by_key: dict[LimitKey, int], home: RegionId) -> None:
    """Lower the shares that a holder could not use for want of another.

    A request that leaves its home region takes room under the target's region, the
    shift cap and perhaps a link.

    :param share_by_key: Shares of one holder; changed in place.
    :param home: Region of the holder.
    """
    away: dict[CustomerId, list[LimitKey]] = {}
    for key in share_by_key:
        if key.kind is LimitKind.REGION and key.name != home:
            away.setdefault(key.customer, []).append(key)
    for customer in {key.customer for key in share_by_key}:
        regions = away.get(customer, [])
        shift = shift_key(customer)
        if shift not in share_by_key:
            share_by_key.update(dict.fromkeys(regions, 0))
            continue
        reach = sum(share_by_key[key] for key in regions)
        share_by_key[shift] = min(share_by_key[shift], reach)
        for key in regions:
            share_by_key[key] = min(share_by_key[key], share_by_key[shift])
            link = link_key(customer, home, RegionId(key.name))
            if link in share_by_key:
                share_by_key[link] = min(share_by_key[link], share_by_key[key])


@dataclass(slots=True)
class ShiftLevel:
    """Bound the growth of shifted traffic to one step in each interval.

    :param level: Most requests that may be shifted now.
    :param changed_at: Monotonic time of the last step, in seconds.
    """

    level: int
    changed_at: float

    def update(self, shift: ShiftLimit, used: int, now: float) -> int:
        """Move the level by at most one step and return it.

        :param shift: Shift limit of the contract.
        :param used: Requests that are shifted now.
        :param now: Monotonic time, in seconds.
        """
        if now - self.changed_at >= shift.step_interval_s:
            aim = used + shift.step
            aim = max(self.level - shift.step, min(aim, self.level + shift.step))
            self.level = max(aim, shift.step)
            self.changed_at = now
        self.level = min(self.level, shift.cap)
        return self.level
