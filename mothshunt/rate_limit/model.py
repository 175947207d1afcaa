"""Types of the rate_limit slice."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import Incarnation


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitStatement:
    """Statement of a target, in a response, on its rate limit.

    :param per_s: Requests a second that it accepts from all entry instances together;
        ``None`` if it names no limit.
    """

    per_s: float | None


#: Statement of a response without a rate limit.
NO_RATE_LIMIT = RateLimitStatement(per_s=None)


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimit:
    """Newest known rate limit of a target.

    :param incarnation: Incarnation of the target that named it.
    :param per_s: Requests a second that the target accepts from all entry instances
        together; ``None`` if it has named a limit before and does so no longer.
    :param observed_at: Time of the response that said so, in seconds.
    """

    incarnation: Incarnation
    per_s: float | None
    observed_at: float


class TokenResult(Enum):
    """Result of a token request of an entry instance."""

    GRANTED = "granted"
    DENIED = "denied"
    #: The control instance did not answer in time.
    NO_ANSWER = "no_answer"
    #: All control instances have denied a token or not answered recently, or too many
    #: requests are in progress.
    NOT_REQUESTED = "not_requested"


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenDecision:
    """Decision of a control instance on a token request.

    :param is_granted: Whether the request may be sent.
    :param retry_after_s: Time until the next token, in seconds; 0 if one was granted.
    """

    is_granted: bool
    retry_after_s: float = 0.0
