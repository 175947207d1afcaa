"""Division of a limit among holders that want parts of it."""

from collections.abc import Mapping
from dataclasses import dataclass

from mothshunt.contract.model import ShiftLimit
from mothshunt.core.types import InstanceId


def fair_share(
    total: int,
    wanted_by_holder: Mapping[InstanceId, int],
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
    wanting = sorted(item for item in wanted_by_holder if wanted_by_holder[item] > 0)
    if holder not in wanting or total <= 0:
        return 0
    start = rotation % len(wanting)
    order = wanting[start:] + wanting[:start]
    # The stable sort keeps the rotated order among holders that want the same.
    order.sort(key=lambda item: wanted_by_holder[item])
    left = total
    for position, item in enumerate(order):
        even = left / (len(order) - position)
        part = min(wanted_by_holder[item], -int(-even // 1))
        if item == holder:
            return min(part, left)
        left -= min(part, left)
    return 0


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
