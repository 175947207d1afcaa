"""Decide how long a kept-alive connection may stay silent.

A connection can go silent for good while new ones work. An idempotent request that
found a kept-alive connection is given up on it after a limit that follows from the
usual time to an answer, and tried elsewhere.
"""

from mothshunt.dispatch.const import (
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    SILENCE_DEVIATIONS,
    SILENCE_FACTOR,
)

_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4


class AnswerTime:
    """Follow the time to the head of an answer of one service.

    The mean and the mean deviation are smoothed as TCP does it for its
    retransmission time-out (RFC 6298).
    """

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def observe(self, seconds: float) -> None:
        """Take one measurement.

        :param seconds: Time from the request to the head of its answer.
        """
        if self._mean_s == 0.0:
            self._mean_s = seconds
            self._deviation_s = seconds / 2
            return
        error = seconds - self._mean_s
        self._mean_s += _MEAN_WEIGHT * error
        self._deviation_s += _DEVIATION_WEIGHT * (abs(error) - self._deviation_s)

    def silence_limit_s(self) -> float:
        """Return how long a kept-alive connection may stay silent, in seconds."""
        if self._mean_s == 0.0:
            return MAX_SILENCE_S
        usual_s = self._mean_s + SILENCE_DEVIATIONS * self._deviation_s
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, SILENCE_FACTOR * usual_s))
