"""How long the targets of a service take, with an object that they know or not."""

from dataclasses import dataclass

from mothshunt.placement import const


@dataclass(slots=True)
class ServiceTime:
    """Follow the time to an answer over all targets of a service.

    :param known_s: Smoothed time for objects that the target handled before, in
        seconds; 0 before the first answer.
    :param unknown_s: The same for other objects.
    :param mean_s: The same for all requests.
    """

    known_s: float = 0.0
    unknown_s: float = 0.0
    mean_s: float = 0.0

    def expected_s(self, *, is_known: bool, target_latency_s: float) -> float:
        """Return the time that a usual target takes, in seconds.

        :param is_known: Whether it handled the object before.
        :param target_latency_s: Time within which an answer is worth most; stands in
            until there is a measurement.
        """
        unknown_s = self.unknown_s or target_latency_s * const.INITIAL_UNKNOWN_PART
        if is_known:
            return self.known_s or unknown_s * const.INITIAL_KNOWN_PART
        return unknown_s

    def usual_s(self, target_latency_s: float) -> float:
        """Return the mean time of all requests, in seconds.

        :param target_latency_s: Stands in until there is a measurement.
        """
        return self.mean_s or target_latency_s * const.INITIAL_UNKNOWN_PART

    def learn(self, took_s: float, *, is_known: bool) -> None:
        """Take the time of one answer that waited for no other.

        :param took_s: The time, in seconds.
        :param is_known: Whether the target handled the object before.
        """
        self.mean_s = _smoothed(self.mean_s, took_s)
        # A target gives up objects that it did not handle lately.
        is_given_up = took_s > (self.known_s + self.unknown_s) / 2
        if is_known and not (self.known_s and is_given_up):
            self.known_s = _smoothed(self.known_s, took_s)
        else:
            self.unknown_s = _smoothed(self.unknown_s, took_s)


def _smoothed(held_s: float, took_s: float) -> float:
    if held_s == 0.0:
        return took_s
    return held_s + const.SERVICE_TIME_WEIGHT * (took_s - held_s)
