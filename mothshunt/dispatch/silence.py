"""Time-out for kept-alive connections that bring no response.

A connection can be lost without an error while new connections still work. When an
idempotent request on a reused connection has had no response for a time derived from
the usual response time, a second attempt is made over another connection.
"""

from mothshunt.dispatch.const import (
    MAX_SILENCE_TIMEOUT_S,
    MIN_SILENCE_TIMEOUT_S,
    SILENCE_TIMEOUT_DEVIATIONS,
    SILENCE_TIMEOUT_FACTOR,
)

_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4


class ResponseTimeEstimator:
    """Moving estimate of a service's time to the head of a response.

    The mean and the mean deviation are smoothed like the round-trip time in TCP's
    retransmission time-out (RFC 6298).
    """

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def observe(self, seconds: float) -> None:
        """Update the estimate with one response time.

        :param seconds: Time from sending the request to the head of its response.
        """
        if self._mean_s == 0.0:
            self._mean_s = seconds
            self._deviation_s = seconds / 2
            return
        error = seconds - self._mean_s
        self._mean_s += _MEAN_WEIGHT * error
        self._deviation_s += _DEVIATION_WEIGHT * (abs(error) - self._deviation_s)

    def silence_timeout_s(self) -> float:
        """Return the time-out for a response on a reused connection, in seconds."""
        if self._mean_s == 0.0:
            return MAX_SILENCE_TIMEOUT_S
        usual_s = self._mean_s + SILENCE_TIMEOUT_DEVIATIONS * self._deviation_s
        return min(
            MAX_SILENCE_TIMEOUT_S,
            max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * usual_s),
        )
