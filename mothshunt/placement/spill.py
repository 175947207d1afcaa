"""Parts of a service's requests that leave their availability zone or region."""

from dataclasses import dataclass

from mothshunt.placement import const


@dataclass(frozen=True, kw_only=True, slots=True)
class RingLoad:
    """Hold the load of the targets of a service at one distance.

    :param slots: Requests that they run at a time, together.
    :param requests: Requests that they have, together.
    """

    slots: float
    requests: float

    @property
    def share(self) -> float:
        """Load as a part of the slots."""
        return self.requests / self.slots if self.slots > 0 else float("inf")


@dataclass(slots=True)
class Spill:
    """Adjust the parts slowly, so that objects stay with the targets that know them.

    :param max_region_shift: Part of a region's requests that may change region from
        one window to the next.
    :param zone_part: Part that goes to other availability zones of the region.
    :param region_part: Part that goes to other regions.
    """

    max_region_shift: float
    zone_part: float = 0.0
    region_part: float = 0.0

    def adjust(self, zone: RingLoad, region: RingLoad, beyond: RingLoad) -> None:
        """Adjust both parts to the load; called once each adjustment interval.

        :param zone: Targets of the own availability zone.
        :param region: Targets of the region's other availability zones.
        :param beyond: Targets of other regions.
        """
        self.zone_part = _step(
            self.zone_part, zone.share, region.share, const.ZONE_STEP
        )
        near = RingLoad(
            slots=zone.slots + region.slots, requests=zone.requests + region.requests
        )
        self.region_part = _step(
            self.region_part, near.share, beyond.share, self._region_step()
        )

    def _region_step(self) -> float:
        steps = const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S
        return self.max_region_shift * const.SHIFT_SAFETY / steps


def _step(part: float, own: float, other: float, step: float) -> float:
    if own > const.HIGH_LOAD and other < min(own, const.HIGH_LOAD):
        return min(1.0, part + step)
    if own < const.LOW_LOAD or other > max(own, const.HIGH_LOAD):
        return max(0.0, part - step)
    return part
