"""Global affinity: whether an object has one target in all regions, or one in each.

The first response for an object is slow at each target. Therefore an object has only
one target in the whole deployment, if responses from other regions are fast enough.
"""

from dataclasses import dataclass

from mothshunt.placement import const


@dataclass(slots=True)
class GlobalAffinity:
    """Share of a service's objects that have one target in the whole deployment.

    :param max_region_shift: Largest share of a region's requests that may change
        region from one window to the next.
    :param share: That share; the other objects have a target in each region.
    :param min_remote_s: Minimum time to a response from another region for an object
        that the target knows, in seconds; 0 before the first. Unlike the mean it does
        not include queueing, which entry instances would measure differently.
    :param min_local_s: The same for the own region.
    :param prefers_region: Whether each object is requested in one region only, so that
        it is to have its target there.
    """

    max_region_shift: float
    share: float = 1.0
    min_remote_s: float = 0.0
    min_local_s: float = 0.0
    prefers_region: bool = False
    _latency_s: float = float("inf")
    _remote_delay_share: float | None = None
    _is_worthwhile: bool = True

    def record_response(self, took_s: float, *, is_remote: bool) -> None:
        """Record the time of a response for an object that the target knew.

        :param took_s: Time from the request to the response, in seconds.
        :param is_remote: Whether the target is in another region.
        """
        if is_remote:
            self.min_remote_s = min(self.min_remote_s or took_s, took_s)
        else:
            self.min_local_s = min(self.min_local_s or took_s, took_s)

    def record_target_latency(self, target_latency_s: float) -> None:
        """Record the target latency of a request; the lowest one of an interval counts.

        A request that is late already says nothing of the delay that others bear.

        :param target_latency_s: Time left to the target latency, in seconds; 0 for a
            late request.
        """
        if target_latency_s > 0:
            self._latency_s = min(self._latency_s, target_latency_s)

    def adjust(self, *, has_traffic: bool) -> None:
        """Adjust the share by one step; called once each adjustment interval.

        :param has_traffic: Whether requests were sent that a step would move; without
            any the share changes at once.
        """
        if self._latency_s < float("inf"):
            limit = (
                const.GLOBAL_AFFINITY_EXIT_SHARE
                if self._is_worthwhile
                else const.GLOBAL_AFFINITY_ENTER_SHARE
            )
            self._is_worthwhile = self.remote_delay_s() <= self._latency_s * limit
            if self.min_remote_s and self.min_local_s:
                self._remote_delay_share = self.remote_delay_s() / self._latency_s
            self._latency_s = float("inf")
        # Let the minimums grow, so that a longer delay is noticed within some minutes.
        self.min_remote_s *= const.MIN_TIME_GROWTH
        self.min_local_s *= const.MIN_TIME_GROWTH
        is_wanted = self._is_worthwhile and not self.prefers_region
        wanted = 1.0 if is_wanted else 0.0
        step = 1.0
        if has_traffic:
            steps = const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S
            step = self.max_region_shift * const.SHIFT_LIMIT_SHARE / steps
        self.share += max(-step, min(step, wanted - self.share))

    def is_remote_delay_noticeable(self) -> bool:
        """Whether callers notice the delay of other regions, or it is not known yet."""
        return (
            self._remote_delay_share is None
            or self._remote_delay_share >= const.NOTICEABLE_DELAY_SHARE
        )

    def remote_delay_s(self) -> float:
        """Return the additional delay of other regions, in seconds; 0 if not known."""
        if not self.min_remote_s or not self.min_local_s:
            return 0.0
        return max(0.0, self.min_remote_s - self.min_local_s)
