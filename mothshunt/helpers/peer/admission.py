"""Bound on the rate at which peers are admitted."""

from dataclasses import dataclass

from mothshunt.helpers.peer import const


@dataclass(slots=True)
class HandshakeAdmission:
    """Admit handshakes by a token bucket and a bound on those under way.

    :param tokens: Handshakes that may begin at once.
    :param refilled_at: Monotonic time of the last refill, in seconds.
    :param pending: Handshakes under way.
    """

    tokens: float = const.MAX_HANDSHAKES_PER_S
    refilled_at: float = 0.0
    pending: int = 0

    def admit(self, now: float) -> bool:
        """Begin a handshake if the bounds allow it.

        :param now: Monotonic time, in seconds.
        """
        earned = (now - self.refilled_at) * const.MAX_HANDSHAKES_PER_S
        self.tokens = min(const.MAX_HANDSHAKES_PER_S, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1 or self.pending >= const.MAX_PENDING_HANDSHAKES:
            return False
        self.tokens -= 1
        self.pending += 1
        return True

    def end(self) -> None:
        """End a handshake that was admitted."""
        self.pending -= 1
