"""Service times of the targets of a service, for objects that they know or not."""

from dataclasses import dataclass

from mothshunt.placement import const


@dataclass(slots=True)
class ServiceTime:
    """Smoothed service times over all targets of a service.

    :param known_s: Smoothed time for objects that the target knows, in seconds; 0
        before the first response.
    :param unknown_s: The same for objects that the target does not know.
    :param mean_s: The same for all requests.
    """

    known_s: float = 0.0
    unknown_s: float = 0.0
    mean_s: float = 0.0

    def expected_s(self, *, is_known: bool, target_latency_s: float) -> float:
        """Return the expected service time of an average target, in seconds.

        :param is_known: Whether the target knows the object.
        :param target_latency_s: Target latency of the route, in seconds; the time is
            derived from it until there is a measurement.
        """
        unknown_s = self.unknown_s or target_latency_s * const.INITIAL_UNKNOWN_FACTOR
        if is_known:
            return self.known_s or unknown_s * const.INITIAL_KNOWN_FACTOR
        return unknown_s

    def mean_or_initial_s(self, target_latency_s: float) -> float:
        """Return the mean service time, or an initial estimate, in seconds.

        :param target_latency_s: Target latency of the route, in seconds; the time is
            derived from it until there is a measurement.
        """
        return self.mean_s or target_latency_s * const.INITIAL_UNKNOWN_FACTOR

    def record(self, took_s: float, *, is_known: bool) -> None:
        """Record the time of one request that did not wait for others.

        :param took_s: Time from the request to the response, in seconds.
        :param is_known: Whether the target knew the object, as far as the entry
            instance could tell.
        """
        self.mean_s = _smoothed(self.mean_s, took_s)
        # Targets drop objects that they have not handled recently. A slow response for
        # an object that should be known counts as one for an unknown object.
        is_dropped = took_s > (self.known_s + self.unknown_s) / 2
        if is_known and not (self.known_s and is_dropped):
            self.known_s = _smoothed(self.known_s, took_s)
        else:
            self.unknown_s = _smoothed(self.unknown_s, took_s)


def _smoothed(held_s: float, took_s: float) -> float:
    if held_s == 0.0:
        return took_s
    return held_s + const.SERVICE_TIME_WEIGHT * (took_s - held_s)
