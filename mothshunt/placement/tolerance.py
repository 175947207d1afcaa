"""Which requests leave a region that is short of capacity: those that can bear it.

A region whose callers request more than its targets handle sends a share of their
requests to other regions. A request whose target latency leaves no time for the way to
another region is late there for certain, so it stays as long as others can go instead.
"""

from dataclasses import dataclass

#: Weight of a new request in the smoothed share of tolerant ones.
TOLERANT_SHARE_WEIGHT = 1 / 64
#: Round trips to another region that a request takes: targets of other regions are used
#: too rarely for a connection to be kept, and opening one takes a round trip.
REMOTE_ROUND_TRIPS = 2


@dataclass(slots=True)
class RemoteTolerance:
    """Share of the requests of a service that are in time in other regions too.

    :param tolerant_share: That share, smoothed.
    """

    tolerant_share: float = 1.0

    def record(self, *, is_tolerant: bool) -> None:
        """Record a request.

        :param is_tolerant: Whether it is in time in other regions too.
        """
        found = 1.0 if is_tolerant else 0.0
        self.tolerant_share += TOLERANT_SHARE_WEIGHT * (found - self.tolerant_share)

    def remote_share(self, share: float, *, is_tolerant: bool) -> float:
        """Return the share of tolerant, or of other, requests that leave the region.

        :param share: Share of all requests that should leave it.
        :param is_tolerant: Which of both.
        """
        tolerant = self.tolerant_share
        if is_tolerant:
            return min(1.0, share / tolerant) if tolerant > 0 else 1.0
        return max(0.0, share - tolerant) / (1.0 - tolerant) if tolerant < 1 else share


def is_tolerant(
    target_latency_s: float, service_s: float, remote_delay_s: float
) -> bool:
    """Whether a request is in time in another region too.

    :param target_latency_s: Target latency, in seconds.
    :param service_s: Service time for an object that the target knows, in seconds.
    :param remote_delay_s: Additional delay of other regions, in seconds; 0 if it is not
        known.
    """
    return target_latency_s >= service_s + REMOTE_ROUND_TRIPS * remote_delay_s
