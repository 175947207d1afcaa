"""Whether objects have one target in the whole deployment, or one in each region.

Each target that learns an object gives a slow answer for it. Where answers from other
regions come in time, an object therefore has one target in the whole deployment.
"""

from dataclasses import dataclass

from mothshunt.placement import const


@dataclass(slots=True)
class Spread:
    """Say which part of the objects has one target in the whole deployment.

    :param max_region_shift: Part of a region's requests that may change region from
        one window to the next.
    :param part: That part; the other objects have a target in each region.
    :param far_s: Least time of an answer from another region for an object that its
        target knows, in seconds; 0 before the first. Unlike the usual time it tells
        nothing of queues, which entry instances would judge unalike.
    :param near_s: The same from the own region.
    """

    max_region_shift: float
    part: float = 1.0
    far_s: float = 0.0
    near_s: float = 0.0
    _latency_s: float = float("inf")
    _way_part: float | None = None
    _is_worthwhile: bool = True

    def learn(self, took_s: float, *, is_far: bool) -> None:
        """Take the time of an answer for an object that the target knew.

        :param took_s: The time, in seconds.
        :param is_far: Whether the target is in another region.
        """
        if is_far:
            self.far_s = min(self.far_s or took_s, took_s)
        else:
            self.near_s = min(self.near_s or took_s, took_s)

    def ask(self, target_latency_s: float) -> None:
        """Take in how soon callers want their answers.

        :param target_latency_s: Time within which an answer is worth most.
        """
        self._latency_s = min(self._latency_s, target_latency_s)

    def follow(self, *, has_traffic: bool) -> None:
        """Adjust the part in the steps that are allowed; called each interval.

        :param has_traffic: Whether requests were sent that could change their place.
        """
        if self._latency_s < float("inf"):
            limit = (
                const.FAR_LEAVE_PART if self._is_worthwhile else const.FAR_ENTER_PART
            )
            self._is_worthwhile = self._way_s() <= self._latency_s * limit
            if self.far_s and self.near_s:
                self._way_part = self._way_s() / self._latency_s
            self._latency_s = float("inf")
        # So that a way that has become longer is found out within some minutes.
        self.far_s *= const.LEAST_TIME_GROWTH
        self.near_s *= const.LEAST_TIME_GROWTH
        wanted = 1.0 if self._is_worthwhile else 0.0
        step = 1.0
        if has_traffic:
            steps = const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S
            step = self.max_region_shift * const.SHIFT_SAFETY / steps
        self.part += max(-step, min(step, wanted - self.part))

    def is_way_felt(self) -> bool:
        """Tell whether callers feel a round trip to other regions; unknown ones too."""
        return self._way_part is None or self._way_part >= const.FELT_WAY_PART

    def _way_s(self) -> float:
        """Return how much longer answers from other regions take, in seconds."""
        if not self.far_s or not self.near_s:
            return 0.0
        return max(0.0, self.far_s - self.near_s)
