"""Division of a limit among holders that want parts of it."""

from collections.abc import Sequence
from dataclasses import dataclass

from mothshunt.contract.model import ShiftLimit
from mothshunt.core.types import CustomerId, InstanceId, RegionId
from mothshunt.limits.model import LimitKey, LimitKind
from mothshunt.limits.shares import link_key, shift_key


@dataclass(frozen=True, slots=True)
class Wish:
    """Say what one holder needs and wants of a limit.

    :param holder: The holder.
    :param needed: What usual use takes, in requests.
    :param wanted: What peaks take as well, in requests.
    """

    holder: InstanceId
    needed: int
    wanted: int


def divide(
    total: int,
    home: Sequence[Wish],
    away: Sequence[Wish],
    holder: InstanceId,
    rotation: int,
) -> int:
    """Return the part of one holder.

    Needs of the entries of a region go first, then what entries of other regions
    want, then the peaks of the former; half of what is left is spread among them.

    :param total: What is divided, in requests.
    :param home: Wishes of entries of the region, where the limit is of a region.
    :param away: Wishes of other entries.
    :param holder: Holder whose part is asked for.
    :param rotation: Any number; changes who gets what is left over by whole numbers.
    """
    needs = {item.holder: item.needed for item in home}
    shifts = {item.holder: item.wanted for item in away}
    peaks = {item.holder: item.wanted - item.needed for item in home}
    if holder in shifts:
        left = max(0, total - sum(needs.values()))
        return proportional_share(left, shifts, holder, rotation)
    part = fair_share(total, needs, holder, rotation)
    left = max(0, total - sum(needs.values()) - sum(shifts.values()))
    part += fair_share(left, peaks, holder, rotation)
    spare = max(0, left - sum(peaks.values()))
    return part + spare // (2 * len(home))


def proportional_share(
    total: int,
    wanted_by_holder: dict[InstanceId, int],
    holder: InstanceId,
    rotation: int,
) -> int:
    """Return the part of one holder in proportion to what it wants.

    :param total: What is divided, in requests.
    :param wanted_by_holder: What each holder wants, in requests.
    :param holder: Holder whose part is asked for.
    :param rotation: Any number; changes who gets what is left over.
    """
    wanted = sum(wanted_by_holder.values())
    if wanted <= total:
        return wanted_by_holder[holder]
    names = sorted(wanted_by_holder)
    start = rotation % len(names)
    before = 0
    for name in names[start:] + names[:start]:
        after = before + wanted_by_holder[name]
        if name == holder:
            return after * total // wanted - before * total // wanted
        before = after
    return 0


def fair_share(
    total: int,
    wanted_by_holder: dict[InstanceId, int],
    holder: InstanceId,
    rotation: int,
) -> int:
    """Return the max-min fair part of one holder.

    Holders that want less than an even part get all that they want; the rest is
    divided evenly among the others. What is left over by whole numbers goes to
    holders in an order that moves with ``rotation``.

    :param total: What is divided, in requests.
    :param wanted_by_holder: What each holder wants, in requests.
    :param holder: Holder whose part is asked for.
    :param rotation: Any number; changes who gets what is left over.
    """
    if sum(wanted_by_holder.values()) <= total:
        return wanted_by_holder[holder]
    names = sorted(wanted_by_holder)
    start = rotation % len(names)
    order = names[start:] + names[:start]
    # The stable sort keeps the rotated order among holders that want the same.
    order.sort(key=lambda item: wanted_by_holder[item])
    left = total
    for position, item in enumerate(order):
        waiting = len(order) - position
        even = (left + waiting - 1) // waiting
        part = min(wanted_by_holder[item], even, left)
        if item == holder:
            return part
        left -= part
    return 0


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
