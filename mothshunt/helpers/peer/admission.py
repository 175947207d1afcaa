"""Rate limit for handshakes with peers."""

from dataclasses import dataclass

from mothshunt.helpers.peer import const


@dataclass(slots=True)
class HandshakeLimiter:
    """Token bucket for handshakes, with a bound on those in progress.

    :param tokens: Number of handshakes that may begin now.
    :param refilled_at: Monotonic time of the last refill, in seconds.
    :param pending: Number of handshakes in progress.
    """

    tokens: float = const.MAX_HANDSHAKES_PER_S
    refilled_at: float = 0.0
    pending: int = 0

    def admit(self, now: float) -> bool:
        """Admit one more handshake if the limits allow it.

        :param now: Monotonic time, in seconds.
        :return: Whether it is admitted.
        """
        refill = (now - self.refilled_at) * const.MAX_HANDSHAKES_PER_S
        self.tokens = min(const.MAX_HANDSHAKES_PER_S, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1 or self.pending >= const.MAX_PENDING_HANDSHAKES:
            return False
        self.tokens -= 1
        self.pending += 1
        return True

    def end(self) -> None:
        """Count an admitted handshake as ended."""
        self.pending -= 1
